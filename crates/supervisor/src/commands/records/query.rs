//! Builds the query for `records list` and `records export`.

use chutegrade_records::index::Query;
use chutegrade_records::kind::{self, KINDS};
use chutegrade_records::Timeline;

use crate::commands::arguments::RecordSelection;
use crate::commands::time_window::{check_order, last_record_us, parse_optional};
use crate::commands::CommandError;

/// Returns the query for a selection.
///
/// # Errors
///
/// If a time cannot be parsed, the time window ends before it begins, or a kind is unknown.
pub fn build(selection: &RecordSelection, timeline: &Timeline) -> Result<Query, CommandError> {
    let last_us = last_record_us(timeline);
    let from_us = parse_optional(selection.from.as_deref(), last_us)?;
    let to_us = parse_optional(selection.to.as_deref(), last_us)?;
    if let (Some(from_us), Some(to_us)) = (from_us, to_us) {
        check_order(from_us, to_us)?;
    }
    Ok(Query {
        from_us,
        to_us,
        kinds: kind_numbers(&selection.kinds)?,
        server: selection.server.clone(),
    })
}

fn kind_numbers(names: &[String]) -> Result<Vec<u32>, CommandError> {
    names.iter().map(|name| kind_number(name)).collect()
}

fn kind_number(name: &str) -> Result<u32, CommandError> {
    kind::by_name(name).ok_or_else(|| CommandError::UnknownKind {
        name: name.to_string(),
        known: KINDS.map(|(_, name)| name).to_vec(),
    })
}
