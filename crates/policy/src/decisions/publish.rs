//! One round of publication: the steps that derive orders from the decisions, and the acknowledgement request for them.

use std::collections::BTreeMap;

use crate::interface::{
    Action, AdmissionLevel, DecisionEvent, Micros, ProxyId, ShedShares, ZoneId,
};

use super::assignment::Assignment;
use super::class_levels::ClassLevels;
use super::desired_tables::DesiredTables;
use super::liveness_checks::send_liveness_checks;
use super::orders::Orders;
use super::publication::{update_interval_seconds, Publisher, WeightChange};
use super::registry::ByZone;
use super::sharding::ShardingInputs;
use super::slices::SliceInputs;
use super::suspension::{clear_unused_tables, drop_removed_servers, update_suspensions};
use super::table_layout::{ShardMembers, TablePlan, ZoneShard};
use super::warm_up::WarmingDemand;
use super::weights::update_weights;
use super::zone_affinity::{ZoneAffinity, ZoneBalance};
use super::Policy;

/// The levels of each class at ordinary and at heavy proxies.
#[derive(Debug)]
struct ShardLevels {
    ordinary: Vec<AdmissionLevel>,
    /// For proxies that use all shards.
    heavy: Vec<AdmissionLevel>,
}

impl ShardLevels {
    fn for_table(&self, plan: &TablePlan, shards: usize) -> &[AdmissionLevel] {
        if plan.shard == shards {
            &self.heavy
        } else {
            &self.ordinary
        }
    }
}

impl Policy {
    /// Derives orders from the current decisions, within the budgets of the channel.
    pub(super) fn publish(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.channel.drop_expired(now, &self.settings);
        self.proxies
            .drop_written_before(now - self.settings.message_window);
        let mut orders = Orders::new(now, &self.channel, &self.settings);
        self.apply_lifecycle_changes(now, &mut orders);
        update_weights(&mut self.registry, &self.settings, now);
        if self.settings.slices > 0 {
            self.publish_slices(&mut orders);
        } else {
            self.update_sharding(now, &mut orders);
            self.publish_tables(&mut orders);
            self.assign_proxies(&mut orders);
        }
        send_liveness_checks(&mut self.proxies, &mut orders);
        self.request_acknowledgement(now, &mut orders);
        actions.append(&mut orders.actions);
    }

    /// Suspends leaving servers, and drops unused tables and the state of servers that were removed long ago.
    fn apply_lifecycle_changes(&mut self, now: Micros, orders: &mut Orders) {
        clear_unused_tables(&self.sharding, &self.proxies, &mut self.tables, orders);
        self.registry
            .report_lifecycle_changes(now, &mut orders.actions);
        update_suspensions(&mut self.registry, &self.proxies, &self.tables, orders);
        drop_removed_servers(now, &mut self.registry, &self.tables, orders);
    }

    fn publish_slices(&mut self, orders: &mut Orders) {
        let demand =
            WarmingDemand::estimate(&self.registry, &self.settings, self.admission.saturation);
        let members = ShardMembers::new(&self.registry, 0);
        let desired = DesiredTables {
            settings: &self.settings,
            registry: &self.registry,
            members: &members,
            advice: &self.advice,
            isolates_zones: false,
            ticked_at: self.ticked_at,
        };
        let usable = desired.table(&TablePlan::default(), &ByZone::new(), demand);
        let inputs = SliceInputs {
            settings: &self.settings,
            proxies: &self.proxies,
            usable: &usable.weights,
            sequence: self.channel.next_sequence(),
        };
        self.slices.update_owners(&inputs, &mut self.tables, orders);
    }

    fn update_sharding(&mut self, now: Micros, orders: &mut Orders) {
        let inputs = ShardingInputs {
            settings: &self.settings,
            registry: &self.registry,
            proxies: &self.proxies,
            separate_classes: self.advice.separate_tables,
            now,
            is_tick: self.ticked_at == now,
        };
        if let Some(resharded) = self.sharding.update(&inputs) {
            orders.push(Action::Emit(resharded));
            self.proxies.unassign_all();
        }
    }

    fn publish_tables(&mut self, orders: &mut Orders) {
        let demand =
            WarmingDemand::estimate(&self.registry, &self.settings, self.admission.saturation);
        self.report_withheld(demand, orders);
        let users_by_shard = self.proxies.assigned_by_shard();
        let changes = self.update_tables(demand, &users_by_shard, orders);
        let interval = update_interval_seconds(&self.proxies, &self.settings, &self.channel);
        let mut publisher = Publisher {
            tables: &mut self.tables,
            proxies: &self.proxies,
            orders,
        };
        self.update_pacer.send(changes, interval, &mut publisher);
    }

    /// Publishes the levels of all tables and returns their weight changes.
    fn update_tables<'u>(
        &mut self,
        demand: WarmingDemand,
        users_by_shard: &'u BTreeMap<ZoneShard, Vec<ProxyId>>,
        orders: &mut Orders,
    ) -> Vec<WeightChange<'u>> {
        let levels = self.shard_levels();
        let balance = ZoneBalance::new(&self.registry, &self.proxies);
        let factors_by_zone = self.affinity_factors(&balance);
        let members = ShardMembers::new(&self.registry, self.sharding.shards);
        let desired_tables = DesiredTables {
            settings: &self.settings,
            registry: &self.registry,
            members: &members,
            advice: &self.advice,
            isolates_zones: self.sharding.isolates_zones(&self.settings),
            ticked_at: self.ticked_at,
        };
        let mut publisher = Publisher {
            tables: &mut self.tables,
            proxies: &self.proxies,
            orders,
        };
        let no_factors = ByZone::new();
        let mut changes = Vec::new();
        for plan in &self.sharding.plans {
            let users = users_by_shard
                .get(&plan.zone_shard())
                .map_or(&[][..], Vec::as_slice);
            let factors = factors_by_zone.get(&plan.zone).unwrap_or(&no_factors);
            let demand = if desired_tables.isolates_zones {
                demand.scaled(balance.isolated_demand(plan.zone))
            } else {
                demand
            };
            let desired = desired_tables.table(plan, factors, demand);
            changes.extend(publisher.weight_changes(plan, users, &desired.weights, &self.registry));
            publisher.report_overruled(plan.table, desired.advice_overruled);
            publisher.publish_levels(plan, users, levels.for_table(plan, self.sharding.shards));
        }
        changes
    }

    fn affinity_factors(&self, balance: &ZoneBalance) -> BTreeMap<ZoneId, ByZone> {
        let affinity = ZoneAffinity {
            settings: &self.settings,
            links: &self.links,
            balance,
            isolates_zones: self.sharding.isolates_zones(&self.settings),
        };
        affinity.factors_by_zone()
    }

    /// Returns the levels of each class. They differ for heavy proxies if the limits demand it and there are several
    /// shards.
    fn shard_levels(&self) -> ShardLevels {
        let for_all = ShedShares {
            ordinary: self.admission.shed_share,
            heavy: self.admission.shed_share,
        };
        let shed_shares = self
            .limits
            .shed_shares()
            .filter(|_| self.sharding.shards > 1)
            .unwrap_or(for_all);
        let levels = ClassLevels {
            settings: &self.settings,
            admission: &self.admission,
            advice: &self.advice,
            limits: &self.limits,
            busiest_rate: self.proxies.busiest_rate(),
        };
        ShardLevels {
            ordinary: levels.with_shed_share(shed_shares.ordinary),
            heavy: levels.with_shed_share(shed_shares.heavy),
        }
    }

    fn report_withheld(&mut self, demand: WarmingDemand, orders: &mut Orders) {
        if self.warming_withheld == demand.is_withheld {
            return;
        }
        self.warming_withheld = demand.is_withheld;
        orders.push(Action::Emit(DecisionEvent::WarmingWithheld {
            withheld: demand.is_withheld,
            attempts_per_answer: demand.attempts_per_answer,
        }));
    }

    fn assign_proxies(&mut self, orders: &mut Orders) {
        let assignment = Assignment {
            settings: &self.settings,
            registry: &self.registry,
            sharding: &self.sharding,
            tables: &self.tables,
            is_tick: self.ticked_at == orders.at,
        };
        assignment.assign(&mut self.proxies, orders);
    }

    /// Requests an acknowledgement from the proxies that this round's orders reach.
    fn request_acknowledgement(&mut self, now: Micros, orders: &mut Orders) {
        if orders.lines_by_proxy.is_empty() {
            return;
        }
        let sequence = self.channel.next_sequence();
        orders.push(Action::RequestAcknowledgement {
            sequence,
            all_proxies: false,
        });
        for proxy in orders.lines_by_proxy.keys() {
            self.proxies.record_written(*proxy, now);
        }
        let lines_by_proxy = std::mem::take(&mut orders.lines_by_proxy);
        self.channel.record_round(now, sequence, lines_by_proxy);
    }
}
