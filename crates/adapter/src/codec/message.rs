//! Decoding of the simulator's messages.

use chutegrade_policy::{Endpoint, EndpointUpdateKind, Event, Micros, Settings, ZoneId};

use super::decode_event::decode_event;
use super::error::CodecError;
use super::fields::Fields;
use super::vocabulary::{ENDPOINT_UPDATE_KINDS, LIFECYCLES};

/// Weight of an endpoint whose line has no weight.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Start of the field with the settings, which takes the rest of the line.
const SETTINGS_FIELD: &str = "\tenv=";

/// One line of a batch.
#[derive(Debug, PartialEq)]
pub enum Message {
    /// A batch begins.
    BatchStart {
        /// Time of the batch.
        now: Micros,
        /// Number of the batch.
        number: u64,
    },
    /// The batch is complete.
    BatchEnd,
    /// The following messages are for this instance.
    SelectInstance(u32),
    /// The selected instance starts, or restarts without its state.
    StartInstance {
        /// Seed of the decision module, which determines the delay of the first tick.
        seed: u64,
        /// Settings of the instance.
        settings: Box<Settings>,
    },
    /// The selected instance was killed; its state is lost.
    StopInstance,
    /// An endpoint list starts; its entries follow, one per line.
    EndpointListStart {
        /// Whether the list is complete, contains changes only, or is unavailable.
        kind: EndpointUpdateKind,
        /// Number of entries that follow.
        entries: usize,
    },
    /// The next entry of the endpoint list that has started.
    EndpointListEntry(Endpoint),
    /// An event for the decision module.
    Event(Event),
    /// A message with an unknown tag, which is ignored.
    Unknown,
}

/// Decodes a line.
///
/// # Errors
///
/// A required field is absent, or a field has an invalid value.
pub fn decode_message(line: &str) -> Result<Message, CodecError> {
    let fields = Fields::new(line);
    match fields.tag() {
        "frame" => Ok(Message::BatchStart {
            now: fields.milliseconds("atTimeMs")?,
            number: fields.parse("frame")?,
        }),
        "your_turn" => Ok(Message::BatchEnd),
        "at" => Ok(Message::SelectInstance(fields.parse("supervisor")?)),
        "begin" => decode_start(line, &fields),
        "teardown" => Ok(Message::StopInstance),
        "discovery" => decode_list_start(&fields),
        "row" => Ok(Message::EndpointListEntry(decode_endpoint(&fields)?)),
        _ => match decode_event(&fields)? {
            Some(event) => Ok(Message::Event(event)),
            None => Ok(Message::Unknown),
        },
    }
}

fn decode_start(line: &str, fields: &Fields) -> Result<Message, CodecError> {
    let Some((_, settings)) = line.split_once(SETTINGS_FIELD) else {
        return Err(fields.missing("env"));
    };
    Ok(Message::StartInstance {
        seed: fields.parse("nonce64")?,
        settings: Box::new(chutegrade_settings::from_text(settings)?),
    })
}

fn decode_list_start(fields: &Fields) -> Result<Message, CodecError> {
    let entries = if fields.has("rows") {
        fields.parse("rows")?
    } else {
        0
    };
    let kind = fields.keyword("how", &ENDPOINT_UPDATE_KINDS)?;
    Ok(Message::EndpointListStart { kind, entries })
}

fn decode_endpoint(fields: &Fields) -> Result<Endpoint, CodecError> {
    let started_at_ms = fields.non_negative_or("upSinceMs", 0.0)?;
    Ok(Endpoint {
        server: fields.server()?,
        zone: ZoneId(fields.non_negative_or("locality", 0.0)? as u16),
        machine_kind: fields.non_negative_or("familyType", 0.0)? as u32,
        cell: fields.non_negative_or("cluster", 0.0)? as u32,
        lifecycle: fields.keyword("lifecycle", &LIFECYCLES)?,
        weight: fields.non_negative_or("weight", DEFAULT_WEIGHT)?,
        started_at: (started_at_ms > 0.0).then(|| Micros::from_ms(started_at_ms)),
    })
}
