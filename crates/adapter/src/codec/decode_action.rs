//! Decoding of the action lines that the adapter of another build writes.

use chutegrade_policy::{Action, ClassSet, Micros, Retry};

use super::error::CodecError;
use super::fields::Fields;
use super::vocabulary::{ALL_PROXIES_TABLE, US_PER_MS};

/// Maximum number of characters of an unknown tag in an error message.
const MAX_SHOWN_TAG: usize = 80;

/// Decodes the action of a line; `None` if the fleet model does not use the line.
pub(crate) fn decode_action(line: &str) -> Result<Option<Action>, CodecError> {
    let fields = Fields::new(line);
    let action = match fields.tag() {
        "endpoint" => Action::SetWeight {
            table: fields.table()?,
            server: fields.server()?,
            weight: fields.non_negative("weight")?,
        },
        "wipe" => Action::ClearTable(fields.table()?),
        "point" => Action::AssignTable {
            proxy: fields.proxy()?,
            table: fields.table()?,
            classes: classes(&fields)?,
        },
        "suspend" => Action::SetSuspended {
            server: fields.server()?,
            suspended: fields.flag("active")?,
        },
        "allow" => set_admission(&fields)?,
        "ask_receipt" => Action::RequestAcknowledgement {
            sequence: fields.parse("gen")?,
            all_proxies: fields.flag("active")?,
        },
        "ping" => Action::HealthCheck(fields.server()?),
        "subscribe" => Action::SubscribeEndpoints(fields.flag("active")?),
        "list_all" => Action::FetchEndpoints,
        "arm" => set_timer(&fields)?,
        "source" | "write_log" | "notify" => return Ok(None),
        unknown => {
            let shown = unknown.chars().take(MAX_SHOWN_TAG).collect();
            return Err(CodecError::UnknownAction(shown));
        }
    };
    Ok(Some(action))
}

fn classes(fields: &Fields) -> Result<ClassSet, CodecError> {
    fields.parse("classBits").map(ClassSet)
}

fn retry(fields: &Fields) -> Result<Retry, CodecError> {
    let number: u8 = fields.parse("secondTry")?;
    Ok(chutegrade_settings::retry_from_number(i64::from(number)))
}

fn set_admission(fields: &Fields) -> Result<Action, CodecError> {
    let table = fields.table()?;
    Ok(Action::SetAdmission {
        table: (table.0 != ALL_PROXIES_TABLE).then_some(table),
        classes: classes(fields)?,
        level: fields.non_negative("allowance")?,
        retry: retry(fields)?,
    })
}

fn set_timer(fields: &Fields) -> Result<Action, CodecError> {
    let delay_us = (fields.non_negative("fromNowMs")? * US_PER_MS).round();
    Ok(Action::SetTimer {
        id: fields.parse("handle")?,
        delay: Micros(delay_us as i64),
    })
}
