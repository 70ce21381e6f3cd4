//! The layout of tables in deployments without slices: which proxies and classes use which table.

use crate::interface::{ClassSet, ServerId, Settings, TableId, ZoneId};

use super::registry::{zones, Registry};

/// A shard as used by the proxies of one zone or of one group of zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ZoneShard {
    /// The zone, or the first one of the group.
    pub zone: ZoneId,
    /// The shard of the fleet.
    pub shard: usize,
}

/// A table and its users: the proxies of a zone that are assigned to a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct TablePlan {
    /// Number of the table.
    pub table: TableId,
    /// The zone of its proxies.
    pub zone: ZoneId,
    /// Whether it contains servers of that zone only.
    pub zone_local: bool,
    /// The shard whose servers it contains; an index equal to the number of shards means all of them.
    pub shard: usize,
    /// The classes that use it.
    pub classes: ClassSet,
    /// The classes with separate tables in this layout.
    pub separate_classes: ClassSet,
}

impl TablePlan {
    /// Returns its shard, as used by the proxies of its zone.
    pub fn zone_shard(&self) -> ZoneShard {
        ZoneShard {
            zone: self.zone,
            shard: self.shard,
        }
    }

    /// Returns whether the proxies of a zone that are assigned to a shard use the table.
    pub fn serves(&self, zone: ZoneId, shard: usize) -> bool {
        self.shard == shard && self.zone == zone
    }
}

/// Classes that share a table.
#[derive(Clone, Copy, Debug)]
struct ClassGroup {
    zone_local: bool,
    classes: ClassSet,
}

/// Plans one table for each zone, group of classes and shard, with numbers from `first_table` on. If there are several
/// shards, there is one more table for proxies that use all shards.
pub(super) fn lay_out_tables(
    settings: &Settings,
    shards: usize,
    first_table: u16,
    separate_classes: ClassSet,
) -> Vec<TablePlan> {
    let groups = class_groups(settings, separate_classes);
    let shard_tables = shards + usize::from(shards > 1);
    let mut numbers = (first_table..u16::MAX).map(TableId);
    let mut plans = Vec::new();
    for zone in zones(settings) {
        for group in &groups {
            for shard in 0..shard_tables {
                let Some(table) = numbers.next() else {
                    return plans;
                };
                plans.push(TablePlan {
                    table,
                    zone,
                    zone_local: group.zone_local,
                    shard,
                    classes: group.classes,
                    separate_classes,
                });
            }
        }
    }
    plans
}

/// Returns the classes that any zone serves, then the zone-local ones, each followed by those with separate tables.
fn class_groups(settings: &Settings, separate_classes: ClassSet) -> Vec<ClassGroup> {
    let mut groups = Vec::new();
    for zone_local in [false, true] {
        let (separate, shared): (Vec<usize>, Vec<usize>) = settings
            .classes
            .iter()
            .enumerate()
            .filter(|(_, class)| class.zone_local == zone_local)
            .map(|(index, _)| index)
            .partition(|index| separate_classes.has(*index));
        let shared = shared.into_iter().fold(ClassSet::default(), ClassSet::with);
        let separate = separate
            .into_iter()
            .map(|index| ClassSet::default().with(index));
        let of_locality = std::iter::once(shared).chain(separate);
        groups.extend(of_locality.map(|classes| ClassGroup {
            zone_local,
            classes,
        }));
    }
    groups.retain(|group| group.classes != ClassSet::default());
    groups
}

/// The servers of each shard.
#[derive(Debug)]
pub(super) struct ShardMembers {
    by_shard: Vec<Vec<ServerId>>,
    all: Vec<ServerId>,
}

impl ShardMembers {
    /// Divides all known servers into shards, by their ordinals.
    pub fn new(registry: &Registry, shards: usize) -> Self {
        let mut by_shard = vec![Vec::new(); shards];
        let mut all = Vec::new();
        for (id, server) in registry.iter() {
            all.push(*id);
            if shards == 0 {
                continue;
            }
            if let Some(members) = by_shard.get_mut(server.ordinal % shards) {
                members.push(*id);
            }
        }
        ShardMembers { by_shard, all }
    }

    /// Returns the servers of a shard; those of all shards if the index is the number of shards.
    pub fn in_shard(&self, shard: usize) -> &[ServerId] {
        self.by_shard.get(shard).unwrap_or(&self.all)
    }

    /// Returns the servers of all shards.
    pub fn all(&self) -> &[ServerId] {
        &self.all
    }
}
