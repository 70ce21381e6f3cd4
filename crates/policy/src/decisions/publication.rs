//! Publication of tables: which weights changed enough to be sent, in which order, and how many at once.

use std::collections::BTreeSet;

use crate::interface::{
    Action, AdmissionLevel, ClassSet, DecisionEvent, Micros, ProxyId, ServerId, Settings, TableId,
};
use crate::statistics::median;

use super::channel::Channel;
use super::orders::{header_lines, Orders, LEVEL_BUDGET, ORDINARY_BUDGET, PROTECTION_BUDGET};
use super::proxies::Proxies;
use super::registry::{Registry, Weights};
use super::server::Server;
use super::table_layout::TablePlan;
use super::tables::Tables;

/// Least relative change of a weight for which it is sent again, as a share of the weight sent last.
const RESEND_SHARE: f64 = 0.2;
/// Least time between ordinary updates, in seconds.
const MIN_UPDATE_SECONDS: f64 = 1.0;
/// Share of the channel's send rate that the headers of ordinary updates may take.
const HEADER_SHARE: f64 = 0.2;
/// Number of lines of a weight change.
const CHANGE_LINES: f64 = 1.0;
/// Number of lines of a weight for a server that the table does not contain: its suspension may have to end as well.
const ADDITION_LINES: f64 = 2.0;

/// A weight change to be sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct WeightChange<'a> {
    table: TableId,
    server: ServerId,
    weight: f64,
    /// The proxies that use the table.
    recipients: &'a [ProxyId],
    /// Whether the change protects a server or a proxy, and precedes all others.
    is_protective: bool,
    /// Traffic that the change redirects, in requests per second at a proxy with the mean demand of the table's users.
    moved_rate: f64,
    /// Number of lines at each recipient.
    lines: f64,
}

/// The state that publication changes.
#[derive(Debug)]
pub(super) struct Publisher<'a> {
    /// The published tables.
    pub tables: &'a mut Tables,
    /// The joined proxies.
    pub proxies: &'a Proxies,
    /// The orders of the round.
    pub orders: &'a mut Orders,
}

impl Publisher<'_> {
    /// Returns the weights of a table that differ enough from those sent last.
    pub fn weight_changes<'u>(
        &self,
        plan: &TablePlan,
        users: &'u [ProxyId],
        desired: &Weights,
        registry: &Registry,
    ) -> Vec<WeightChange<'u>> {
        let nothing_sent = Weights::new();
        let comparison = WeightComparison {
            plan,
            users,
            desired,
            sent: self
                .tables
                .get(plan.table)
                .map_or(&nothing_sent, |table| &table.weights),
            registry,
            mean_rate: self.mean_rate(users),
        };
        comparison.changes()
    }

    /// Reports that advice on a table is overruled, or applies again.
    pub fn report_overruled(&mut self, table: TableId, is_overruled: bool) {
        let published = self.tables.entry(table);
        if published.advice_overruled == is_overruled {
            return;
        }
        published.advice_overruled = is_overruled;
        self.orders
            .push(Action::Emit(DecisionEvent::AdviceOverruled {
                table,
                overruled: is_overruled,
            }));
    }

    /// Sends the levels that changed to the users of a table.
    pub fn publish_levels(
        &mut self,
        plan: &TablePlan,
        users: &[ProxyId],
        levels: &[AdmissionLevel],
    ) {
        for (class, level) in levels.iter().enumerate() {
            if !plan.classes.has(class) {
                continue;
            }
            let published = self.tables.get(plan.table);
            let sent = published.and_then(|table| table.levels.get(&class));
            let is_due =
                sent != Some(level) && self.orders.fits(self.proxies, users, 1.0, &LEVEL_BUDGET);
            if !is_due {
                continue;
            }
            self.tables.entry(plan.table).levels.insert(class, *level);
            let order = Action::SetAdmission {
                table: Some(plan.table),
                classes: ClassSet::default().with(class),
                level: level.level,
                retry: level.retry,
            };
            self.orders.push_to(users, 1.0, order);
        }
    }

    /// Returns the mean demand of proxies, in requests per second.
    fn mean_rate(&self, users: &[ProxyId]) -> f64 {
        let rates = users
            .iter()
            .filter_map(|id| Some(self.proxies.get(*id)?.request_rate()));
        rates.sum::<f64>() / users.len().max(1) as f64
    }
}

/// The desired weights of a table and those sent last.
#[derive(Debug)]
struct WeightComparison<'a, 'u> {
    plan: &'a TablePlan,
    users: &'u [ProxyId],
    desired: &'a Weights,
    sent: &'a Weights,
    registry: &'a Registry,
    /// Mean demand of the users, in requests per second.
    mean_rate: f64,
}

impl<'u> WeightComparison<'_, 'u> {
    fn changes(&self) -> Vec<WeightChange<'u>> {
        let scale = self.scale();
        let total = self.desired.values().sum::<f64>().max(f64::MIN_POSITIVE);
        let servers: BTreeSet<ServerId> = self
            .sent
            .keys()
            .chain(self.desired.keys())
            .copied()
            .collect();
        servers
            .into_iter()
            .filter_map(|server| self.change(server, scale, total))
            .collect()
    }

    /// Returns the median ratio of sent to desired weights. A common factor on all weights of a table is not sent: it
    /// would fill the channel without any effect.
    fn scale(&self) -> f64 {
        let factors = self
            .desired
            .iter()
            .filter(|(id, weight)| **weight > 0.0 && self.registry.is_warm(**id))
            .filter_map(|(id, weight)| Some(self.sent.get(id)? / weight));
        median(factors).unwrap_or(1.0)
    }

    /// Returns the change of a server's weight, if it is large enough; `total` is the sum of the desired weights.
    fn change(&self, id: ServerId, scale: f64, total: f64) -> Option<WeightChange<'u>> {
        let sent = self.sent.get(&id).copied().unwrap_or(0.0);
        let weight = self.desired.get(&id).copied().unwrap_or(0.0) * scale;
        let difference = (weight - sent).abs();
        let has_changed = difference > RESEND_SHARE * sent;
        if !has_changed {
            return None;
        }
        let server = self.registry.get(id);
        let is_new = sent <= 0.0;
        let moved_weight = difference.max(self.addition_size(server, is_new) * scale);
        let moved_rate = if server.is_some_and(Server::is_in_service) {
            self.mean_rate * moved_weight / (total * scale)
        } else {
            0.0
        };
        // Only protective changes take precedence: otherwise updates of failing servers would delay those of recovered
        // ones.
        let protects_warming_up =
            weight < sent && server.is_some_and(|server| server.warm_up_share < 1.0);
        Some(WeightChange {
            table: self.plan.table,
            server: id,
            weight,
            recipients: self.users,
            is_protective: self.sent.is_empty() || protects_warming_up,
            moved_rate,
            lines: if is_new { ADDITION_LINES } else { CHANGE_LINES },
        })
    }

    /// Returns the full size of a server that is new to a table of its zone, else 0. Otherwise new servers of a growing
    /// fleet, whose first weights are small, would stay idle.
    fn addition_size(&self, server: Option<&Server>, is_new: bool) -> f64 {
        server
            .filter(|server| is_new && server.endpoint.zone == self.plan.zone)
            .map_or(0.0, Server::size)
    }
}

/// Limits the frequency of ordinary updates.
#[derive(Clone, Debug, Default)]
pub(super) struct UpdatePacer {
    last_update: Option<Micros>,
}

impl UpdatePacer {
    /// Sends the changes that fit the channel, protective ones first, then by the traffic that they redirect.
    pub fn send(
        &mut self,
        mut changes: Vec<WeightChange>,
        interval_seconds: f64,
        publisher: &mut Publisher,
    ) {
        changes.sort_by(|a, b| {
            let protective_first = b.is_protective.cmp(&a.is_protective);
            protective_first.then(b.moved_rate.total_cmp(&a.moved_rate))
        });
        let now = publisher.orders.at;
        let is_due = self
            .last_update
            .is_none_or(|at| (now - at).secs() >= interval_seconds);
        for change in &changes {
            if !change.can_send(is_due, publisher) {
                continue;
            }
            let needs_messages = !publisher.orders.reaches_all(change.recipients);
            if needs_messages && !change.is_protective {
                self.last_update = Some(now);
            }
            publisher
                .tables
                .set_weight(change.table, change.server, change.weight);
            let order = Action::SetWeight {
                table: change.table,
                server: change.server,
                weight: change.weight,
            };
            publisher
                .orders
                .push_to(change.recipients, change.lines, order);
        }
    }
}

impl WeightChange<'_> {
    /// Returns whether the change fits the channel now. An ordinary change may always join messages that the round
    /// sends anyway: otherwise levels and protective changes would use up the message limit.
    fn can_send(&self, is_due: bool, publisher: &Publisher) -> bool {
        let fits = |budget| {
            publisher
                .orders
                .fits(publisher.proxies, self.recipients, self.lines, budget)
        };
        let is_ordinary = is_due || publisher.orders.reaches_all(self.recipients);
        (is_ordinary && fits(&ORDINARY_BUDGET)) || (self.is_protective && fits(&PROTECTION_BUDGET))
    }
}

/// Returns the interval between ordinary updates, in seconds, at which the headers of messages to all proxies take no
/// more than their share of the channel's send rate.
pub(super) fn update_interval_seconds(
    proxies: &Proxies,
    settings: &Settings,
    channel: &Channel,
) -> f64 {
    let header_lines = proxies.len() as f64 * header_lines(settings);
    MIN_UPDATE_SECONDS.max(header_lines / HEADER_SHARE / channel.send_rate())
}
