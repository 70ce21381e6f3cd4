//! Execution of the decision module's actions.

use std::collections::BTreeSet;

use chutegrade_policy::{
    Action, AdmissionLevel, ClassSet, DecisionEvent, Micros, ProxyId, ServerId, TableId,
};

use super::{Engine, Timer};
use crate::records::{self, PublishedCounts};
use crate::streams::AcknowledgementRequest;

/// Minimum delay of a timer.
const MIN_TIMER_DELAY: Micros = Micros(1);

/// State that the actions of one batch accumulate.
#[derive(Default)]
struct BatchSummary {
    acknowledgement: Option<AcknowledgementRequest>,
    published: PublishedCounts,
}

impl Engine {
    /// Executes a batch of actions, in order.
    pub(super) fn execute_actions(&mut self, now: Micros, actions: Vec<Action>) {
        let mut batch = BatchSummary::default();
        for action in actions {
            self.execute_action(now, action, &mut batch);
        }
        self.streams.end_batch(batch.acknowledgement);
        self.remove_unreferenced_servers();
        self.record_published(now, batch.published);
    }

    fn record_published(&mut self, now: Micros, counts: PublishedCounts) {
        if counts == PublishedCounts::default() {
            return;
        }
        let streams = self.streams.streams_with_orders_count();
        let record = records::published_record(counts, streams);
        self.log_events.record(now, record);
    }

    fn execute_action(&mut self, now: Micros, action: Action, batch: &mut BatchSummary) {
        match action {
            Action::SetWeight {
                table,
                server,
                weight,
            } => self.set_weight(table, server, weight, batch),
            Action::ClearTable(table) => self.clear_table(table),
            Action::AssignTable {
                proxy,
                table,
                classes,
            } => self.assign_table(proxy, table, classes, batch),
            Action::SetSuspended { server, suspended } => {
                self.set_suspended(now, server, suspended, batch);
            }
            Action::SetAdmission {
                table,
                classes,
                level,
                retry,
            } => self.set_admission(now, table, classes, AdmissionLevel { level, retry }),
            Action::Reconcile(proxy) => self.reconcile(proxy, batch),
            Action::CheckLiveness(proxy) => self.streams.require_message(proxy),
            Action::RequestAcknowledgement {
                sequence,
                all_proxies,
            } => {
                batch.acknowledgement = Some(AcknowledgementRequest {
                    sequence,
                    all_proxies,
                });
            }
            Action::HealthCheck(server) => self.due_health_checks.push_back(server),
            Action::SubscribeEndpoints(watch) => self.subscription.watch = watch,
            Action::FetchEndpoints => self.subscription.fetch = true,
            Action::SetTimer { id, delay } => self.set_timer(now, id, delay),
            Action::Emit(event) => self.emit(now, &event),
            Action::DropServerState(server) => {
                self.servers_pending_removal.insert(server);
            }
            // The protocol has no channel between instances, and the decision module does not use one.
            Action::SendToPeer { .. } => {}
        }
    }

    fn set_weight(
        &mut self,
        table: TableId,
        server: ServerId,
        weight: f64,
        batch: &mut BatchSummary,
    ) {
        batch.published.weights += 1;
        self.tables.set_weight(table, server, weight);
        self.streams.set_weight(table, server, weight, &self.tables);
    }

    fn clear_table(&mut self, table: TableId) {
        self.tables.clear(table);
        self.streams.clear_table(table, &self.tables);
    }

    fn assign_table(
        &mut self,
        proxy: ProxyId,
        table: TableId,
        classes: ClassSet,
        batch: &mut BatchSummary,
    ) {
        batch.published.assignments += 1;
        let classes = self.tables.class_positions(classes);
        self.streams
            .assign_table(proxy, table, &classes, &self.tables);
    }

    fn set_suspended(
        &mut self,
        now: Micros,
        server: ServerId,
        suspended: bool,
        batch: &mut BatchSummary,
    ) {
        let has_changed = self.tables.set_suspended(server, suspended);
        if !has_changed && !suspended {
            // The decision module resumes each new server, because it may have been suspended earlier; most were not.
            return;
        }
        batch.published.suspensions += 1;
        let streams = self.streams.set_suspended(server, suspended, &self.tables);
        let name = self.server_name(server);
        self.log_events
            .record(now, records::suspension_record(name, suspended, streams));
    }

    fn set_admission(
        &mut self,
        now: Micros,
        table: Option<TableId>,
        classes: ClassSet,
        level: AdmissionLevel,
    ) {
        let classes = self.tables.class_positions(classes);
        for class in &classes {
            self.tables.set_admission(table, *class, level);
        }
        if self.log_events.is_recording() {
            self.record_admission(now, table, &classes, level);
        }
        self.streams.set_admission(table, &classes, &self.tables);
    }

    fn record_admission(
        &mut self,
        now: Micros,
        table: Option<TableId>,
        classes: &[usize],
        level: AdmissionLevel,
    ) {
        let saturation = self.policy.fleet_status().saturation;
        for class in classes {
            let name = self.class_name(*class);
            let record = records::admission_record(name, table, level, saturation);
            self.log_events.record(now, record);
        }
    }

    fn reconcile(&mut self, proxy: ProxyId, batch: &mut BatchSummary) {
        batch.published.suspensions += 1;
        self.streams.reconcile(proxy, &self.tables);
    }

    fn set_timer(&mut self, now: Micros, id: u32, delay: Micros) {
        let due_at = now + delay.max(MIN_TIMER_DELAY);
        self.timers.insert(Timer { due_at, id });
    }

    fn emit(&mut self, now: Micros, event: &DecisionEvent) {
        let record = records::decision_record(
            event,
            |server| self.server_name(server),
            |zone| self.names.zone_name(zone),
        );
        self.log_events.log(now, record);
    }

    /// Removes the released servers that no table and no pending order references. A pending order still needs the
    /// server's name: without it, changes for that server would be missing from the message.
    fn remove_unreferenced_servers(&mut self) {
        let pending = std::mem::take(&mut self.servers_pending_removal);
        let (referenced, unreferenced): (BTreeSet<_>, BTreeSet<_>) =
            pending.into_iter().partition(|server| {
                self.tables.references_server(*server) || self.streams.references_server(*server)
            });
        self.servers_pending_removal = referenced;
        for server in unreferenced {
            self.remove_server(server);
        }
    }

    fn remove_server(&mut self, server: ServerId) {
        self.tables.remove_server(server);
        self.streams.remove_server(server);
        let name = self.names.server_name(server).unwrap_or_default();
        self.log_events.remove_server(server, &name);
        self.names.remove_server(server);
    }

    /// Returns the name of the class at a position, or the position if it has no name.
    fn class_name(&self, class: usize) -> String {
        match self.names.class_name(class) {
            Some(name) => name.to_string(),
            None => class.to_string(),
        }
    }
}
