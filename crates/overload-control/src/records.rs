//! Converts level transitions and signals to records.

use chutegrade_limits::service_levels::FULL_SERVICE;
use chutegrade_limits::signals::SignalReading;
use chutegrade_limits::LevelTransition;
use chutegrade_records::{pb, Kind};

const US_PER_MS: i64 = 1000;

/// Converts a level transition to a record.
pub fn transition_record(transition: &LevelTransition) -> Kind {
    Kind::ServiceLevel(pb::ServiceLevel {
        from: transition.from.clone(),
        to: transition.to.clone(),
        number: u32::try_from(transition.number).unwrap_or(u32::MAX),
        reason: transition.reason.as_str().to_string(),
        condition: transition.condition.clone(),
        signals: transition.readings.iter().map(signal_record).collect(),
        tell: transition.notify.clone(),
    })
}

/// Returns the record of a saved level that was not restored after a restart, with the reason; service is full instead.
pub fn not_restored_record(level: &str, reason: String) -> Kind {
    Kind::ServiceLevel(pb::ServiceLevel {
        from: level.to_string(),
        to: FULL_SERVICE.to_string(),
        reason: "not restored".to_string(),
        condition: reason,
        ..pb::ServiceLevel::default()
    })
}

/// Converts the reading of a signal to a record.
pub fn signal_record(reading: &SignalReading) -> pb::Signal {
    pb::Signal {
        name: reading.signal.name().to_string(),
        value: reading.value,
        age_ms: u64::try_from(reading.age_us / US_PER_MS).unwrap_or(0),
    }
}
