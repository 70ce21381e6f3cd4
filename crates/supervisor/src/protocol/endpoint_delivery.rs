//! Decodes what discovery delivers: the complete endpoint list, or changes to it.

use std::collections::HashMap;

use chutegrade_engine::{EndpointUpdateKind, Lifecycle, Micros, NamedEndpoint, Report};
use serde::Deserialize;

use crate::protocol::malformed::MalformedMessage;

/// A delivery of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointDelivery {
    /// The list's version.
    pub version: u64,
    /// Whether it is the complete list, not changes to it.
    pub is_snapshot: bool,
    /// The endpoints that could be read, one for each server.
    pub endpoints: Vec<NamedEndpoint>,
    /// How many endpoints could not be read.
    pub unreadable: usize,
    /// The names of the unreadable endpoints whose names could be read.
    pub unreadable_names: Vec<String>,
    /// How many endpoints were dropped because a later one has the same name.
    pub duplicates: usize,
}

impl EndpointDelivery {
    /// Whether it is the complete list, and every endpoint could be read.
    pub fn is_complete(&self) -> bool {
        self.is_snapshot && self.unreadable == 0
    }
}

/// The endpoint list as it was last delivered to an earlier run.
#[derive(Clone, Debug, PartialEq)]
pub struct CachedEndpointList {
    /// The list's version.
    pub version: u64,
    /// Its endpoints.
    pub endpoints: Vec<NamedEndpoint>,
}

impl CachedEndpointList {
    /// The report of the list to the engine.
    pub fn to_report(&self) -> Report {
        Report::EndpointList(EndpointUpdateKind::CachedSnapshot, self.endpoints.clone())
    }
}

/// A delivery as it is on the wire.
#[derive(Deserialize)]
struct RawDelivery {
    index: u64,
    snapshot: bool,
    endpoints: Vec<serde_json::Value>,
}

/// An endpoint as it is on the wire.
#[derive(Deserialize)]
struct RawEndpoint {
    name: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    machine_kind: String,
    #[serde(default)]
    group: f64,
    status: String,
    #[serde(default = "default_weight")]
    weight: f64,
    #[serde(default)]
    since_ms: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// Decodes a delivery. The readable endpoints are used even if others are not, but such a snapshot is not complete: the
/// absence of an unreadable endpoint must not count as the server's removal.
///
/// # Errors
///
/// If the text is not JSON of the form of a delivery.
pub fn decode_delivery(text: &str) -> Result<EndpointDelivery, MalformedMessage> {
    serde_json::from_str::<RawDelivery>(text)
        .map(EndpointDelivery::from)
        .map_err(malformed_list)
}

/// Decodes a delivery that is part of a larger JSON document.
///
/// # Errors
///
/// If the value does not have the form of a delivery.
pub fn decode_delivery_value(
    json: serde_json::Value,
) -> Result<EndpointDelivery, MalformedMessage> {
    serde_json::from_value::<RawDelivery>(json)
        .map(EndpointDelivery::from)
        .map_err(malformed_list)
}

fn malformed_list(error: serde_json::Error) -> MalformedMessage {
    MalformedMessage::EndpointList(error.to_string())
}

impl From<RawDelivery> for EndpointDelivery {
    fn from(raw: RawDelivery) -> Self {
        let mut endpoints = Vec::new();
        let mut unreadable = 0;
        let mut unreadable_names = Vec::new();
        for json in raw.endpoints {
            let name = endpoint_name(&json);
            match decode_endpoint(json) {
                Some(endpoint) => endpoints.push(endpoint),
                None => {
                    unreadable += 1;
                    unreadable_names.extend(name);
                }
            }
        }
        let duplicates = drop_duplicates(&mut endpoints);
        EndpointDelivery {
            version: raw.index,
            is_snapshot: raw.snapshot,
            endpoints,
            unreadable,
            unreadable_names,
            duplicates,
        }
    }
}

/// Keeps the last endpoint of each name; returns how many were dropped.
fn drop_duplicates(endpoints: &mut Vec<NamedEndpoint>) -> usize {
    let last_positions: HashMap<String, usize> = endpoints
        .iter()
        .enumerate()
        .map(|(position, endpoint)| (endpoint.name.clone(), position))
        .collect();
    let duplicates = endpoints.len() - last_positions.len();
    if duplicates > 0 {
        let mut position = 0;
        endpoints.retain(|endpoint| {
            let is_last = last_positions.get(&endpoint.name) == Some(&position);
            position += 1;
            is_last
        });
    }
    duplicates
}

/// The name of an endpoint, which may be readable where the rest is not.
fn endpoint_name(json: &serde_json::Value) -> Option<String> {
    json.get("name")
        .and_then(serde_json::Value::as_str)
        .map(str::to_string)
}

fn decode_endpoint(json: serde_json::Value) -> Option<NamedEndpoint> {
    let raw: RawEndpoint = serde_json::from_value(json).ok()?;
    if !is_encodable_name(&raw.name) {
        return None;
    }
    let numbers = [raw.weight, raw.since_ms, raw.group];
    let are_valid = numbers
        .iter()
        .all(|number| number.is_finite() && *number >= 0.0);
    if !are_valid {
        return None;
    }
    let lifecycle = match raw.status.as_str() {
        "up" => Lifecycle::InService,
        "draining" => Lifecycle::Draining,
        "removed" => Lifecycle::Removed,
        _ => return None,
    };
    let started_at = (raw.since_ms > 0.0).then(|| Micros::from_ms(raw.since_ms));
    Some(NamedEndpoint {
        name: raw.name,
        address: raw.address,
        zone: raw.zone,
        machine_kind: raw.machine_kind,
        cell: raw.group as u32,
        lifecycle,
        weight: raw.weight,
        started_at,
    })
}

/// Whether a server's name can be written in an order.
fn is_encodable_name(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(is_encodable_byte)
}

fn is_encodable_byte(byte: u8) -> bool {
    let is_separator = matches!(byte, b',' | b':' | b'=');
    byte.is_ascii_graphic() && !is_separator
}

#[cfg(test)]
mod tests;
