//! Experiments on the fleet model. All variants run with the same seeds, so that differences are paired; runs continue
//! until the differences have the requested precision, and stored results survive a kill.

pub mod experiment;
pub mod report;
pub mod run;
pub mod search;
pub mod stats;
pub mod store;

pub use experiment::{read, Plan};
pub use run::{play, Progress};
pub use store::{Result as RunResult, Store};
