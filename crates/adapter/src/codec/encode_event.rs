//! Encoding of events for the adapter of another build.

use chutegrade_policy::{Endpoint, EndpointUpdateKind, Event, LoadReport, Micros};

use super::vocabulary::{
    keyword_for, ENDPOINT_UPDATE_KINDS, HEALTH_CHECK_OUTCOMES, INCONCLUSIVE_OUTCOME, LIFECYCLES,
    US_PER_MS,
};

/// Added to encoded times, so that a decoder that truncates to microseconds gets the same time.
const TIME_ROUNDING_MS: f64 = 0.000_25;

/// Returns a time in milliseconds as it is written to the wire.
pub(crate) fn encode_time(time: Micros) -> f64 {
    time.0 as f64 / US_PER_MS + TIME_ROUNDING_MS
}

/// Encodes an event as lines with line breaks; `list_number` is the number of an endpoint list. Returns an empty string
/// for advice, limits, peer messages and events of slices, which are not passed to another build.
pub(crate) fn encode_event(event: &Event, list_number: u64) -> String {
    match event {
        // The wire protocol only has answers.
        Event::EndpointList(EndpointUpdateKind::Pending, _) => String::new(),
        Event::EndpointList(kind, endpoints) => endpoint_list(*kind, endpoints, list_number),
        Event::ProxyJoined {
            proxy,
            zone,
            request_rate,
            has_previous_table,
        } => {
            let active = u8::from(!has_previous_table);
            format!(
                "joined\tclientLb={}\tlocality={}\tweight={request_rate}\tactive={active}\n",
                proxy.0, zone.0
            )
        }
        Event::ProxyLeft(proxy) | Event::StreamClosed(proxy) => {
            format!("lost_stream\tclientLb={}\n", proxy.0)
        }
        Event::Acknowledged {
            proxy,
            sequence,
            elapsed,
        } => {
            let elapsed_ms = encode_time(*elapsed);
            format!(
                "receipt\tclientLb={}\tgen={sequence}\tcostTimeMs={elapsed_ms}\n",
                proxy.0
            )
        }
        Event::Timer(id) => format!("ring\thandle={id}\n"),
        measurement => encode_measurement(measurement),
    }
}

fn encode_measurement(event: &Event) -> String {
    match event {
        Event::ServerOutcomes {
            zone,
            server,
            attempts,
            failed,
            mean_latency_ms,
            period,
            load,
        } => {
            let period_ms = encode_time(*period);
            let load = load_field(load);
            format!(
                "tally\tlocality={}\tserver={}\ttotal={attempts}\tbad={failed}\t\
                 costTimeMs={mean_latency_ms}\tperiodLenMs={period_ms}{load}\n",
                zone.0, server.0
            )
        }
        Event::ProxyDemand {
            proxy,
            class,
            arrivals,
            failed,
            period,
        } => {
            let period_ms = encode_time(*period);
            format!(
                "usage\tclientLb={}\tprofile={}\ttotal={arrivals}\tbad={failed}\tperiodLenMs={period_ms}\n",
                proxy.0, class.0
            )
        }
        Event::HealthChecked {
            server,
            outcome,
            elapsed,
            load,
        } => {
            let ending =
                keyword_for(&HEALTH_CHECK_OUTCOMES, outcome).unwrap_or(INCONCLUSIVE_OUTCOME);
            let elapsed_ms = encode_time(*elapsed);
            let load = load_field(load);
            format!(
                "health\tserver={}\tending={ending}\tcostTimeMs={elapsed_ms}{load}\n",
                server.0
            )
        }
        _ => String::new(),
    }
}

fn endpoint_list(kind: EndpointUpdateKind, endpoints: &[Endpoint], list_number: u64) -> String {
    let how = keyword_for(&ENDPOINT_UPDATE_KINDS, &kind).unwrap_or("");
    let rows: String = endpoints.iter().map(endpoint).collect();
    let count = endpoints.len();
    format!("discovery\tgen={list_number}\thow={how}\trows={count}\n{rows}")
}

fn endpoint(endpoint: &Endpoint) -> String {
    let Endpoint {
        server,
        zone,
        machine_kind,
        cell,
        lifecycle,
        weight,
        started_at,
    } = endpoint;
    let lifecycle = keyword_for(&LIFECYCLES, lifecycle).unwrap_or("");
    let started_at = match started_at {
        Some(time) => format!("\tupSinceMs={}", encode_time(*time)),
        None => String::new(),
    };
    format!(
        "row\tserver={}\tlocality={}\tfamilyType={machine_kind}\tcluster={cell}\t\
         lifecycle={lifecycle}\tweight={weight}{started_at}\n",
        server.0, zone.0
    )
}

/// Encodes a load report as a field with a leading separator; an empty string for an empty report.
fn load_field(load: &LoadReport) -> String {
    let values = [
        load.in_flight.map(|value| format!("inflight:{value}")),
        load.queued.map(|value| format!("queue:{value}")),
        load.utilization.map(|value| format!("util:{value}")),
        load.latency_ms.map(|value| format!("latency_ms:{value}")),
    ];
    let reported: Vec<String> = values.into_iter().flatten().collect();
    if reported.is_empty() {
        return String::new();
    }
    format!("\thealthInfo={}", reported.join(","))
}
