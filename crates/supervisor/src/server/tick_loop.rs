//! Ticks the engine, and passes on its orders, health checks, subscription and log events.

use std::rc::Rc;
use std::time::{Duration, Instant};

use chutegrade_engine::{LogEvent, Micros};
use chutegrade_records::{kind, pb, text, Kind};
use tokio::time::{sleep, timeout};

use crate::peers::health_check::HealthChecker;
use crate::server::fleet_series::FleetSeries;
use crate::server::overload_control::OverloadControl;
use crate::server::plugins::Plugins;
use crate::shared::clock::{to_duration, Clock};
use crate::shared::engine_handle::EngineHandle;
use crate::shared::event_recorder::EventRecorder;
use crate::shared::stream_registry::StreamRegistry;
use crate::shared::subscription_channel::SubscriptionChannel;

/// Minimum time between two log lines on dropped reports: a misconfigured peer may cause a thousand drops a second.
const DROPPED_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum time until the next tick if no timer is set.
const IDLE_TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Health checks are spread over this share of the time to the next timer, so that their results arrive before it is due.
const HEALTH_CHECK_SPREAD: f64 = 0.5;

/// Dependencies and parameters of the tick loop.
pub struct TickLoop {
    /// Receives reports between ticks and decides in each tick.
    pub engine: EngineHandle,
    /// Time source of ticks.
    pub clock: Clock,
    /// Notified of orders.
    pub streams: Rc<StreamRegistry>,
    /// Receives the discovery subscription that the engine requests.
    pub subscriptions: Rc<SubscriptionChannel>,
    /// Runs the health checks that the engine requests.
    pub health_checker: Rc<HealthChecker>,
    /// Evaluated before each tick, so that the tick applies their advice.
    pub plugins: Rc<Plugins>,
    /// Evaluated before each tick, so that the tick applies its limits.
    pub overload: Rc<OverloadControl>,
    /// Records the log events of the engine.
    pub recorder: EventRecorder,
    /// Records fleet metrics, if records are kept.
    pub series: Option<FleetSeries>,
    /// Minimum time between two ticks that are caused by reports.
    pub min_tick_interval: Duration,
}

impl TickLoop {
    /// Ticks when a timer or a record of metrics is due, or reports are pending. A tick that reports cause starts at least
    /// `min_tick_interval` after the previous tick.
    pub async fn run(self) {
        let mut dropped_logged_at = Instant::now();
        loop {
            let ticked_at = Instant::now();
            let next_timer = self.tick();
            if dropped_logged_at.elapsed() >= DROPPED_LOG_INTERVAL {
                dropped_logged_at = Instant::now();
                self.log_dropped_reports();
            }
            let until_due = self.until_due(next_timer);
            let has_report = timeout(until_due, self.engine.report_pending())
                .await
                .is_ok();
            if has_report {
                sleep(self.min_tick_interval.saturating_sub(ticked_at.elapsed())).await;
            }
        }
    }

    /// Runs one tick; returns when the next timer is due.
    fn tick(&self) -> Option<Micros> {
        let now = self.clock.now();
        self.plugins.evaluate();
        self.overload.evaluate();
        let next_timer = self.engine.borrow_mut().tick(now);
        let until_next = next_timer.map_or(Duration::ZERO, |next| to_duration(next - now));
        self.notify_streams();
        self.schedule_health_checks(until_next.mul_f64(HEALTH_CHECK_SPREAD));
        let subscription = self.engine.borrow_mut().take_subscription();
        self.subscriptions.request(subscription);
        self.record_log_events();
        if let Some(series) = &self.series {
            series.record_due();
        }
        next_timer
    }

    fn until_due(&self, next_timer: Option<Micros>) -> Duration {
        let until_timer = next_timer.map_or(IDLE_TICK_INTERVAL, |next| {
            to_duration(next - self.clock.now())
        });
        match &self.series {
            Some(series) => until_timer.min(series.until_due()),
            None => until_timer,
        }
    }

    fn notify_streams(&self) {
        let streams = self.engine.borrow_mut().take_streams_with_orders();
        for stream in streams {
            self.streams.notify_order(stream);
        }
    }

    fn schedule_health_checks(&self, spread: Duration) {
        let checks = std::iter::from_fn(|| self.engine.borrow_mut().take_health_check()).collect();
        self.health_checker.schedule(checks, spread);
    }

    fn record_log_events(&self) {
        let now = self.clock.now();
        loop {
            let event = self.engine.borrow_mut().take_log_event(now);
            let Some(event) = event else { return };
            if event.logged {
                log_event(&event);
            }
            self.recorder
                .record_at(event.occurred_at, event.observed_at, event.kind);
        }
    }

    fn log_dropped_reports(&self) {
        let dropped = self.engine.take_dropped();
        if dropped.count == 0 {
            return;
        }
        tracing::warn!(
            reports = dropped.count,
            last = dropped.last_reason,
            "reports dropped"
        );
        self.recorder
            .record(Kind::ReportsDropped(pb::ReportsDropped {
                count: dropped.count,
                last: dropped.last_reason,
            }));
    }
}

fn log_event(event: &LogEvent) {
    let kind = kind::name(kind::number(&event.kind));
    let server = kind::server(&event.kind);
    tracing::info!(kind, server, "{}", text::line(&event.kind));
}
