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

pub use engine::{Advised, ClassView, Decides, Engine, Limited, ListWish, Probe, Report, Unknown};
pub use measure::Measure;
pub use names::Listed;
pub use notes::{told, Noted};
pub use order::{Order, Part};

/// The types that reports share with the decision module.
pub use chutegrade_policy::interface::{
    Class, Figures, Lifecycle, ListKind, Load, Micros, ProbeEnd, ReportSource, Retry, Settings,
};

/// A stream of a proxy, numbered by whoever accepts it; a number is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);
