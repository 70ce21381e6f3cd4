//! Records in words: the one place where log lines, the console's events and the report's rows are worded. And times and
//! lengths of time as people write them.

use jiff::Timestamp;

use crate::pb::{self, record::Kind, Cause, Life, State};

/// A text as a cell of CSV: quoted where it must be.
pub fn cell(text: &str) -> String {
    if text.contains([',', '"', '\n', '\r']) {
        format!("\"{}\"", text.replace('"', "\"\""))
    } else {
        text.to_string()
    }
}

/// The word for a state.
pub fn state(state: State) -> &'static str {
    match state {
        State::Full => "full",
        State::Reduced => "reduced",
        State::Withdrawn => "withdrawn",
    }
}

/// The word for a life.
pub fn life(life: Life) -> &'static str {
    match life {
        Life::InService => "in service",
        Life::Draining => "draining",
        Life::Gone => "gone",
    }
}

/// The words for a cause.
pub fn cause(cause: Cause) -> &'static str {
    match cause {
        Cause::Score => "its score",
        Cause::Errors => "tries fail",
        Cause::Latency => "it got slower",
        Cause::Probes => "probes fail",
        Cause::TriedAgain => "its time out is over",
        Cause::GoodTicks => "good for long enough",
    }
}

/// The words for a way of trying again.
pub fn retry(retry: u32) -> &'static str {
    match retry {
        0 => "never",
        1 => "once, after proof that it did not run",
        2 => "once",
        _ => "twice",
    }
}

/// A record's kind in one line, without its time.
pub fn line(kind: &Kind) -> String {
    match kind {
        Kind::Started(of) => format!(
            "started, version {}, listening at {}",
            of.version, of.listen
        ),
        Kind::Stopped(of) => format!("stopped: {}", of.reason),
        Kind::ClockStepped(of) => {
            format!("the system's clock stepped by {}", signed(of.by_us))
        }
        Kind::Lost(of) => {
            let length = length(of.to_us.saturating_sub(of.from_us));
            format!(
                "{} records lost over {length}: {}",
                of.count,
                lost(&of.reason)
            )
        }
        Kind::Recovered(of) => recovered(of),
        Kind::StateChanged(of) => format!(
            "{} {}, score {:.2}: errors {:.2} latency {:.2}, {}",
            of.server,
            state(of.state()),
            of.score,
            of.errors,
            of.latency,
            cause(of.cause())
        ),
        Kind::LifeChanged(of) => format!("{} {}", of.server, life(of.life())),
        Kind::ServerStarted(of) => format!("{} started", of.server),
        Kind::Withdrawn(of) if of.out => {
            format!(
                "{} shut out of all tables, {} streams told",
                of.server, of.streams
            )
        }
        Kind::Withdrawn(of) => format!("{} let in again, {} streams told", of.server, of.streams),
        Kind::ColdHeld(of) if of.held => {
            format!(
                "cold servers held out of tables: {:.1} tries an answer",
                of.tries
            )
        }
        Kind::ColdHeld(of) => format!("cold servers let in again: {:.1} tries an answer", of.tries),
        Kind::ZoneCut(of) if of.cut => {
            format!(
                "zone {} cut off from here: {:.0} % answer no probe",
                of.zone,
                100.0 * of.mute
            )
        }
        Kind::ZoneCut(of) => format!("zone {} answers again", of.zone),
        Kind::Saturation(of) => format!(
            "refuses {:.1}, saturated {:.2}: queues {:.2} probes {:.2} mute {:.2}",
            of.refused, of.strain, of.queues, of.probes, of.mute
        ),
        Kind::Level(of) => format!(
            "level of {} {} in table {}, tries again {}, saturated {:.2}",
            of.class,
            figure(of.level),
            of.table,
            retry(of.retry),
            of.strain
        ),
        Kind::AdviceVoid(of) if of.void => {
            format!(
                "advice on table {} is void: it would leave too little",
                of.table
            )
        }
        Kind::AdviceVoid(of) => format!("advice on table {} holds again", of.table),
        Kind::ServiceLevel(of) => service_level(of),
        Kind::PluginLoaded(of) if !of.refused.is_empty() => {
            format!("plug-in {} refused: {}", of.name, of.refused)
        }
        Kind::PluginLoaded(of) => format!(
            "plug-in {} version {} loaded, {}",
            of.name, of.version, of.digest
        ),
        Kind::PluginSaid(of) => format!("plug-in {} {}: {}", of.name, of.what, of.text),
        Kind::Parts(of) if of.narrowed => {
            format!(
                "fleet dealt into {} parts, narrowed: tries fail everywhere",
                of.parts
            )
        }
        Kind::Parts(of) => format!("fleet dealt into {} parts", of.parts),
        Kind::Failing(of) if of.failing => {
            format!(
                "{} fails {:.0} of {:.0} tries from {}",
                of.server, of.failed, of.tries, of.zone
            )
        }
        Kind::Failing(of) => format!("{} answers tries from {} again", of.server, of.zone),
        Kind::StreamJoined(of) => {
            let held = if of.new {
                "holds no table"
            } else {
                "brings a table"
            };
            format!(
                "proxy {}@{} joined with {:.1} requests/s, {held}",
                of.proxy, of.zone, of.rate
            )
        }
        Kind::StreamLeft(of) => {
            let lasted = length(
                i64::try_from(of.lasted_ms)
                    .unwrap_or(i64::MAX)
                    .saturating_mul(1000),
            );
            format!(
                "proxy {}@{} left after {lasted}: {}",
                of.proxy, of.zone, of.reason
            )
        }
        Kind::Published(of) => format!(
            "{} lines, {} bindings, {} withdrawals to {} streams",
            of.lines, of.binds, of.withdrawals, of.streams
        ),
        Kind::Gauge(of) => format!(
            "{:.0} lines wait, refuses {:.2}, {} streams, {} full {} reduced {} withdrawn {} cold",
            of.waiting, of.refused, of.streams, of.full, of.reduced, of.withdrawn, of.cold
        ),
        Kind::ReportsDropped(of) => format!("{} reports dropped, the last: {}", of.count, of.last),
        Kind::Discovery(of) if of.tells => "discovery tells again".to_string(),
        Kind::Discovery(of) => format!("discovery does not tell: {}", of.reason),
        Kind::Reloaded(of) if of.taken => format!("configuration reloaded: {}", of.detail),
        Kind::Reloaded(of) => format!("the new configuration is not taken: {}", of.detail),
        Kind::Fleet(of) => format!("{} servers as they stand", of.servers.len()),
    }
}

/// Text from a name that a peer gave, without what moves a terminal's cursor.
pub fn printable(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_control() { '\u{fffd}' } else { c })
        .collect()
}

/// A figure as short as it can be without loss below a hundredth.
pub fn figure(value: f64) -> String {
    let text = format!("{value:.2}");
    text.trim_end_matches('0').trim_end_matches('.').to_string()
}

fn lost(reason: &str) -> &str {
    match reason {
        "queue" => "the writer was too slow",
        "disk" => "nothing could be written",
        other => other,
    }
}

/// A signal with its age, where that says something.
pub fn signal(of: &pb::Signal) -> String {
    let value = of.value.map_or_else(|| "unknown".to_string(), figure);
    let age = i64::try_from(of.age_ms)
        .unwrap_or(i64::MAX)
        .saturating_mul(1000);
    let old = if of.age_ms >= 1000 {
        format!(" {} ago", length(age))
    } else {
        String::new()
    };
    format!("{} {value}{old}", of.name)
}

fn service_level(of: &pb::ServiceLevel) -> String {
    let signals: Vec<String> = of.signals.iter().map(signal).collect();
    let mut text = format!("service level {} after {}, {}", of.to, of.from, of.reason);
    for (lead, more) in [
        (": ", of.condition.clone()),
        ("; ", signals.join(", ")),
        ("; tell ", of.tell.join(", ")),
    ] {
        if !more.is_empty() {
            text += &format!("{lead}{more}");
        }
    }
    text
}

fn recovered(of: &pb::Recovered) -> String {
    let end = if of.stopped {
        "ended as asked"
    } else {
        "ended without a last word"
    };
    let mut text = format!(
        "start {} {end}, {} records kept",
        of.incarnation, of.records
    );
    if of.torn_bytes > 0 {
        text += &format!(", {} bytes of a torn tail dropped", of.torn_bytes);
    }
    if of.damaged_bytes > 0 {
        text += &format!(", {} bytes damaged", of.damaged_bytes);
    }
    text
}

/// A point in time, RFC 3339 with milliseconds, UTC.
pub fn time(us: i64) -> String {
    let at = Timestamp::from_microsecond(us).unwrap_or(if us < 0 {
        Timestamp::MIN
    } else {
        Timestamp::MAX
    });
    at.strftime("%Y-%m-%dT%H:%M:%S%.3fZ").to_string()
}

/// The time of day alone, with milliseconds, UTC.
pub fn clock(us: i64) -> String {
    time(us).get(11..23).unwrap_or_default().to_string()
}

/// A length of time, rounded to what matters.
pub fn length(us: i64) -> String {
    let ms = us / 1000;
    match ms {
        ..=-1 => format!("-{}", length(us.saturating_neg())),
        0..=999 => format!("{ms} ms"),
        1000..=59_999 => format!("{:.1} s", ms as f64 / 1000.0),
        60_000..=3_599_999 => format!("{} min {} s", ms / 60_000, ms % 60_000 / 1000),
        _ => format!("{} h {} min", ms / 3_600_000, ms % 3_600_000 / 60_000),
    }
}

fn signed(us: i64) -> String {
    if us < 0 {
        length(us)
    } else {
        format!("+{}", length(us))
    }
}

/// A time that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is no time: give 2026-12-01T09:12:00Z, 09:12 or 09:12:30 (UTC, of the last record's day), or 10m, 90s, 2h before the last record")]
pub struct NoTime(String);

/// Reads a point in time; what is given as a time of day or a length counts from the last record's time.
pub fn parse_time(text: &str, last_us: i64) -> Result<i64, NoTime> {
    if let Ok(at) = text.parse::<Timestamp>() {
        return Ok(at.as_microsecond());
    }
    let no = || NoTime(text.to_string());
    if let Some(count) = text.strip_suffix(['s', 'm', 'h']) {
        let unit = if text.ends_with('s') {
            1
        } else if text.ends_with('m') {
            60
        } else {
            3600
        };
        let count: i64 = count.parse().map_err(|_| no())?;
        return Some(count)
            .filter(|count| *count >= 0)
            .map(|c| last_us.saturating_sub(c.saturating_mul(unit * 1_000_000)))
            .ok_or_else(no);
    }
    let day = time(last_us).get(..10).unwrap_or_default().to_string();
    let seconds = if text.matches(':').count() == 1 {
        ":00"
    } else {
        ""
    };
    format!("{day}T{text}{seconds}Z")
        .parse::<Timestamp>()
        .map(|at| at.as_microsecond())
        .map_err(|_| no())
}

#[cfg(test)]
mod tests;
