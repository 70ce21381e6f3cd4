//! The table of gaps.

use chutegrade_records::{text, Gap};
use maud::{html, Markup};

/// Returns the section that lists the intervals with missing or unreliable records.
pub(super) fn gaps(gaps: &[Gap]) -> Markup {
    html! {
        section {
            h2 { "Gaps in the records" }
            @if gaps.is_empty() { p { "No records are missing." } }
            @else {
                table {
                    thead { tr { th { "from" } th { "to" } th { "length" } th { "supervisor" } th { "reason" } th { "details" } } }
                    tbody { @for gap in gaps { (row(gap)) } }
                }
            }
        }
    }
}

fn row(gap: &Gap) -> Markup {
    let length_us = gap.to_us.saturating_sub(gap.from_us);
    html! {
        tr {
            td { (text::time_of_day(gap.from_us)) }
            td { (text::time_of_day(gap.to_us)) }
            td.number { (text::duration(length_us)) }
            td { (gap.supervisor) }
            td { (gap.reason.as_str()) }
            td { @if gap.missing > 0 { (gap.missing) " records missing. " } (gap.detail) }
        }
    }
}
