//! The laboratory: experiments on the fleet model. Variants meet the same seeds, so that differences are taken in pairs; runs
//! go on until the difference is known as well as asked, and results outlive a kill.

pub mod experiment;
pub mod report;
pub mod run;
pub mod search;
pub mod stats;
pub mod store;

pub use experiment::{read, Plan};
pub use run::{play, Progress};
pub use store::{Result as RunResult, Store};
