//! Ownership of slices: the server that owns each slice of this instance, and the hand-over of a slice with exclusive
//! ownership.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{Action, Micros, ProxyId, ServerId, Settings, TableId};

use super::orders::{Orders, SUSPENSION_BUDGET};
use super::proxies::Proxies;
use super::registry::Weights;
use super::tables::{Table, Tables};

/// Number of lines of an owner change.
const OWNER_CHANGE_LINES: f64 = 2.0;
/// The weight by which a table marks the owner.
const OWNER_WEIGHT: f64 = 1.0;
/// Odd multiplier that spreads the bits of a hash: 2^64 divided by the golden ratio.
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
/// Shift that mixes the high bits of a hash into the low ones.
const HASH_SHIFT: u32 = 29;

/// A change of an exclusive owner. The slice has no owner until no proxy can write to the former one.
#[derive(Clone, Debug)]
struct HandOver {
    /// Proxies that may still send to the former owner.
    pending_proxies: BTreeSet<ProxyId>,
    /// Sequence number of the message that clears the table.
    sequence: u16,
    /// End of the leases of all proxies whose streams ended before the hand-over, or since then without an
    /// acknowledgement.
    not_before: Micros,
}

/// The slices of this instance, with their hand-overs in progress.
#[derive(Clone, Debug, Default)]
pub(super) struct Slices {
    owned: BTreeMap<TableId, Option<HandOver>>,
}

/// Inputs of owner changes.
#[derive(Debug)]
pub(super) struct SliceInputs<'a> {
    pub settings: &'a Settings,
    /// The joined proxies, which all use each slice.
    pub proxies: &'a Proxies,
    /// The weights of all servers; those above 0 may own slices.
    pub usable: &'a Weights,
    /// Sequence number of the round.
    pub sequence: u16,
}

impl Slices {
    /// Records that this instance gained or lost a slice.
    pub fn set_ownership(&mut self, slice: TableId, granted: bool) {
        self.owned.remove(&slice);
        if granted {
            self.owned.insert(slice, None);
        }
    }

    /// Records that a proxy's stream ended: it may send to former owners until its lease ends.
    pub fn proxy_left(&mut self, proxy: ProxyId, lease_end: Micros) {
        for hand_over in self.owned.values_mut().flatten() {
            if hand_over.pending_proxies.remove(&proxy) {
                hand_over.not_before = hand_over.not_before.max(lease_end);
            }
        }
    }

    /// Records that a proxy applied the message with this sequence number.
    pub fn acknowledge(&mut self, proxy: ProxyId, sequence: u16) {
        for hand_over in self.owned.values_mut().flatten() {
            if hand_over.sequence == sequence {
                hand_over.pending_proxies.remove(&proxy);
            }
        }
    }

    /// Replaces owners that are no longer usable. A usable owner is retained, since it has the slice's state.
    pub fn update_owners(
        &mut self,
        inputs: &SliceInputs,
        tables: &mut Tables,
        orders: &mut Orders,
    ) {
        let recipients: Vec<ProxyId> = inputs.proxies.ids().collect();
        for (&slice, hand_over) in &mut self.owned {
            let fits = orders.fits(
                inputs.proxies,
                &recipients,
                OWNER_CHANGE_LINES,
                &SUSPENSION_BUDGET,
            );
            if !fits {
                continue;
            }
            let table = tables.entry(slice);
            let Some(change) = OwnerChange::if_needed(slice, table, inputs.usable) else {
                continue;
            };
            if !inputs.settings.exclusive_ownership {
                change.publish_owner(table, &recipients, orders);
                change.publish_removals(table, &recipients, orders);
                continue;
            }
            table.weights.clear();
            let pending = hand_over
                .get_or_insert_with(|| change.begin_hand_over(&recipients, inputs, orders));
            if pending.is_complete(orders.at, inputs.settings) {
                *hand_over = None;
                change.publish_owner(table, &recipients, orders);
            }
        }
    }
}

/// A slice that needs another owner.
#[derive(Debug)]
struct OwnerChange {
    slice: TableId,
    owner: ServerId,
    former_owners: Vec<ServerId>,
}

impl OwnerChange {
    /// Returns the owner change if the slice needs one and a server is usable.
    fn if_needed(slice: TableId, table: &Table, usable: &Weights) -> Option<Self> {
        let former_owners = former_owners(table, usable);
        let owner = highest_hash(slice, usable)?;
        let has_usable_owner = former_owners.is_empty() && !table.weights.is_empty();
        (!has_usable_owner).then_some(OwnerChange {
            slice,
            owner,
            former_owners,
        })
    }

    /// Clears the slice's table at all joined proxies.
    fn begin_hand_over(
        &self,
        recipients: &[ProxyId],
        inputs: &SliceInputs,
        orders: &mut Orders,
    ) -> HandOver {
        orders.push_to(recipients, 1.0, Action::ClearTable(self.slice));
        HandOver {
            pending_proxies: recipients.iter().copied().collect(),
            sequence: inputs.sequence,
            not_before: orders.at + inputs.settings.lease,
        }
    }

    fn publish_owner(&self, table: &mut Table, recipients: &[ProxyId], orders: &mut Orders) {
        table.weights.insert(self.owner, OWNER_WEIGHT);
        let order = set_weight(self.slice, self.owner, OWNER_WEIGHT);
        orders.push_to(recipients, 1.0, order);
    }

    fn publish_removals(&self, table: &mut Table, recipients: &[ProxyId], orders: &mut Orders) {
        for server in &self.former_owners {
            table.weights.remove(server);
            orders.push_to(recipients, 1.0, set_weight(self.slice, *server, 0.0));
        }
    }
}

impl HandOver {
    /// Returns whether no write can reach the former owner any more.
    fn is_complete(&self, now: Micros, settings: &Settings) -> bool {
        self.pending_proxies.is_empty() && now >= self.not_before + settings.write_settle_time
    }
}

fn set_weight(table: TableId, server: ServerId, weight: f64) -> Action {
    Action::SetWeight {
        table,
        server,
        weight,
    }
}

/// Returns the servers of a slice's table that are no longer usable.
fn former_owners(table: &Table, usable: &Weights) -> Vec<ServerId> {
    let is_unusable = |server: &ServerId| usable.get(server).is_none_or(|weight| *weight <= 0.0);
    table.weights.keys().copied().filter(is_unusable).collect()
}

/// Returns the owner of a slice by rendezvous hashing: the usable server with the highest hash of both ids.
fn highest_hash(slice: TableId, usable: &Weights) -> Option<ServerId> {
    usable
        .iter()
        .filter(|(_, weight)| **weight > 0.0)
        .map(|(server, _)| *server)
        .max_by_key(|server| rendezvous_hash(slice, *server))
}

fn rendezvous_hash(slice: TableId, server: ServerId) -> u64 {
    let key = (u64::from(slice.0) << 32) | u64::from(server.0);
    let mixed = key.wrapping_mul(HASH_MULTIPLIER);
    (mixed ^ (mixed >> HASH_SHIFT)).wrapping_mul(HASH_MULTIPLIER)
}
