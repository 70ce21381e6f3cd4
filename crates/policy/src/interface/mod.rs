//! The interface between the decisions and the protocol around them: settings, input events and resulting actions.
//! These types hold data only.

mod actions;
mod classes;
mod endpoints;
mod events;
mod guidance;
mod ids;
mod settings;
mod status;
mod time;

pub use actions::{Action, AdmissionLevel};
pub use classes::{Class, DeduplicationScope, Idempotency, Retry};
pub use endpoints::{Endpoint, EndpointUpdateKind, Lifecycle};
pub use events::{Event, HealthCheckOutcome, LoadReport};
pub use guidance::{
    Advice, ClassRetry, ClassShare, Limits, ServerExclusion, ShedShares, WeightFactor,
};
pub use ids::{ClassId, ClassSet, ProxyId, ServerId, TableId, ZoneId};
pub use settings::{AdmissionUnit, ListedWeight, PickPolicy, ReportSource, Settings, NO_LIMIT};
pub use status::{
    DecisionEvent, FleetStatus, HealthChangeCause, HealthState, ScoreTerms, ServerStatus,
};
pub use time::Micros;
