//! The kinds of records: their numbers in the schema, their names and the server that each concerns. Also decodes
//! records, including those of newer versions.

use prost::encoding::decode_key;
use prost::Message;

use crate::pb::{self, record::Kind, Record};

/// The first number of a kind; lower ones are fields of every record.
pub const FIRST_NUMBER: u32 = 10;

/// The number and the name of every kind, ordered by number.
pub const KINDS: [(u32, &str); 27] = [
    (10, "started"),
    (11, "stopped"),
    (12, "clock-stepped"),
    (13, "lost"),
    (14, "recovered"),
    (20, "state"),
    (21, "life"),
    (22, "server-started"),
    (23, "withdrawn"),
    (24, "cold-held"),
    (25, "zone-cut"),
    (26, "saturation"),
    (27, "level"),
    (28, "parts"),
    (29, "failing"),
    (30, "advice-void"),
    (31, "service-level"),
    (40, "joined"),
    (41, "left"),
    (42, "published"),
    (43, "gauge"),
    (44, "dropped"),
    (45, "discovery"),
    (46, "reloaded"),
    (47, "fleet"),
    (50, "plugin-loaded"),
    (51, "plugin-said"),
];

/// Returns the field number of a kind in the schema.
pub fn number(kind: &Kind) -> u32 {
    match kind {
        Kind::Started(_) => 10,
        Kind::Stopped(_) => 11,
        Kind::ClockStepped(_) => 12,
        Kind::Lost(_) => 13,
        Kind::Recovered(_) => 14,
        Kind::StateChanged(_) => 20,
        Kind::LifeChanged(_) => 21,
        Kind::ServerStarted(_) => 22,
        Kind::Withdrawn(_) => 23,
        Kind::ColdHeld(_) => 24,
        Kind::ZoneCut(_) => 25,
        Kind::Saturation(_) => 26,
        Kind::Level(_) => 27,
        Kind::Parts(_) => 28,
        Kind::Failing(_) => 29,
        Kind::AdviceVoid(_) => 30,
        Kind::ServiceLevel(_) => 31,
        Kind::StreamJoined(_) => 40,
        Kind::StreamLeft(_) => 41,
        Kind::Published(_) => 42,
        Kind::Gauge(_) => 43,
        Kind::ReportsDropped(_) => 44,
        Kind::Discovery(_) => 45,
        Kind::Reloaded(_) => 46,
        Kind::Fleet(_) => 47,
        Kind::PluginLoaded(_) => 50,
        Kind::PluginSaid(_) => 51,
    }
}

/// Returns the name of the kind with a number, or `unknown`.
pub fn name(number: u32) -> &'static str {
    KINDS
        .iter()
        .find(|(other, _)| *other == number)
        .map_or("unknown", |(_, name)| name)
}

/// Returns the number of the kind with a name, or `None` if there is none.
pub fn by_name(name: &str) -> Option<u32> {
    KINDS
        .iter()
        .find(|(_, other)| *other == name)
        .map(|(number, _)| *number)
}

/// Returns the name of the server that a record concerns, if it concerns a single one.
pub fn server(kind: &Kind) -> Option<&str> {
    match kind {
        Kind::StateChanged(change) => Some(&change.server),
        Kind::LifeChanged(change) => Some(&change.server),
        Kind::ServerStarted(start) => Some(&start.server),
        Kind::Withdrawn(withdrawal) => Some(&withdrawal.server),
        Kind::Failing(change) => Some(&change.server),
        _ => None,
    }
}

/// Returns whether a record is a sample of a time series, as shown in charts, rather than an event.
pub fn is_series(kind: &Kind) -> bool {
    matches!(kind, Kind::Gauge(_) | Kind::Fleet(_) | Kind::Published(_))
}

/// Returns whether an event shows a fault, a restriction of service or lost data. Recoveries and joins and ends of streams
/// do not.
pub fn is_fault(kind: &Kind) -> bool {
    match kind {
        Kind::StateChanged(change) => change.state() != pb::State::Full,
        Kind::LifeChanged(change) => change.life() != pb::Life::InService,
        Kind::Withdrawn(withdrawal) => withdrawal.out,
        Kind::ColdHeld(withholding) => withholding.held,
        Kind::ZoneCut(partition) => partition.cut,
        Kind::Saturation(sample) => sample.refused > 0.0,
        Kind::Failing(change) => change.failing,
        Kind::Discovery(change) => !change.tells,
        Kind::Reloaded(reload) => !reload.taken,
        Kind::AdviceVoid(change) => change.void,
        Kind::ServiceLevel(transition) => transition.number > 0,
        Kind::PluginLoaded(load) => !load.refused.is_empty(),
        Kind::PluginSaid(output) => matches!(output.what.as_str(), "fault" | "paused"),
        Kind::Lost(_) | Kind::ClockStepped(_) => true,
        _ => false,
    }
}

/// A record as far as this version can decode it, with the number of its kind.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedRecord {
    /// The record, without a kind if this version does not know it.
    pub record: Record,
    /// The number of its kind, or 0 if it has none.
    pub number: u32,
    /// The encoded record if it contains more than this version can decode.
    pub newer: Option<Vec<u8>>,
}

/// Decodes a record. Keeps the bytes if this version can't decode all of them; returns `None` if they are not a record.
pub fn decode(content: &[u8]) -> Option<DecodedRecord> {
    let record = Record::decode(content).ok()?;
    let number = record
        .kind
        .as_ref()
        .map_or_else(|| unknown_kind_number(content), number);
    let is_newer = record.encoded_len() != content.len();
    let newer = is_newer.then(|| content.to_vec());
    Some(DecodedRecord {
        record,
        number,
        newer,
    })
}

/// Returns the number of the first field beyond those of every record, or 0 if there is none.
fn unknown_kind_number(mut content: &[u8]) -> u32 {
    let context = prost::encoding::DecodeContext::default();
    while let Ok((tag, wire_type)) = decode_key(&mut content) {
        if tag >= FIRST_NUMBER {
            return tag;
        }
        if prost::encoding::skip_field(wire_type, tag, &mut content, context.clone()).is_err() {
            break;
        }
    }
    0
}

#[cfg(test)]
mod tests;
