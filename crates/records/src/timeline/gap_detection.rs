//! Detects gaps from the indexes of a supervisor's segments.

use std::sync::Arc;

use super::gap::{Gap, GapReason};
use super::supervisor::{IndexedSegment, Supervisor};
use crate::index::STALLED_US;
use crate::pb::Index;

/// Returns the gaps of a supervisor, by its own clock.
pub(super) fn gaps(supervisor: &Supervisor) -> Vec<Gap> {
    let mut detector = GapDetector {
        supervisor: &supervisor.name,
        gaps: Vec::new(),
    };
    let mut previous: Option<&IndexedSegment> = None;
    for segment in &supervisor.segments {
        detector.add_stored(&segment.index);
        // A segment without records has no times to compare.
        if segment.index.records == 0 {
            continue;
        }
        match previous {
            None => detector.add_before_first(segment),
            Some(previous) if previous.id.incarnation == segment.id.incarnation => {
                detector.add_within_incarnation(&previous.index, &segment.index);
            }
            Some(previous) => detector.add_between_incarnations(previous, segment),
        }
        previous = Some(segment);
    }
    if let Some(last) = previous {
        detector.add_after_last(&last.index);
    }
    detector.gaps
}

struct GapDetector<'a> {
    supervisor: &'a Arc<str>,
    gaps: Vec<Gap>,
}

impl GapDetector<'_> {
    /// Adds a gap without missing records or details.
    fn add(&mut self, from_us: i64, to_us: i64, reason: GapReason) -> &mut Gap {
        let gap = Gap {
            supervisor: Arc::clone(self.supervisor),
            from_us,
            to_us: to_us.max(from_us),
            reason,
            missing: 0,
            detail: String::new(),
        };
        let index = self.gaps.len();
        self.gaps.push(gap);
        &mut self.gaps[index]
    }

    /// Adds the gaps within a segment, which its index lists.
    fn add_stored(&mut self, index: &Index) {
        for hole in &index.holes {
            let reason = GapReason::from_stored(&hole.reason);
            let gap = self.add(hole.from_us, hole.to_us, reason);
            gap.missing = hole.missing;
            gap.detail.clone_from(&hole.detail);
        }
    }

    fn add_before_first(&mut self, first: &IndexedSegment) {
        let is_trimmed =
            first.id.incarnation > 1 || first.id.number > 0 || first.index.first_seq > 1;
        if is_trimmed {
            self.add(i64::MIN, first.index.first_us, GapReason::Trimmed);
        }
    }

    fn add_within_incarnation(&mut self, previous: &Index, next: &Index) {
        let missing = next
            .first_seq
            .saturating_sub(previous.last_seq)
            .saturating_sub(1);
        if missing > 0 {
            let gap = self.add(previous.last_us, next.first_us, GapReason::Damaged);
            gap.missing = missing;
            gap.detail = torn_tail(previous);
        } else if next.first_us - previous.last_us > STALLED_US {
            self.add(previous.last_us, next.first_us, GapReason::Stalled);
        }
    }

    fn add_between_incarnations(&mut self, previous: &IndexedSegment, next: &IndexedSegment) {
        let reason = if previous.index.stopped {
            GapReason::Stopped
        } else {
            GapReason::Crashed
        };
        let skipped = next.id.incarnation - previous.id.incarnation - 1;
        let mut details = vec![torn_tail(&previous.index)];
        if skipped > 0 {
            details.push(format!("{skipped} starts in between left no records"));
        }
        details.retain(|detail| !detail.is_empty());
        let gap = self.add(previous.index.last_us, next.index.first_us, reason);
        gap.detail = details.join(", ");
    }

    fn add_after_last(&mut self, last: &Index) {
        if last.stopped {
            self.add(last.last_us, i64::MAX, GapReason::Stopped);
        } else {
            let gap = self.add(last.last_us, i64::MAX, GapReason::Open);
            gap.detail = torn_tail(last);
        }
    }
}

/// Describes the torn tail of the segment before a gap; empty if it has none.
fn torn_tail(index: &Index) -> String {
    match index.torn_bytes {
        0 => String::new(),
        bytes => format!("{bytes} bytes of a torn tail"),
    }
}
