//! The fleet as it results from recorded events.

use chutegrade_records::replay::Picture;
use chutegrade_records::timeline::Event;

/// Applies events in their order to an empty fleet.
pub fn replay<'a>(events: impl IntoIterator<Item = &'a Event>) -> Picture {
    let mut fleet = Picture::default();
    for event in events {
        fleet.apply(&event.record);
    }
    fleet
}
