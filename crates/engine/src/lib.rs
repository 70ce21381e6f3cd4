//! A synchronous facade of the decision module, without I/O.
//!
//! [`Engine::report`] queues an input, [`Engine::tick`] passes the queued inputs to the decision module as one batch
//! and returns when the next timer is due, and the `take_*` methods return the outputs: orders, health checks,
//! discovery requests, log events. The module's events and actions are internal, except to an alternative
//! [`DecisionPolicy`]. The engine executes decisions and makes none: it stores tables, admission levels and
//! suspensions, and translates between names and numeric ids.

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
