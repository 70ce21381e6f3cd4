//! Decodes the lines of proxies and collectors to typed messages.

use chutegrade_engine::{Micros, Report};

use crate::protocol::fields::Fields;
use crate::protocol::malformed::MalformedMessage;

/// How a proxy introduces itself: `hello`.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyHello {
    /// Its number.
    pub proxy: u32,
    /// Its zone.
    pub zone: String,
    /// Its requests per second, roughly.
    pub request_rate: f64,
    /// Whether it holds no table of an earlier stream.
    pub has_no_table: bool,
}

/// A message of a proxy or a collector.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Asks whether the supervisor is alive: `probe`.
    Probe,
    /// A collector introduces itself: `agent`.
    CollectorHello {
        /// Its zone.
        zone: String,
    },
    /// A proxy introduces itself: `hello`.
    ProxyHello(ProxyHello),
    /// A report that is independent of its connection: `outcomes` or `demand`.
    Report(Report),
    /// A proxy has applied all orders up to a sequence number: `ack`.
    Acknowledgement {
        /// The proxy.
        proxy: u32,
        /// The sequence number.
        sequence: u16,
        /// How long that took.
        elapsed: Micros,
    },
    /// A kind that this version does not know.
    Unknown,
    /// A message of a known kind that can't be read. It is skipped and its connection stays open: the framing is intact, so
    /// the messages around it are good.
    Malformed(MalformedMessage),
}

/// Decodes one line, without its end. A message of a known kind that can't be read is [`Message::Malformed`].
///
/// # Errors
///
/// If the line is no message at all: the framing is lost, and the rest of the connection cannot be read.
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
        "ack" => decode_acknowledgement(&Fields::new("ack", line)),
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
