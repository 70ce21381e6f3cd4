//! Events: what an instance learns.

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
    /// Errors per second.
    pub errors_per_second: Option<f64>,
}

/// The outcome of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckOutcome {
    /// Answered.
    Passed,
    /// Answered with an error.
    Error,
    /// Rejected: the server drains or answers too many health checks.
    Rejected,
    /// No answer in time.
    TimedOut,
    /// The connection was refused or broke.
    Unreachable,
    /// An outcome that says nothing about the server.
    Inconclusive,
}

/// An event that the decisions take in.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the endpoint list.
    EndpointList(EndpointUpdateKind, Vec<Endpoint>),
    /// A proxy opened its stream to this instance.
    ProxyJoined {
        /// The proxy.
        proxy: ProxyId,
        /// Its zone.
        zone: ZoneId,
        /// Its usual traffic, in requests per second.
        request_rate: f64,
        /// It may hold suspensions of another instance, which its first table corrects at one line for each server.
        has_previous_table: bool,
    },
    /// A proxy's stream broke. The proxy keeps its tables; what was queued for it is lost.
    ProxyLeft(ProxyId),
    /// This instance closed a proxy's stream: what was queued for the proxy may still be in the channel.
    StreamClosed(ProxyId),
    /// Outcomes of the attempts that the joined proxies of a zone made at a server.
    ServerOutcomes {
        /// Zone of the proxies.
        zone: ZoneId,
        /// The server.
        server: ServerId,
        /// Attempts that ended.
        attempts: f64,
        /// Attempts that failed.
        failed: f64,
        /// Mean latency of the successful attempts, in milliseconds; 0 if there was none.
        mean_latency_ms: f64,
        /// Time over which it was counted.
        period: Micros,
        /// The newest load report of the server.
        load: LoadReport,
    },
    /// Requests of a class that arrived at a proxy.
    ProxyDemand {
        /// The proxy.
        proxy: ProxyId,
        /// The class.
        class: ClassId,
        /// Requests that arrived.
        arrivals: f64,
        /// Admitted requests that failed.
        failed: f64,
        /// Time over which it was counted.
        period: Micros,
    },
    /// Requests of a class that arrived for a slice.
    SliceDemand {
        /// The slice.
        table: TableId,
        /// The class.
        class: ClassId,
        /// Requests that arrived.
        arrivals: f64,
        /// Admitted requests that failed.
        failed: f64,
        /// Time over which it was counted.
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
        /// The server.
        server: ServerId,
        /// Its weight.
        weight: f64,
    },
    /// A proxy applied the message with this sequence number.
    Acknowledged {
        /// The proxy.
        proxy: ProxyId,
        /// The sequence number.
        sequence: u16,
        /// Time from the order to its effect.
        elapsed: Micros,
    },
    /// The result of a health check.
    HealthChecked {
        /// The server.
        server: ServerId,
        /// Its outcome.
        outcome: HealthCheckOutcome,
        /// Time since it was sent.
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
