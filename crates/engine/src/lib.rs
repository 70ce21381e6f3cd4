//! The facade of the decision module, in blocking style and without sockets.
//!
//! [`Engine::report`] takes in what happened, [`Engine::tick`] hands it to the decision module as one batch and returns
//! when to tick next, and the `take_*` calls return what is due: orders, health checks, discovery requests, log events.
//! Only an alternative [`DecisionPolicy`] sees the events and actions of the module. The engine carries out decisions and
//! makes none: it stores tables, admission levels and suspensions as ordered, and translates between names and numeric
//! ids.

mod endpoint;
mod engine;
mod guidance;
mod health_check;
mod log_events;
mod names;
mod orders;
mod pending_order;
mod policy;
mod records;
mod report;
mod streams;
mod subscription;
mod tables;
mod traffic_sampling;

pub use chutegrade_settings::DeploymentNames;
pub use endpoint::NamedEndpoint;
pub use engine::{ClassInfo, DeploymentSize, Engine};
pub use guidance::{
    NamedClassRetry, NamedClassShare, NamedExclusion, NamedWeightFactor, OverloadLimits,
    PluginAdvice,
};
pub use health_check::HealthCheck;
pub use log_events::LogEvent;
pub use orders::{Order, ServerWeight, TableUpdate};
pub use policy::DecisionPolicy;
pub use records::decision_record;
pub use report::{Report, ReportError};
pub use streams::StreamId;
pub use subscription::DiscoverySubscription;
pub use traffic_sampling::TrafficSample;

/// The types that reports share with the decision module.
pub use chutegrade_policy::{
    AdmissionLevel, Class, EndpointUpdateKind, FleetStatus, HealthCheckOutcome, Idempotency,
    Lifecycle, LoadReport, Micros, ReportSource, Retry, Settings, ShedShares,
};
