//! Decoding of event lines for the decision module.

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use chutegrade_policy::{ClassId, Event, HealthCheckOutcome};

use super::error::CodecError;
use super::fields::Fields;
use super::vocabulary::{EMPTY_PAYLOAD, HEALTH_CHECK_OUTCOMES};

/// Decodes the event of a line; `None` if the tag is unknown.
pub(super) fn decode_event(fields: &Fields) -> Result<Option<Event>, CodecError> {
    let event = match fields.tag() {
        "usage" => proxy_demand(fields)?,
        "key_load" => slice_demand(fields)?,
        "receipt" => acknowledged(fields)?,
        "health" => health_checked(fields)?,
        "tenure" => slice_ownership(fields)?,
        "held" => published_weight(fields)?,
        "tally" => server_outcomes(fields)?,
        "lost_stream" => Event::ProxyLeft(fields.proxy()?),
        "joined" => proxy_joined(fields)?,
        "whisper" => peer_message(fields)?,
        "ring" => Event::Timer(fields.parse("handle")?),
        _ => return Ok(None),
    };
    Ok(Some(event))
}

fn proxy_demand(fields: &Fields) -> Result<Event, CodecError> {
    Ok(Event::ProxyDemand {
        proxy: fields.proxy()?,
        class: ClassId(fields.parse("profile")?),
        arrivals: fields.non_negative("total")?,
        failed: fields.non_negative("bad")?,
        period: fields.milliseconds("periodLenMs")?,
    })
}

fn slice_demand(fields: &Fields) -> Result<Event, CodecError> {
    Ok(Event::SliceDemand {
        table: fields.table()?,
        class: ClassId(fields.parse("profile")?),
        arrivals: fields.non_negative("total")?,
        failed: fields.non_negative("bad")?,
        period: fields.milliseconds("periodLenMs")?,
    })
}

fn acknowledged(fields: &Fields) -> Result<Event, CodecError> {
    Ok(Event::Acknowledged {
        proxy: fields.proxy()?,
        sequence: fields.parse("gen")?,
        elapsed: fields.milliseconds("costTimeMs")?,
    })
}

fn health_checked(fields: &Fields) -> Result<Event, CodecError> {
    let outcome = fields.keyword("ending", &HEALTH_CHECK_OUTCOMES);
    Ok(Event::HealthChecked {
        server: fields.server()?,
        outcome: outcome.unwrap_or(HealthCheckOutcome::Inconclusive),
        elapsed: fields.milliseconds("costTimeMs")?,
        load: fields.load_report(),
    })
}

fn slice_ownership(fields: &Fields) -> Result<Event, CodecError> {
    Ok(Event::SliceOwnership {
        table: fields.table()?,
        granted: fields.flag("active")?,
    })
}

fn published_weight(fields: &Fields) -> Result<Event, CodecError> {
    Ok(Event::PublishedWeight {
        table: fields.table()?,
        server: fields.server()?,
        weight: fields.non_negative("weight")?,
    })
}

fn server_outcomes(fields: &Fields) -> Result<Event, CodecError> {
    Ok(Event::ServerOutcomes {
        zone: fields.zone()?,
        server: fields.server()?,
        attempts: fields.non_negative("total")?,
        failed: fields.non_negative("bad")?,
        mean_latency_ms: fields.non_negative("costTimeMs")?,
        period: fields.milliseconds("periodLenMs")?,
        load: fields.load_report(),
    })
}

fn proxy_joined(fields: &Fields) -> Result<Event, CodecError> {
    Ok(Event::ProxyJoined {
        proxy: fields.proxy()?,
        zone: fields.zone()?,
        request_rate: fields.non_negative("weight")?,
        // On this wire a proxy gets suspensions from one instance only, so there are no others to correct.
        has_previous_table: false,
    })
}

fn peer_message(fields: &Fields) -> Result<Event, CodecError> {
    let contents = fields.text("contents")?;
    let from = fields.parse("from")?;
    let data = decode_payload(contents).map_err(|_| fields.invalid("contents", contents))?;
    Ok(Event::PeerMessage { from, data })
}

fn decode_payload(contents: &str) -> Result<Vec<u8>, base64::DecodeError> {
    if contents == EMPTY_PAYLOAD {
        return Ok(Vec::new());
    }
    STANDARD.decode(contents)
}
