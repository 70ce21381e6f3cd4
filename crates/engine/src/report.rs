//! Reports of peers and other components to the engine, with names instead of ids.

use chutegrade_policy::{EndpointUpdateKind, HealthCheckOutcome, LoadReport, Micros};

use crate::endpoint::NamedEndpoint;
use crate::guidance::{OverloadLimits, PluginAdvice};
use crate::health_check::HealthCheck;
use crate::streams::StreamId;

/// An input of the next tick.
#[derive(Clone, Debug, PartialEq)]
pub enum Report {
    /// A watch event or snapshot of the endpoint list.
    EndpointList(EndpointUpdateKind, Vec<NamedEndpoint>),
    /// A proxy opened a new stream, which replaces any older stream of the same proxy.
    StreamOpened {
        /// The new stream.
        stream: StreamId,
        /// Number of the proxy.
        proxy: u32,
        /// Name of the proxy's zone.
        zone: String,
        /// The proxy's usual traffic, in requests per second.
        request_rate: f64,
        /// Whether the proxy has no table from an earlier stream.
        has_no_table: bool,
    },
    /// A stream ended or broke.
    StreamLost(StreamId),
    /// This supervisor closed a stream; the proxy may still be running.
    StreamClosed(StreamId),
    /// Outcomes of the attempts that proxies of a zone made at a server.
    ServerOutcomes {
        /// Name of the proxies' zone.
        zone: String,
        /// Name of the server.
        server: String,
        /// Number of completed attempts.
        attempts: f64,
        /// Number of attempts without a successful response.
        failed: f64,
        /// Mean latency of the successful attempts, in milliseconds.
        mean_latency_ms: f64,
        /// Length of the reporting period.
        period: Micros,
        /// Newest load report of the server.
        load: LoadReport,
    },
    /// Requests of a class that arrived at a proxy.
    ProxyDemand {
        /// Number of the proxy.
        proxy: u32,
        /// Name of the class.
        class: String,
        /// Number of requests that arrived.
        arrivals: f64,
        /// Number of admitted requests without a response.
        failed: f64,
        /// Length of the reporting period.
        period: Micros,
    },
    /// A proxy has applied all orders up to a sequence number.
    Acknowledged {
        /// Stream on which the acknowledgement arrived.
        stream: StreamId,
        /// The acknowledged sequence number.
        sequence: u16,
        /// Time from the order to its effect.
        elapsed: Micros,
    },
    /// A stream may be dead: its proxy should be asked for an acknowledgement.
    LivenessCheckDue(StreamId),
    /// Advice of the plug-ins; replaces all earlier advice.
    Advice(PluginAdvice),
    /// Limits set by the overload manager; replace all earlier limits.
    Limits(OverloadLimits),
    /// The result of a health check.
    HealthChecked {
        /// The health check.
        check: HealthCheck,
        /// Outcome of the health check.
        outcome: HealthCheckOutcome,
        /// Time since the health check was sent.
        elapsed: Micros,
        /// Load report in the response; empty if there was none.
        load: LoadReport,
    },
}

/// The content of [`Report::ServerOutcomes`].
pub(crate) struct OutcomeReport {
    /// Name of the proxies' zone.
    pub zone: String,
    /// Name of the server.
    pub server: String,
    /// Number of completed attempts.
    pub attempts: f64,
    /// Number of attempts without a successful response.
    pub failed: f64,
    /// Mean latency of the successful attempts, in milliseconds.
    pub mean_latency_ms: f64,
    /// Length of the reporting period, which ends at about the current time.
    pub period: Micros,
    /// Newest load report of the server.
    pub load: LoadReport,
}

/// The content of [`Report::ProxyDemand`].
pub(crate) struct DemandReport {
    /// Number of the proxy.
    pub proxy: u32,
    /// Name of the class.
    pub class: String,
    /// Number of requests that arrived.
    pub arrivals: f64,
    /// Number of admitted requests without a response.
    pub failed: f64,
    /// Length of the reporting period.
    pub period: Micros,
}

/// Why the engine dropped a report.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// The server is not in the endpoint list, and was not removed from it recently.
    #[error("unknown server {0}")]
    UnknownServer(String),
    /// The zone is not in the settings.
    #[error("unknown zone {0}")]
    UnknownZone(String),
    /// The class is not in the settings.
    #[error("unknown class {0}")]
    UnknownClass(String),
    /// The proxy is not in the settings, or has no open stream.
    #[error("unknown proxy {0}")]
    UnknownProxy(u32),
    /// The stream is not open: a newer stream of the same proxy has replaced it, or it has ended.
    #[error("stream replaced or ended")]
    StreamReplaced,
    /// The queue of reports for the next tick is full.
    #[error("too many reports queued for the next tick")]
    QueueFull,
}
