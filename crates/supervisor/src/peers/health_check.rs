//! Health checks of servers over pooled connections.

mod connection_pool;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use chutegrade_engine::{Class, HealthCheck, HealthCheckOutcome, LoadReport, Report};
use http_body_util::{BodyExt, Limited};
use hyper::StatusCode;
use tokio::time::timeout;

use crate::peers::health_check::connection_pool::ConnectionPool;
use crate::protocol::disconnect::DisconnectReason;
use crate::protocol::http::{self, RequestSender};
use crate::protocol::load_report::decode_load_report;
use crate::shared::clock::{to_duration, to_micros};
use crate::shared::engine_handle::EngineHandle;
use crate::shared::shutdown::Shutdown;

/// The response timeout as a share of the shortest latency objective of all classes: a server that takes longer for a
/// trivial request cannot meet that objective.
const RESPONSE_TIMEOUT_SHARE: f64 = 0.5;
/// Maximum response timeout, for long latency objectives or none: the next health check is due after this time.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum length of a response body, in bytes: a load report is one short line.
const MAX_BODY_BYTES: usize = 16 * 1024;
/// Maximum number of health checks that are scheduled or in flight, each in a separate task; further ones are reported as
/// inconclusive. The engine runs one check per server at a time, and the largest fleet is a quarter of this.
const MAX_PENDING_CHECKS: usize = 4096;

/// Configuration of health checks.
pub struct HealthCheckConfig {
    /// Whether load reports are requested rather than only the health.
    pub uses_load_reports: bool,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Timeout for the complete response to a request.
    pub response_timeout: Duration,
    /// How long an idle connection stays in the pool.
    pub idle_timeout: Duration,
}

/// Checks the health of servers and reports the results to the engine.
pub struct HealthChecker {
    engine: EngineHandle,
    shutdown: Shutdown,
    path: &'static str,
    response_timeout: Duration,
    pool: ConnectionPool,
    pending: Cell<usize>,
}

/// The result of one health check.
struct CheckResult {
    outcome: HealthCheckOutcome,
    load: LoadReport,
    /// When the attempt started that led to the result.
    sent_at: Instant,
}

/// The response of a server to a health check.
struct CheckResponse {
    status: StatusCode,
    load: LoadReport,
}

/// Returns the timeout of a health check response for the latency objectives of the classes.
pub fn response_timeout(classes: &[Class]) -> Duration {
    let shortest_objective = classes
        .iter()
        .map(|class| to_duration(class.latency_objective))
        .filter(|objective| !objective.is_zero())
        .min();
    match shortest_objective {
        Some(objective) => objective
            .mul_f64(RESPONSE_TIMEOUT_SHARE)
            .min(MAX_RESPONSE_TIMEOUT),
        None => MAX_RESPONSE_TIMEOUT,
    }
}

impl HealthChecker {
    /// Creates a checker without connections.
    pub fn new(engine: EngineHandle, shutdown: Shutdown, config: HealthCheckConfig) -> Rc<Self> {
        let path = if config.uses_load_reports {
            "/-/load"
        } else {
            "/-/healthy"
        };
        let pool = ConnectionPool::new(
            shutdown.clone(),
            config.connect_timeout,
            config.idle_timeout,
        );
        Rc::new(HealthChecker {
            engine,
            shutdown,
            path,
            response_timeout: config.response_timeout,
            pool,
            pending: Cell::new(0),
        })
    }

    /// Schedules health checks evenly over `spread`; each result is reported to the engine. If all were sent at once, hundreds
    /// of responses would arrive together, and their waiting time in this process would count as latency of the servers.
    pub fn schedule(self: &Rc<Self>, checks: Vec<HealthCheck>, spread: Duration) {
        let count = u32::try_from(checks.len().max(1)).unwrap_or(u32::MAX);
        let interval = spread / count;
        let mut delay = Duration::ZERO;
        for check in checks {
            self.schedule_one(check, delay);
            delay += interval;
        }
    }

    /// Closes half of the idle connections to servers, to free descriptors for other connections.
    pub fn release_idle_connections(&self) {
        self.pool.release_idle();
    }

    fn schedule_one(self: &Rc<Self>, check: HealthCheck, delay: Duration) {
        if self.pending.get() >= MAX_PENDING_CHECKS {
            self.engine.report(Report::HealthChecked {
                check,
                outcome: HealthCheckOutcome::Inconclusive,
                elapsed: to_micros(Duration::ZERO),
                load: LoadReport::default(),
            });
            return;
        }
        self.pending.set(self.pending.get() + 1);
        let checker = Rc::clone(self);
        tokio::task::spawn_local(async move {
            // The check is due once the delay has elapsed without a shutdown: nothing is sent while the supervisor stops.
            let is_due = timeout(delay, checker.shutdown.requested()).await.is_err();
            if is_due {
                checker.check_and_report(check).await;
            }
            checker.pending.set(checker.pending.get().saturating_sub(1));
        });
    }

    async fn check_and_report(&self, check: HealthCheck) {
        let CheckResult {
            outcome,
            load,
            sent_at,
        } = self.check(&check.address).await;
        self.engine.report(Report::HealthChecked {
            check,
            outcome,
            elapsed: to_micros(sent_at.elapsed()),
            load,
        });
    }

    /// Checks the server at `host`, its address in the endpoint list.
    async fn check(&self, host: &str) -> CheckResult {
        let mut sent_at = Instant::now();
        let Ok(address) = host.parse::<SocketAddr>() else {
            return CheckResult {
                outcome: HealthCheckOutcome::Inconclusive,
                load: LoadReport::default(),
                sent_at,
            };
        };
        let (outcome, load) = match self.request(address, host, &mut sent_at).await {
            Ok(response) => (outcome_of_status(response.status), response.load),
            Err(reason) => (outcome_of_disconnect(reason), LoadReport::default()),
        };
        CheckResult {
            outcome,
            load,
            sent_at,
        }
    }

    async fn request(
        &self,
        address: SocketAddr,
        host: &str,
        sent_at: &mut Instant,
    ) -> Result<CheckResponse, DisconnectReason> {
        if let Some(sender) = self.pool.take_idle(address) {
            // A server may close an idle connection just as the next request is sent. That is not a failure of the server, so
            // the request is retried on a new connection.
            match self.request_on(sender, address, host).await {
                Err(
                    DisconnectReason::Closed
                    | DisconnectReason::Truncated
                    | DisconnectReason::Reset,
                ) => {}
                result => return result,
            }
        }
        // `connect` resets `sent_at`, so that the time spent on a broken connection does not count as latency of the server.
        let sender = self.pool.connect(address, host, sent_at).await?;
        self.request_on(sender, address, host).await
    }

    /// Sends the request on a connection, which returns to the pool if the response arrives in time.
    async fn request_on(
        &self,
        mut sender: RequestSender,
        address: SocketAddr,
        host: &str,
    ) -> Result<CheckResponse, DisconnectReason> {
        let exchange = exchange(&mut sender, host, self.path);
        let response = timeout(self.response_timeout, exchange)
            .await
            .unwrap_or(Err(DisconnectReason::TimedOut))?;
        self.pool.put_idle(address, sender);
        Ok(response)
    }
}

/// Requests a path and waits for the complete response.
async fn exchange(
    sender: &mut RequestSender,
    host: &str,
    path: &str,
) -> Result<CheckResponse, DisconnectReason> {
    let response = http::get(sender, host, path).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|error| http::incomplete_body_reason(error.as_ref()))?
        .to_bytes();
    let load = decode_load_report(&String::from_utf8_lossy(&body));
    Ok(CheckResponse { status, load })
}

fn outcome_of_status(status: StatusCode) -> HealthCheckOutcome {
    if status.is_success() {
        return HealthCheckOutcome::Passed;
    }
    match status {
        // The response of a running server that is draining or receives too many health checks.
        StatusCode::SERVICE_UNAVAILABLE => HealthCheckOutcome::Rejected,
        _ => HealthCheckOutcome::Error,
    }
}

fn outcome_of_disconnect(reason: DisconnectReason) -> HealthCheckOutcome {
    match reason {
        DisconnectReason::TimedOut => HealthCheckOutcome::TimedOut,
        DisconnectReason::ResourcesExhausted => HealthCheckOutcome::Inconclusive,
        DisconnectReason::Malformed | DisconnectReason::TooLong => HealthCheckOutcome::Error,
        _ => HealthCheckOutcome::Unreachable,
    }
}

#[cfg(test)]
mod tests;
