//! The facade of the decisions, in blocking style and without sockets: [`Engine::report`] takes in what
//! happened, [`Engine::tick`] hands it to the decision module as one batch and says when to tick next, and the
//! `pick` calls give what is due. Nothing outside sees an event or an action of the module. The engine carries
//! out and never chooses: tables, levels and withdrawals are kept here as ordered, names become ids and back.

mod engine;
mod measure;
mod names;
mod notes;
mod order;
mod streams;
mod tables;

pub use engine::{
    ClassInfo, DecisionPolicy, DiscoverySubscription, Engine, HealthCheck, NamedClassRetry,
    NamedClassShare, NamedExclusion, NamedWeightFactor, OverloadLimits, PluginAdvice, Report,
    ReportError,
};
pub use measure::TrafficSample;
pub use names::NamedEndpoint;
pub use notes::{decision_record, LogEvent};
pub use order::{Order, TableUpdate};

/// The types that reports share with the decision module.
pub use chutegrade_policy::{
    AdmissionLevel, Class, EndpointUpdateKind, FleetStatus, HealthCheckOutcome, Lifecycle,
    LoadReport, Micros, ReportSource, Retry, Settings, ShedShares,
};

/// A stream of a proxy, numbered by whoever accepts it; a number is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);
