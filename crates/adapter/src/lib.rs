//! The simulator's wire before the decisions of chutegrade. Nothing here decides anything: [`codec`]
//! translates lines to events and actions to lines, [`host`] keeps one decision module for each instance.

pub mod codec;
pub mod host;
mod limits;
pub mod other;
