//! The desired weights of a table: those of its servers, adjusted by zone affinity, advice and the warm-up guard.

use crate::interface::{ClassId, Micros, ServerId, Settings};

use super::advice::{ActiveAdvice, FactorScope};
use super::registry::{ByZone, Registry, Weights};
use super::server::Server;
use super::table_layout::{ShardMembers, TablePlan};
use super::warm_up::{WarmUpGuard, WarmingDemand};

/// Inputs of the desired weights.
#[derive(Debug)]
pub(super) struct DesiredTables<'a> {
    pub settings: &'a Settings,
    /// The known servers.
    pub registry: &'a Registry,
    /// The servers of each shard.
    pub members: &'a ShardMembers,
    /// The active advice.
    pub advice: &'a ActiveAdvice,
    /// Whether each zone has separate shards.
    pub isolates_zones: bool,
    /// The time of the last tick.
    pub ticked_at: Micros,
}

/// The desired weights of a table.
#[derive(Debug)]
pub(super) struct DesiredTable {
    /// The weight of each server.
    pub weights: Weights,
    /// Whether the advice on its servers is overruled.
    pub advice_overruled: bool,
}

impl DesiredTables<'_> {
    /// Returns the desired weights of one table.
    pub fn table(
        &self,
        plan: &TablePlan,
        affinity: &ByZone,
        demand: WarmingDemand,
    ) -> DesiredTable {
        let shard = self.members.in_shard(plan.shard);
        // A shard without warm servers uses the servers of all shards, so that no proxy is without a server.
        let members = if self.has_warm_server(plan, shard) {
            shard
        } else {
            self.members.all()
        };
        let mut weights: Weights = self
            .eligible(plan, members)
            .filter(|(_, server)| server.is_in_service())
            .map(|(id, server)| (*id, server.weight * self.affinity(plan, server, affinity)))
            .collect();
        let advice_overruled = self.advice.apply(
            self.scope(plan),
            self.ticked_at,
            self.registry,
            &mut weights,
        );
        let guard = WarmUpGuard {
            registry: self.registry,
            overload_multiple: self.settings.overload_multiple,
            known_size: self
                .eligible(plan, members)
                .map(|(_, server)| server.size())
                .sum(),
            listed_size: self
                .servers(shard)
                .filter(|(_, server)| server.is_in_service())
                .map(|(_, server)| server.size())
                .sum(),
            demand,
        };
        guard.apply(&mut weights);
        DesiredTable {
            weights,
            advice_overruled,
        }
    }

    fn servers<'s>(
        &'s self,
        ids: &'s [ServerId],
    ) -> impl Iterator<Item = (&'s ServerId, &'s Server)> {
        ids.iter()
            .filter_map(|id| Some((id, self.registry.get(*id)?)))
    }

    /// Returns the servers that the table may contain.
    fn eligible<'s>(
        &'s self,
        plan: &'s TablePlan,
        ids: &'s [ServerId],
    ) -> impl Iterator<Item = (&'s ServerId, &'s Server)> {
        self.servers(ids)
            .filter(|(_, server)| !plan.zone_local || plan.zone == server.endpoint.zone)
    }

    fn has_warm_server(&self, plan: &TablePlan, ids: &[ServerId]) -> bool {
        self.eligible(plan, ids)
            .any(|(_, server)| server.is_in_service() && server.is_warm())
    }

    /// Returns the factor on a server's weight by its zone.
    fn affinity(&self, plan: &TablePlan, server: &Server, affinity: &ByZone) -> f64 {
        let zone = server.endpoint.zone;
        let Some(factor) = affinity.get(&zone).filter(|_| !plan.zone_local) else {
            return 1.0;
        };
        let is_remote = plan.zone != zone;
        if self.isolates_zones && is_remote && server.warm_up_share < 1.0 {
            return 0.0;
        }
        *factor
    }

    /// Returns the scope of the advice on a table: its zone, and its class if that has separate tables.
    fn scope(&self, plan: &TablePlan) -> FactorScope {
        let class = (0..self.settings.classes.len())
            .find(|class| plan.separate_classes.has(*class) && plan.classes.has(*class));
        FactorScope {
            zone: plan.zone,
            class: class.map(|class| ClassId(class as u8)),
        }
    }
}
