//! What peers and other components report to the engine, by names.

use chutegrade_policy::{EndpointUpdateKind, HealthCheckOutcome, LoadReport, Micros};

use crate::endpoint::NamedEndpoint;
use crate::guidance::{OverloadLimits, PluginAdvice};
use crate::health_check::HealthCheck;
use crate::streams::StreamId;

/// Something that happened, as input of the next tick.
#[derive(Clone, Debug, PartialEq)]
pub enum Report {
    /// A watch event or snapshot of the endpoint list.
    EndpointList(EndpointUpdateKind, Vec<NamedEndpoint>),
    /// A proxy identified itself on a new stream, which replaces any older stream of the same proxy.
    StreamOpened {
        /// The stream.
        stream: StreamId,
        /// Number of the proxy.
        proxy: u32,
        /// Its zone.
        zone: String,
        /// Its ordinary traffic, in requests per second.
        request_rate: f64,
        /// Whether it has no table from an earlier stream.
        has_no_table: bool,
    },
    /// A stream ended.
    StreamLost(StreamId),
    /// This supervisor closed a stream; its peer may still be running.
    StreamClosed(StreamId),
    /// Outcomes of the attempts that proxies of a zone made at a server.
    ServerOutcomes {
        /// Zone of the proxies.
        zone: String,
        /// Name of the server.
        server: String,
        /// Attempts that ended.
        attempts: f64,
        /// Attempts without a successful response.
        failed: f64,
        /// Mean latency of the successful ones, in milliseconds.
        mean_latency_ms: f64,
        /// Length of the reporting period.
        period: Micros,
        /// Newest load report.
        load: LoadReport,
    },
    /// Requests of a class that arrived at a proxy.
    ProxyDemand {
        /// Number of the proxy.
        proxy: u32,
        /// Name of the class.
        class: String,
        /// Requests that arrived.
        arrivals: f64,
        /// Admitted requests without a response.
        failed: f64,
        /// Length of the reporting period.
        period: Micros,
    },
    /// A proxy has applied all orders up to a sequence number.
    Acknowledged {
        /// Stream on which the acknowledgement arrived.
        stream: StreamId,
        /// The sequence number.
        sequence: u16,
        /// Time from the order to its effect.
        elapsed: Micros,
    },
    /// Advice of the plug-ins; replaces all earlier advice.
    Advice(PluginAdvice),
    /// Decision of the overload manager; replaces its earlier decision.
    Limits(OverloadLimits),
    /// The result of a health check.
    HealthChecked {
        /// The health check.
        check: HealthCheck,
        /// How it ended.
        outcome: HealthCheckOutcome,
        /// Time since it was sent.
        elapsed: Micros,
        /// Load report of the response; empty if it had none.
        load: LoadReport,
    },
}

/// The content of [`Report::ServerOutcomes`].
pub(crate) struct OutcomeReport {
    /// Zone of the proxies.
    pub zone: String,
    /// Name of the server.
    pub server: String,
    /// Attempts that ended.
    pub attempts: f64,
    /// Attempts without a successful response.
    pub failed: f64,
    /// Mean latency of the successful ones, in milliseconds.
    pub mean_latency_ms: f64,
    /// Length of the reporting period, which ends about now.
    pub period: Micros,
    /// Newest load report.
    pub load: LoadReport,
}

/// The content of [`Report::ProxyDemand`].
pub(crate) struct DemandReport {
    /// Number of the proxy.
    pub proxy: u32,
    /// Name of the class.
    pub class: String,
    /// Requests that arrived.
    pub arrivals: f64,
    /// Admitted requests without a response.
    pub failed: f64,
    /// Length of the reporting period.
    pub period: Micros,
}

/// Why the engine dropped a report.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// The server is not in the endpoint list, and was not in it recently.
    #[error("unknown server {0}")]
    UnknownServer(String),
    /// The zone is not in the settings.
    #[error("unknown site {0}")]
    UnknownZone(String),
    /// The class is not in the settings.
    #[error("unknown lane {0}")]
    UnknownClass(String),
    /// The proxy is not in the settings, or has no open stream.
    #[error("unknown proxy {0}")]
    UnknownProxy(u32),
    /// A newer stream of the same proxy has replaced this one.
    #[error("stream replaced")]
    StreamReplaced,
    /// The queue of reports for the next tick is full.
    #[error("too many reports wait")]
    QueueFull,
}
