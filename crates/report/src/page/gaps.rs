//! The table of gaps.

use chutegrade_records::{text, Gap};
use maud::{html, Markup};

/// Lists the intervals of which records are missing.
pub(super) fn gaps(gaps: &[Gap]) -> Markup {
    html! {
        section {
            h2 { "What is not known" }
            @if gaps.is_empty() { p { "Nothing is missing." } }
            @else {
                table {
                    thead { tr { th { "from" } th { "to" } th { "length" } th { "supervisor" } th { "reason" } th { "what more is known" } } }
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
