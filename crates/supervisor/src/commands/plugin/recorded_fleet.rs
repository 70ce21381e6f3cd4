//! Reconstructs the fleet from recorded events.

use chutegrade_records::replay::FleetState;
use chutegrade_records::timeline::Event;

/// Applies events in order to an empty fleet.
pub fn replay<'a>(events: impl IntoIterator<Item = &'a Event>) -> FleetState {
    let mut fleet = FleetState::default();
    for event in events {
        fleet.apply(&event.record);
    }
    fleet
}
