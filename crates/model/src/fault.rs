//! Fault injection: the targets of faults, their start and end, and their effects.

use chutegrade_engine::Lifecycle;

use crate::queue::EventQueue;
use crate::random::{Purpose, RandomSource};
use crate::scenario::{Fault, FaultKind};
use crate::server::{FaultEffects, ServerState};
use crate::sim::{Event, Simulation};

/// Period of updates of faults with a ramp and of periodic faults, in microseconds.
const UPDATE_PERIOD_US: u64 = 100_000;
/// Number of waves in which servers are replaced.
const REPLACEMENT_WAVES: usize = 3;

/// State of a fault of the scenario.
#[derive(Clone, Debug, Default)]
pub struct FaultState {
    /// Whether the fault has begun and has not ended.
    pub is_active: bool,
    /// Sorted numbers of the affected servers, proxies or supervisors; empty before the fault begins.
    pub targets: Vec<usize>,
}

impl Fault {
    /// Returns the size at a time; during the ramp it grows from the neutral value to the full size.
    pub fn size_at(&self, now_us: u64) -> f64 {
        let neutral = if matches!(
            self.kind,
            FaultKind::Slow | FaultKind::Burst | FaultKind::Heavy | FaultKind::Handshake
        ) {
            1.0
        } else {
            0.0
        };
        if self.ramp_us == 0 {
            return self.size;
        }
        let share = (now_us.saturating_sub(self.from_us) as f64 / self.ramp_us as f64).min(1.0);
        neutral + (self.size - neutral) * share
    }

    /// Returns whether a periodic fault is in an active phase; its phases last `extra` seconds each.
    fn is_in_on_phase(&self, now_us: u64) -> bool {
        let half_period_us = (self.extra * 1e6) as u64;
        half_period_us == 0
            || (now_us.saturating_sub(self.from_us) / half_period_us).is_multiple_of(2)
    }

    fn changes_over_time(&self) -> bool {
        self.ramp_us > 0 || matches!(self.kind, FaultKind::Neighbour | FaultKind::FrontEndsStand)
    }
}

impl<Q: EventQueue<Event>> Simulation<'_, Q> {
    pub(crate) fn begin_fault(&mut self, number: usize) {
        let scenario = self.scenario;
        let fault = &scenario.faults[number];
        let mut random = RandomSource::new(self.seed, Purpose::Faults, number);
        let is_affected_zone = |zone: usize| fault.zone.is_none_or(|affected| affected == zone);
        let candidates: Vec<usize> = match fault.kind {
            FaultKind::Streams => (0..self.proxies.len())
                .filter(|index| {
                    self.proxies[*index].control_stream.is_some()
                        && is_affected_zone(self.proxies[*index].zone)
                })
                .collect(),
            FaultKind::FrontEndsStand | FaultKind::FrontEndsDie => (0..self.proxies.len())
                .filter(|index| is_affected_zone(self.proxies[*index].zone))
                .collect(),
            FaultKind::SupervisorsStand | FaultKind::SupervisorsDie => (0..self.supervisors.len())
                .filter(|index| is_affected_zone(self.supervisors[*index].zone))
                .collect(),
            _ => (0..self.servers.len())
                .filter(|index| {
                    self.servers[*index].state == ServerState::Up
                        && is_affected_zone(self.servers[*index].zone)
                })
                .collect(),
        };
        let share = if fault.kind == FaultKind::ZoneLost {
            1.0
        } else {
            fault.share
        };
        let min_count = usize::from(share > 0.0 && !candidates.is_empty());
        let count = ((candidates.len() as f64 * share).round() as usize).max(min_count);
        let targets: Vec<usize> = random
            .sample_indices(candidates.len(), count)
            .into_iter()
            .map(|index| candidates[index])
            .collect();
        self.fault_states[number] = FaultState {
            is_active: true,
            targets: targets.clone(),
        };
        match fault.kind {
            FaultKind::Way if fault.extra >= 1.0 => self.break_cross_zone_streams(fault),
            FaultKind::Crash => targets
                .iter()
                .for_each(|index| self.stop_server(*index, false)),
            FaultKind::ZoneLost => {
                targets
                    .iter()
                    .for_each(|index| self.stop_server(*index, true));
                if fault.extra > 0.0 {
                    self.stop_or_start_zone_processes(fault, false);
                }
            }
            FaultKind::Streams => targets.iter().for_each(|index| self.break_stream(*index)),
            FaultKind::FrontEndsDie => targets.iter().for_each(|index| self.stop_proxy(*index)),
            FaultKind::SupervisorsStand => {
                targets
                    .iter()
                    .for_each(|index| self.supervisors[*index].paused_until_us = fault.to_us);
            }
            FaultKind::SupervisorsDie => targets
                .iter()
                .for_each(|index| self.stop_supervisor(*index)),
            FaultKind::Replace => {
                let wave_us = (fault.to_us - fault.from_us) / REPLACEMENT_WAVES as u64;
                for (position, index) in targets.iter().enumerate() {
                    let due = self.now_us + wave_us * (position % REPLACEMENT_WAVES) as u64;
                    self.push(
                        due,
                        Event::DrainBegin {
                            server: *index as u32,
                            fault: number as u32,
                        },
                    );
                }
            }
            _ => self.update_fault(number),
        }
        if matches!(
            fault.kind,
            FaultKind::Crash | FaultKind::Hang | FaultKind::FailFast | FaultKind::ZoneLost
        ) {
            self.watch_faulty(number);
        }
        if fault.changes_over_time() {
            self.push(
                self.now_us + UPDATE_PERIOD_US,
                Event::FaultUpdate(number as u32),
            );
        }
    }

    /// Breaks the control streams between a zone and the others.
    fn break_cross_zone_streams(&mut self, fault: &Fault) {
        let is_in_zone = |zone: usize| fault.zone == Some(zone);
        let crosses_boundary = |index: &usize| {
            let proxy = &self.proxies[*index];
            let supervisor_zone = proxy
                .control_stream
                .map(|(supervisor, ..)| self.supervisors[supervisor].zone);
            supervisor_zone.is_some_and(|zone| is_in_zone(zone) != is_in_zone(proxy.zone))
        };
        let affected: Vec<usize> = (0..self.proxies.len()).filter(crosses_boundary).collect();
        affected.iter().for_each(|index| self.break_stream(*index));
    }

    fn stop_or_start_zone_processes(&mut self, fault: &Fault, start: bool) {
        let zone = fault.zone.unwrap_or(0);
        for index in (0..self.proxies.len())
            .filter(|index| self.proxies[*index].zone == zone)
            .collect::<Vec<_>>()
        {
            if start {
                self.start_proxy(index);
            } else {
                self.stop_proxy(index);
            }
        }
        for index in (0..self.supervisors.len())
            .filter(|index| self.supervisors[*index].zone == zone)
            .collect::<Vec<_>>()
        {
            if start {
                self.start_supervisor(index);
            } else {
                self.stop_supervisor(index);
            }
        }
    }

    pub(crate) fn end_fault(&mut self, number: usize) {
        let scenario = self.scenario;
        let fault = &scenario.faults[number];
        self.fault_states[number].is_active = false;
        let targets = self.fault_states[number].targets.clone();
        if matches!(fault.kind, FaultKind::Hang | FaultKind::FailFast) {
            self.watch_recovered(number);
        }
        match fault.kind {
            FaultKind::Crash | FaultKind::ZoneLost => {
                targets.iter().for_each(|index| self.start_server(*index));
                if fault.kind == FaultKind::ZoneLost && fault.extra > 0.0 {
                    self.stop_or_start_zone_processes(fault, true);
                }
            }
            FaultKind::FrontEndsDie => targets.iter().for_each(|index| self.start_proxy(*index)),
            FaultKind::SupervisorsDie => targets
                .iter()
                .for_each(|index| self.start_supervisor(*index)),
            FaultKind::Hang
            | FaultKind::FailFast
            | FaultKind::Slow
            | FaultKind::Neighbour
            | FaultKind::Handshake => {
                targets
                    .iter()
                    .for_each(|index| self.refresh_effects(*index));
            }
            _ => {}
        }
    }

    /// Applies the current size of a fault with a ramp, or the current phase of a periodic one.
    pub(crate) fn update_fault(&mut self, number: usize) {
        if !self.fault_states[number].is_active {
            return;
        }
        let scenario = self.scenario;
        let fault = &scenario.faults[number];
        let targets = self.fault_states[number].targets.clone();
        match fault.kind {
            FaultKind::Hang
            | FaultKind::FailFast
            | FaultKind::Slow
            | FaultKind::Neighbour
            | FaultKind::Handshake => {
                targets
                    .iter()
                    .for_each(|index| self.refresh_effects(*index));
            }
            FaultKind::FrontEndsStand => {
                // Pauses for a part of each second.
                let in_second_us = (self.now_us - fault.from_us) % 1_000_000;
                let pause_us = (fault.size_at(self.now_us) * 1e3) as u64;
                if in_second_us < UPDATE_PERIOD_US {
                    targets.iter().for_each(|index| {
                        self.proxies[*index].paused_until_us = self.now_us + pause_us
                    });
                }
            }
            _ => {}
        }
        if fault.changes_over_time() {
            self.push(
                self.now_us + UPDATE_PERIOD_US,
                Event::FaultUpdate(number as u32),
            );
        }
    }

    /// Combines the effects of all active faults on a server.
    fn refresh_effects(&mut self, server: usize) {
        let now_us = self.now_us;
        let mut effects = FaultEffects::default();
        for (fault, state) in self.scenario.faults.iter().zip(&self.fault_states) {
            if !state.is_active || state.targets.binary_search(&server).is_err() {
                continue;
            }
            let size = fault.size_at(now_us);
            match fault.kind {
                FaultKind::Hang => effects.is_hanging = true,
                FaultKind::FailFast => {
                    effects.failure_share = 1.0 - (1.0 - effects.failure_share) * (1.0 - size)
                }
                FaultKind::Slow => effects.slowdown *= size.max(0.01),
                FaultKind::Neighbour if fault.is_in_on_phase(now_us) => {
                    effects.stolen_share =
                        1.0 - (1.0 - effects.stolen_share) * (1.0 - size.min(0.99));
                }
                FaultKind::Handshake => {
                    effects.handshake_factor *= size.max(1.0);
                    effects.handshake_delay_us = (fault.extra * 1e3) as u64;
                }
                _ => {}
            }
        }
        if self.servers[server].effects != effects {
            self.servers[server].advance(now_us);
            self.servers[server].effects = effects;
            self.reschedule(server);
        }
    }

    /// Starts to drain a server, and schedules its removal and the start of its replacement.
    pub(crate) fn begin_drain(&mut self, server: usize, number: usize) {
        if self.servers[server].state != ServerState::Up {
            return;
        }
        let (drain_s, replacement_s) = (
            self.scenario.faults[number].size,
            self.scenario.faults[number].extra,
        );
        self.servers[server].state = ServerState::Draining;
        self.announce(server, Lifecycle::Draining, false);
        self.push(
            self.now_us + (drain_s * 1e6) as u64,
            Event::ServerRemoval {
                server: server as u32,
            },
        );
        self.push(
            self.now_us + (replacement_s * 1e6) as u64,
            Event::ServerReplacement {
                server: server as u32,
            },
        );
    }

    /// Returns the factor of the demand, the share of heavy requests, and the factor of their work, by the active faults.
    pub(crate) fn load_factors(&self) -> (f64, f64, f64) {
        let (mut demand_factor, mut heavy_share, mut heavy_factor) = (1.0, 0.0, 1.0);
        for (fault, _) in self
            .scenario
            .faults
            .iter()
            .zip(&self.fault_states)
            .filter(|(_, state)| state.is_active)
        {
            match fault.kind {
                FaultKind::Burst => demand_factor *= fault.size_at(self.now_us),
                FaultKind::Heavy => {
                    (heavy_share, heavy_factor) = (fault.extra.min(1.0), fault.size_at(self.now_us))
                }
                _ => {}
            }
        }
        (demand_factor, heavy_share, heavy_factor)
    }

    /// Returns the extra delay in microseconds and the loss rate of the link between two zones, by the active faults.
    pub(crate) fn link_faults(&self, from: usize, to: usize) -> (f64, f64) {
        if from == to || !self.has_link_faults {
            return (0.0, 0.0);
        }
        let (mut extra_us, mut delivered_share) = (0.0, 1.0);
        for (fault, _) in self
            .scenario
            .faults
            .iter()
            .zip(&self.fault_states)
            .filter(|(_, state)| state.is_active)
        {
            if fault.kind == FaultKind::Way
                && fault.zone.is_some_and(|zone| zone == from || zone == to)
            {
                extra_us += fault.size_at(self.now_us) * 1e3;
                delivered_share *= 1.0 - fault.extra.min(1.0);
            }
        }
        (extra_us, 1.0 - delivered_share)
    }

    /// Returns the extra delay of reports, in microseconds, by the active faults.
    pub(crate) fn extra_report_delay_us(&self) -> u64 {
        let faults = self.scenario.faults.iter().zip(&self.fault_states);
        faults
            .filter(|(fault, state)| state.is_active && fault.kind == FaultKind::ReportsLate)
            .map(|(fault, _)| (fault.size_at(self.now_us) * 1e6) as u64)
            .sum()
    }
}
