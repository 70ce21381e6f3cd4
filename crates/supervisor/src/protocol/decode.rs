//! Decodes lines from proxies and collectors into typed messages.

use chutegrade_engine::{Micros, Report};

use crate::protocol::fields::Fields;
use crate::protocol::malformed::MalformedMessage;

/// The kind of acknowledgements.
const ACKNOWLEDGEMENT: &str = "ack";

/// The first message of a proxy: `hello`.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyHello {
    /// Number of the proxy.
    pub proxy: u32,
    /// Name of the proxy's zone.
    pub zone: String,
    /// Approximate requests per second of the proxy.
    pub request_rate: f64,
    /// Whether the proxy has no table from an earlier stream.
    pub has_no_table: bool,
}

/// A message of a proxy or a collector.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Requests a liveness reply: `probe`.
    Probe,
    /// The first message of a collector: `agent`.
    CollectorHello {
        /// Name of the collector's zone.
        zone: String,
    },
    /// The first message of a proxy: `hello`.
    ProxyHello(ProxyHello),
    /// A report that is independent of its connection: `outcomes` or `demand`.
    Report(Report),
    /// A proxy has applied all orders up to a sequence number: `ack`.
    Acknowledgement {
        /// Number of the proxy.
        proxy: u32,
        /// Sequence number of the last applied order.
        sequence: u16,
        /// Time from the order to its effect.
        elapsed: Micros,
    },
    /// A message of a kind that this version does not know.
    Unknown,
    /// A message of a known kind that cannot be decoded. The framing is intact, so other messages can still be decoded: the
    /// connection of an identified peer stays open, unless too many of its messages in a row are malformed.
    Malformed(MalformedMessage),
}

impl Message {
    /// Returns whether the message is an acknowledgement, even if it cannot be decoded.
    pub fn is_acknowledgement(&self) -> bool {
        match self {
            Message::Acknowledgement { .. } => true,
            Message::Malformed(malformed) => malformed.message_kind() == Some(ACKNOWLEDGEMENT),
            _ => false,
        }
    }
}

/// Decodes a line without its line end. A message of a known kind that cannot be decoded is [`Message::Malformed`].
///
/// # Errors
///
/// If the line is not a message: the framing is lost, and the rest of the connection cannot be decoded.
pub fn decode_message(line: &str) -> Result<Message, MalformedMessage> {
    let kind = line.split(' ').next().unwrap_or_default();
    let is_kind = !kind.is_empty() && kind.bytes().all(|byte| byte.is_ascii_lowercase());
    if !is_kind {
        return Err(MalformedMessage::NotAMessage);
    }
    let decoded = match kind {
        "probe" => Ok(Message::Probe),
        "agent" => decode_collector_hello(&Fields::new("agent", line)),
        "hello" => decode_proxy_hello(&Fields::new("hello", line)),
        "outcomes" => decode_server_outcomes(&Fields::new("outcomes", line)),
        "demand" => decode_proxy_demand(&Fields::new("demand", line)),
        ACKNOWLEDGEMENT => decode_acknowledgement(&Fields::new(ACKNOWLEDGEMENT, line)),
        _ => Ok(Message::Unknown),
    };
    Ok(decoded.unwrap_or_else(Message::Malformed))
}

fn decode_collector_hello(fields: &Fields) -> Result<Message, MalformedMessage> {
    Ok(Message::CollectorHello {
        zone: fields.text("site")?.to_string(),
    })
}

fn decode_proxy_hello(fields: &Fields) -> Result<Message, MalformedMessage> {
    let has_no_table = match fields.find("new") {
        Some("1") => true,
        Some("0") | None => false,
        Some(_) => return Err(fields.invalid("new")),
    };
    Ok(Message::ProxyHello(ProxyHello {
        proxy: fields.parse("id")?,
        zone: fields.text("site")?.to_string(),
        request_rate: fields.count("rps")?,
        has_no_table,
    }))
}

fn decode_server_outcomes(fields: &Fields) -> Result<Message, MalformedMessage> {
    let attempts = fields.count("count")?;
    Ok(Message::Report(Report::ServerOutcomes {
        zone: fields.text("site")?.to_string(),
        server: fields.text("target")?.to_string(),
        attempts,
        failed: fields.failures(attempts)?,
        mean_latency_ms: fields.mean_latency_ms()?,
        period: fields.period()?,
        load: chutegrade_settings::parse_load_report(fields.find("util").unwrap_or_default()),
    }))
}

fn decode_proxy_demand(fields: &Fields) -> Result<Message, MalformedMessage> {
    let arrivals = fields.count("count")?;
    Ok(Message::Report(Report::ProxyDemand {
        proxy: fields.parse("id")?,
        class: fields.text("lane")?.to_string(),
        arrivals,
        failed: fields.failures(arrivals)?,
        period: fields.period()?,
    }))
}

fn decode_acknowledgement(fields: &Fields) -> Result<Message, MalformedMessage> {
    Ok(Message::Acknowledgement {
        proxy: fields.parse("id")?,
        sequence: fields.parse("seq")?,
        elapsed: fields.time("ms")?,
    })
}

#[cfg(test)]
mod tests;
