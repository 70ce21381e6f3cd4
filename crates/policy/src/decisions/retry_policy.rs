//! The retry policy of each class. No effect may happen twice: a request is retried only after proof that its first
//! attempt was not executed, or where a second run surely changes nothing.

use crate::interface::{Class, DeduplicationScope, Idempotency, Retry};

/// The retry policy of a class, by what limits ask for and what is safe.
///
/// Retries after any failure need an idempotent class, a fleet with headroom, and limits that ask for them.
pub(super) fn retry_policy(
    class: Option<&Class>,
    requested: Option<Retry>,
    is_forbidden: bool,
    has_headroom: bool,
) -> Retry {
    let widest = if is_forbidden {
        Retry::Never
    } else if has_headroom && class.is_some_and(is_safe_to_retry) {
        Retry::Once
    } else {
        Retry::IfNotExecuted
    };
    requested.unwrap_or(Retry::IfNotExecuted).min(widest)
}

/// Whether a second run changes nothing. Keys must be kept twice as long as clients wait, since clocks differ.
fn is_safe_to_retry(class: &Class) -> bool {
    let needed = class.deadline + class.deadline;
    match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::Keyed(DeduplicationScope::All, window) => window >= needed,
        Idempotency::Keyed(..) | Idempotency::NotIdempotent => false,
    }
}
