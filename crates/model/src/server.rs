//! A server: cores shared by the requests in service, a bounded queue, connections, slow start, and the effects of faults.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use crate::scenario::{Cancel, Kind};
use crate::sim::AttemptKey;

/// Weight of the latest value in the exponential moving average of the service time.
const SERVICE_TIME_SMOOTHING: f64 = 0.2;

/// Process state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Running.
    Up,
    /// Stopped; it may start again.
    Down,
    /// Running until it is removed; it should get no new requests.
    Draining,
    /// Stopped for good.
    Removed,
}

/// Combined effects of all active faults on a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultEffects {
    /// Accepts requests and answers none.
    pub is_hanging: bool,
    /// Share of the requests that fail at once.
    pub failure_share: f64,
    /// Factor by which work takes longer.
    pub slowdown: f64,
    /// Share of the capacity that another program uses.
    pub stolen_share: f64,
    /// Factor of the work of a handshake.
    pub handshake_factor: f64,
    /// Additional duration of a handshake, in microseconds.
    pub handshake_delay_us: u64,
}

impl Default for FaultEffects {
    fn default() -> Self {
        FaultEffects {
            is_hanging: false,
            failure_share: 0.0,
            slowdown: 1.0,
            stolen_share: 0.0,
            handshake_factor: 1.0,
            handshake_delay_us: 0,
        }
    }
}

/// Position of an attempt in a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Position {
    /// In neither the queue nor service.
    Elsewhere,
    /// In the queue.
    Waiting,
    /// In service; the key orders the attempts in service by completion.
    Working((u64, u64)),
}

/// Result of the arrival of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AcceptResult {
    /// In service or queued.
    Accepted(Position),
    /// Rejected: all slots and the queue are full.
    QueueFull,
    /// Failed at once because of a fault.
    Failed,
}

/// A server of the simulated fleet.
#[derive(Debug)]
pub struct Server {
    /// Name in the endpoint list and in tables.
    pub name: Rc<str>,
    /// Index of the server's zone in the scenario.
    pub zone: usize,
    /// Index of the server's kind in the scenario.
    pub kind: usize,
    /// Whether it runs, drains or is stopped.
    pub state: ServerState,
    /// Weight in the endpoint list: cores times the nominal speed.
    pub listed_weight: f64,
    /// Time of the last start; `None` if it has run since before the simulation.
    pub started_us: Option<u64>,
    /// Effects of the active faults.
    pub effects: FaultEffects,
    /// Number of open connections.
    pub connections: u32,
    /// Health checks that it is answering.
    pub active_health_checks: u32,
    /// Version of the scheduled completion event; events of older versions are ignored.
    pub completion_version: u32,
    /// Time of that event, if one is scheduled.
    pub completion_due_us: Option<u64>,
    /// Work sent to it while warming up: time, milliseconds, and whether the proxy could know of the start.
    pub warm_up_work: VecDeque<(u64, f64, bool)>,
    /// Stopped by overload while warming up; it does not start again.
    pub failed_warming_up: bool,
    /// Time of the last load report.
    pub load_reported_us: u64,
    /// Queued requests in the last load report.
    pub reported_queue: f64,
    /// Recent service time in the last load report, in milliseconds.
    pub reported_service_ms: f64,
    cores: f64,
    speed: f64,
    slots: usize,
    queue_capacity: usize,
    slow_start_share: f64,
    slow_start_us: u64,
    /// Relative slowdown per excess over the threshold, in units of the threshold.
    thrash: f64,
    /// Requests per core from which the server slows down.
    thrash_threshold: f64,
    max_connections: f64,
    /// Share of the capacity that is lost when all connections are open.
    max_connection_overhead: f64,
    /// Work done for each request in service since the server was last idle, in milliseconds.
    work_done_ms: f64,
    advanced_to_us: u64,
    working: BTreeMap<(u64, u64), (AttemptKey, u64)>,
    waiting: VecDeque<(AttemptKey, f64)>,
    last_seq: u64,
    service_ms: f64,
}

impl Server {
    /// Creates a running server of a kind; its speed is that of the kind times `speed_factor`.
    pub fn new(
        name: Rc<str>,
        zone: usize,
        kind_index: usize,
        kind: &Kind,
        speed_factor: f64,
    ) -> Self {
        Server {
            name,
            zone,
            kind: kind_index,
            state: ServerState::Up,
            listed_weight: kind.cores * kind.speed,
            started_us: None,
            effects: FaultEffects::default(),
            connections: 0,
            active_health_checks: 0,
            completion_version: 0,
            completion_due_us: None,
            warm_up_work: VecDeque::new(),
            failed_warming_up: false,
            load_reported_us: 0,
            reported_queue: 0.0,
            reported_service_ms: 0.0,
            cores: kind.cores,
            speed: kind.speed * speed_factor,
            slots: kind.slots,
            queue_capacity: kind.queue,
            slow_start_share: kind.slow_start_share,
            slow_start_us: kind.slow_start_us,
            thrash: kind.thrash,
            thrash_threshold: kind.thrash_at,
            max_connections: f64::from(kind.connections),
            max_connection_overhead: kind.max_connection_overhead,
            work_done_ms: 0.0,
            advanced_to_us: 0,
            working: BTreeMap::new(),
            waiting: VecDeque::new(),
            last_seq: 0,
            service_ms: 0.0,
        }
    }

    /// Returns whether the process runs, and so accepts requests.
    pub fn is_running(&self) -> bool {
        matches!(self.state, ServerState::Up | ServerState::Draining)
    }

    /// Returns the share of its capacity that it has during slow start; 1 afterwards.
    pub fn slow_start_factor(&self, now_us: u64) -> f64 {
        let (initial_share, duration_us) = (self.slow_start_share, self.slow_start_us);
        match self.started_us {
            Some(started_us) if now_us < started_us + duration_us => {
                initial_share
                    + (1.0 - initial_share) * (now_us.saturating_sub(started_us)) as f64
                        / duration_us as f64
            }
            _ => 1.0,
        }
    }

    /// Returns whether it is in slow start.
    pub fn is_warming_up(&self, now_us: u64) -> bool {
        self.started_us
            .is_some_and(|started_us| now_us < started_us + self.slow_start_us)
    }

    /// Returns the capacity in seconds of work per second; 0 while it hangs or is stopped.
    pub fn capacity(&self, now_us: u64) -> f64 {
        if !self.is_running() || self.effects.is_hanging {
            return 0.0;
        }
        let (max_connections, max_overhead) = (self.max_connections, self.max_connection_overhead);
        let connection_factor =
            1.0 - max_overhead * (f64::from(self.connections) / max_connections).min(1.0);
        self.cores
            * self.speed
            * connection_factor
            * self.slow_start_factor(now_us)
            * (1.0 - self.effects.stolen_share)
            / self.effects.slowdown
    }

    /// Returns the capacity that slow start leaves, without the effects of faults: overload that a fault causes does not count
    /// as overload of a warming up server.
    pub fn warm_up_capacity(&self, now_us: u64) -> f64 {
        self.cores * self.speed * self.slow_start_factor(now_us)
    }

    /// Returns the milliseconds of work done per millisecond for each request in service.
    fn work_rate(&self, now_us: u64) -> f64 {
        let (working, cores) = (self.working.len() as f64, self.cores);
        if working == 0.0 {
            return 0.0;
        }
        let (loss_per_request, threshold) = (self.thrash, self.thrash_threshold);
        let requests_per_core = (working + self.waiting.len() as f64) / cores;
        let slowdown =
            1.0 + loss_per_request * (requests_per_core - threshold).max(0.0) / threshold.max(1.0);
        self.capacity(now_us) / cores * (cores / working).min(1.0) / slowdown
    }

    /// Accounts for the work done until now. To be called before any change that affects the work rate.
    pub fn advance(&mut self, now_us: u64) {
        let elapsed_ms = now_us.saturating_sub(self.advanced_to_us) as f64 / 1e3;
        self.work_done_ms += elapsed_ms * self.work_rate(self.advanced_to_us);
        self.advanced_to_us = now_us;
        if self.working.is_empty() {
            self.work_done_ms = 0.0;
        }
    }

    /// Returns the time of the next completion at the current work rate, if there will be one.
    pub fn next_completion_us(&self, now_us: u64) -> Option<u64> {
        let (first, _) = self.working.first_key_value()?;
        let (remaining_ms, work_rate) = (
            f64::from_bits(first.0) - self.work_done_ms,
            self.work_rate(now_us),
        );
        (work_rate > 0.0)
            .then(|| now_us + ((remaining_ms.max(0.0) / work_rate) * 1e3).ceil() as u64)
    }

    /// Handles the arrival of an attempt. It fails if `draw`, from 0 to 1, is below the failure share of the faults.
    pub fn accept(
        &mut self,
        now_us: u64,
        attempt: AttemptKey,
        work_ms: f64,
        draw: f64,
    ) -> AcceptResult {
        self.advance(now_us);
        if draw < self.effects.failure_share {
            return AcceptResult::Failed;
        }
        if self.working.len() < self.slots {
            return AcceptResult::Accepted(self.start_work(now_us, attempt, work_ms));
        }
        if self.waiting.len() >= self.queue_capacity {
            return AcceptResult::QueueFull;
        }
        self.waiting.push_back((attempt, work_ms));
        AcceptResult::Accepted(Position::Waiting)
    }

    fn start_work(&mut self, now_us: u64, attempt: AttemptKey, work_ms: f64) -> Position {
        self.last_seq += 1;
        // The bit patterns of positive floats have the order of the floats.
        let position = ((self.work_done_ms + work_ms).to_bits(), self.last_seq);
        self.working.insert(position, (attempt, now_us));
        Position::Working(position)
    }

    /// Returns the attempts that are completed by now, and those that entered service instead of them.
    pub fn finish(&mut self, now_us: u64) -> (Vec<AttemptKey>, Vec<(AttemptKey, Position)>) {
        self.advance(now_us);
        let (mut completed, mut started) = (Vec::new(), Vec::new());
        while let Some((position, (attempt, started_us))) = self
            .working
            .first_key_value()
            .map(|(position, value)| (*position, *value))
        {
            // Tolerance for rounding errors; time has a resolution of one microsecond.
            if f64::from_bits(position.0) > self.work_done_ms + 1e-6 * self.work_done_ms.max(1.0) {
                break;
            }
            self.working.remove(&position);
            completed.push(attempt);
            let latest_ms = (now_us - started_us) as f64 / 1e3;
            self.service_ms += SERVICE_TIME_SMOOTHING * (latest_ms - self.service_ms);
            started.extend(self.start_next(now_us));
        }
        (completed, started)
    }

    fn start_next(&mut self, now_us: u64) -> Option<(AttemptKey, Position)> {
        if self.working.len() >= self.slots {
            return None;
        }
        let (attempt, work_ms) = self.waiting.pop_front()?;
        Some((attempt, self.start_work(now_us, attempt, work_ms)))
    }

    /// Cancels an attempt; returns whether the server stopped it, and the attempt that entered service instead of it.
    pub fn cancel(
        &mut self,
        now_us: u64,
        attempt: AttemptKey,
        position: Position,
        cancel: Cancel,
    ) -> (bool, Option<(AttemptKey, Position)>) {
        self.advance(now_us);
        match position {
            Position::Waiting if cancel != Cancel::Nothing => {
                let queued_before = self.waiting.len();
                self.waiting.retain(|(queued, _)| *queued != attempt);
                (self.waiting.len() < queued_before, None)
            }
            Position::Working(position)
                if cancel == Cancel::All && self.working.remove(&position).is_some() =>
            {
                (true, self.start_next(now_us))
            }
            _ => (false, None),
        }
    }

    /// Stops the server; returns the attempts that were lost.
    pub fn stop(&mut self, now_us: u64, state: ServerState) -> Vec<AttemptKey> {
        self.advance(now_us);
        self.state = state;
        self.connections = 0;
        let working = std::mem::take(&mut self.working)
            .into_values()
            .map(|(attempt, _)| attempt);
        let waiting = std::mem::take(&mut self.waiting)
            .into_iter()
            .map(|(attempt, _)| attempt);
        working.chain(waiting).collect()
    }

    /// Starts the server, with slow start.
    pub fn start(&mut self, now_us: u64) {
        self.advance(now_us);
        self.state = ServerState::Up;
        self.started_us = Some(now_us);
        self.warm_up_work.clear();
        self.service_ms = 0.0;
        self.load_reported_us = 0;
        (self.reported_queue, self.reported_service_ms) = (0.0, 0.0);
    }

    /// Returns the number of queued requests.
    pub fn queue(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of requests in service.
    pub fn working(&self) -> usize {
        self.working.len()
    }

    /// Returns the moving average of the service time, in milliseconds.
    pub fn service_ms(&self) -> f64 {
        self.service_ms
    }

    /// Returns the expected queueing time of one more request, from the queue and the recent service time, in milliseconds.
    pub fn expected_wait_ms(&self) -> f64 {
        if self.working.len() < self.slots {
            return 0.0;
        }
        (self.waiting.len() as f64 + 1.0) * self.service_ms / self.slots as f64
    }

    /// Returns the duration of a health check with this work, in milliseconds; `None` if it is never answered.
    pub fn health_check_ms(&self, now_us: u64, work_ms: f64) -> Option<f64> {
        let capacity = self.capacity(now_us);
        if capacity <= 0.0 {
            return None;
        }
        let core_capacity = capacity / self.cores;
        // Health checks bypass the queue and share the cores as one more request.
        let requests_per_core = ((self.working.len() + 1) as f64 / self.cores).max(1.0);
        Some(work_ms / core_capacity * requests_per_core)
    }
}

#[cfg(test)]
mod tests;
