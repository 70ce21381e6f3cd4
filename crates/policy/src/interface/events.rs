//! Events: the input of the decisions.

use super::{
    Advice, ClassId, Endpoint, EndpointUpdateKind, Limits, Micros, ProxyId, ServerId, TableId,
    ZoneId,
};

/// A load report of a server. A figure that the deployment does not report is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests being handled.
    pub in_flight: Option<f64>,
    /// Requests queued.
    pub queued: Option<f64>,
    /// Utilization of the cores, from 0 to 1.
    pub utilization: Option<f64>,
    /// Recent service time without queueing, in milliseconds.
    pub latency_ms: Option<f64>,
    /// Requests served per second.
    pub requests_per_second: Option<f64>,
    /// Errors per second, as counted by the server.
    pub errors_per_second: Option<f64>,
}

/// How a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckOutcome {
    /// Answered.
    Passed,
    /// Answered with an error.
    Error,
    /// Rejected: the server is draining or has too many health checks to answer.
    Rejected,
    /// No answer in time.
    TimedOut,
    /// The connection was refused or broken.
    Unreachable,
    /// An outcome that says nothing about the server.
    Inconclusive,
}

/// An input of the decisions.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the endpoint list.
    EndpointList(EndpointUpdateKind, Vec<Endpoint>),
    /// A proxy opened its stream to this instance.
    ProxyJoined {
        /// The proxy that joined.
        proxy: ProxyId,
        /// The zone that it runs in.
        zone: ZoneId,
        /// Its typical traffic, in requests per second.
        request_rate: f64,
        /// Whether it may hold suspensions of another instance, which are corrected at one line for each server.
        has_previous_table: bool,
    },
    /// A proxy's stream broke. The proxy keeps its tables; messages queued for it are lost.
    ProxyLeft(ProxyId),
    /// This instance closed a proxy's stream. Messages queued for the proxy may still be in the channel.
    StreamClosed(ProxyId),
    /// Outcomes of the attempts that the joined proxies of a zone made at a server.
    ServerOutcomes {
        /// Zone of the proxies.
        zone: ZoneId,
        /// The server that received the attempts.
        server: ServerId,
        /// Attempts that ended.
        attempts: f64,
        /// Attempts that failed.
        failed: f64,
        /// Mean latency of the successful attempts, in milliseconds; 0 if there was none.
        mean_latency_ms: f64,
        /// Length of the reporting period.
        period: Micros,
        /// The newest load report of the server.
        load: LoadReport,
    },
    /// Requests of a class that arrived at a proxy.
    ProxyDemand {
        /// The proxy at which the requests arrived.
        proxy: ProxyId,
        /// The class of the requests.
        class: ClassId,
        /// Requests that arrived.
        arrivals: f64,
        /// Admitted requests that failed.
        failed: f64,
        /// Length of the reporting period.
        period: Micros,
    },
    /// Requests of a class that arrived for a slice.
    SliceDemand {
        /// The slice.
        table: TableId,
        /// The class of the requests.
        class: ClassId,
        /// Requests that arrived.
        arrivals: f64,
        /// Admitted requests that failed.
        failed: f64,
        /// Length of the reporting period.
        period: Micros,
    },
    /// This instance gained or lost the ownership of a slice.
    SliceOwnership {
        /// The slice.
        table: TableId,
        /// Whether ownership was granted or revoked.
        granted: bool,
    },
    /// One weight of a slice's table, as published before this instance owned it.
    PublishedWeight {
        /// The slice.
        table: TableId,
        /// A server that the table contains.
        server: ServerId,
        /// Its weight as last published.
        weight: f64,
    },
    /// A proxy applied the message with this sequence number.
    Acknowledged {
        /// The acknowledging proxy.
        proxy: ProxyId,
        /// The sequence number of the message.
        sequence: u16,
        /// Time from the order to its effect.
        elapsed: Micros,
    },
    /// A proxy's stream may be dead: an acknowledgement is late, or nothing arrived for a while.
    LivenessCheckDue(ProxyId),
    /// The result of a health check.
    HealthChecked {
        /// The server that was checked.
        server: ServerId,
        /// How the check ended.
        outcome: HealthCheckOutcome,
        /// Time from the start of the check to its end.
        elapsed: Micros,
        /// The load report that came with it, if any.
        load: LoadReport,
    },
    /// A message from another instance.
    PeerMessage {
        /// The sending instance.
        from: u32,
        /// The payload.
        data: Vec<u8>,
    },
    /// The advice of plug-ins, which replaces the previous one.
    Advice(Advice),
    /// The overload limits, which replace the previous ones.
    Limits(Limits),
    /// A timer is due.
    Timer(u32),
}
