//! Text for each kind of record.

use super::time::signed_duration;
use super::{cause, duration, lifecycle, retry, short_decimal, state};
use crate::pb::{self, record::Kind};

/// Describes a record in one line, without its time.
pub fn line(kind: &Kind) -> String {
    match kind {
        Kind::Started(of) => started(of),
        Kind::Stopped(of) => format!("stopped: {}", of.reason),
        Kind::ClockStepped(of) => format!(
            "the system's clock stepped by {}",
            signed_duration(of.by_us)
        ),
        Kind::Lost(of) => lost(of),
        Kind::Recovered(of) => recovered(of),
        Kind::StateChanged(of) => state_changed(of),
        Kind::LifeChanged(of) => format!("{} {}", of.server, lifecycle(of.life())),
        Kind::ServerStarted(of) => format!("{} started", of.server),
        Kind::Withdrawn(of) => withdrawn(of),
        Kind::ColdHeld(of) => warming_servers_withheld(*of),
        Kind::ZoneCut(of) => zone_cut(of),
        Kind::Saturation(of) => saturation(*of),
        Kind::Level(of) => level(of),
        Kind::AdviceVoid(of) => advice_void(of),
        Kind::ServiceLevel(of) => service_level(of),
        Kind::PluginLoaded(of) => plugin_loaded(of),
        Kind::PluginSaid(of) => format!("plug-in {} {}: {}", of.name, of.what, of.text),
        Kind::Parts(of) => shards(*of),
        Kind::Failing(of) => failing(of),
        Kind::StreamJoined(of) => stream_joined(of),
        Kind::StreamLeft(of) => stream_left(of),
        Kind::Published(of) => published(*of),
        Kind::Gauge(of) => gauge(of),
        Kind::ReportsDropped(of) => format!("{} reports dropped, the last: {}", of.count, of.last),
        Kind::Discovery(of) => discovery(of),
        Kind::Reloaded(of) => reloaded(of),
        Kind::Fleet(of) => format!("status of {} servers", of.servers.len()),
    }
}

fn started(of: &pb::Started) -> String {
    format!(
        "started, version {}, listening at {}",
        of.version, of.listen
    )
}

fn lost(of: &pb::Lost) -> String {
    let length = duration(of.to_us.saturating_sub(of.from_us));
    let reason = match of.reason.as_str() {
        "queue" => "the writer was too slow",
        "disk" => "nothing could be written",
        other => other,
    };
    format!("{} records lost over {length}: {reason}", of.count)
}

fn recovered(of: &pb::Recovered) -> String {
    let end = if of.stopped {
        "shut down cleanly"
    } else {
        "ended without a shutdown record"
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

fn state_changed(of: &pb::StateChanged) -> String {
    format!(
        "{} {}, score {:.2}: errors {:.2} latency {:.2}, {}",
        of.server,
        state(of.state()),
        of.score,
        of.errors,
        of.latency,
        cause(of.cause())
    )
}

fn withdrawn(of: &pb::Withdrawn) -> String {
    let change = if of.out {
        "suspended in all tables"
    } else {
        "resumed"
    };
    format!("{} {change}, {} streams notified", of.server, of.streams)
}

fn warming_servers_withheld(of: pb::ColdHeld) -> String {
    let change = if of.held {
        "withheld from tables"
    } else {
        "re-admitted"
    };
    format!(
        "warming servers {change}: {:.1} attempts per response",
        of.tries
    )
}

fn zone_cut(of: &pb::ZoneCut) -> String {
    if !of.cut {
        return format!("zone {} reachable again", of.zone);
    }
    let unanswered_percent = 100.0 * of.mute;
    format!(
        "zone {} partitioned from here: {unanswered_percent:.0} % of its servers answer no health check",
        of.zone
    )
}

fn saturation(of: pb::Saturation) -> String {
    format!(
        "sheds {:.1}, saturation {:.2}: queues {:.2} health checks {:.2} unanswered {:.2}",
        of.refused, of.strain, of.queues, of.probes, of.mute
    )
}

fn level(of: &pb::Level) -> String {
    format!(
        "admission level of {} {} in table {}, retries {}, saturation {:.2}",
        of.class,
        short_decimal(of.level),
        of.table,
        retry(of.retry),
        of.strain
    )
}

fn advice_void(of: &pb::AdviceVoid) -> String {
    if of.void {
        format!(
            "advice on table {} overruled: it would leave too little capacity",
            of.table
        )
    } else {
        format!("advice on table {} in force again", of.table)
    }
}

fn service_level(of: &pb::ServiceLevel) -> String {
    let signals: Vec<String> = of.signals.iter().map(signal).collect();
    let mut text = format!("service level {} after {}, {}", of.to, of.from, of.reason);
    let details = [
        (": ", of.condition.clone()),
        ("; ", signals.join(", ")),
        ("; notify ", of.tell.join(", ")),
    ];
    for (separator, detail) in details {
        if !detail.is_empty() {
            text += separator;
            text += &detail;
        }
    }
    text
}

/// Describes a signal, with its age if that is a second or more.
pub fn signal(of: &pb::Signal) -> String {
    let value = of
        .value
        .map_or_else(|| "unknown".to_string(), short_decimal);
    let age = if of.age_ms >= 1000 {
        format!(" {} ago", duration(microseconds(of.age_ms)))
    } else {
        String::new()
    };
    format!("{} {value}{age}", of.name)
}

fn plugin_loaded(of: &pb::PluginLoaded) -> String {
    if !of.refused.is_empty() {
        return format!("plug-in {} refused: {}", of.name, of.refused);
    }
    format!(
        "plug-in {} version {} loaded, {}",
        of.name, of.version, of.digest
    )
}

fn shards(of: pb::Parts) -> String {
    let narrowed = if of.narrowed {
        ", narrowed: attempts fail everywhere"
    } else {
        ""
    };
    format!("fleet divided into {} shards{narrowed}", of.parts)
}

fn failing(of: &pb::Failing) -> String {
    if !of.failing {
        return format!("{} answers attempts from {} again", of.server, of.zone);
    }
    format!(
        "{} fails {:.0} of {:.0} attempts from {}",
        of.server, of.failed, of.tries, of.zone
    )
}

fn stream_joined(of: &pb::StreamJoined) -> String {
    let table = if of.new {
        "holds no table"
    } else {
        "brings a table"
    };
    format!(
        "proxy {}@{} joined with {:.1} requests/s, {table}",
        of.proxy, of.zone, of.rate
    )
}

fn stream_left(of: &pb::StreamLeft) -> String {
    let lasted = duration(microseconds(of.lasted_ms));
    format!(
        "proxy {}@{} left after {lasted}: {}",
        of.proxy, of.zone, of.reason
    )
}

fn published(of: pb::Published) -> String {
    format!(
        "{} weights, {} assignments, {} suspensions to {} streams",
        of.lines, of.binds, of.withdrawals, of.streams
    )
}

fn gauge(of: &pb::Gauge) -> String {
    format!(
        "{:.0} lines queued, sheds {:.2}, {} streams, {} full {} reduced {} withdrawn {} warming",
        of.waiting, of.refused, of.streams, of.full, of.reduced, of.withdrawn, of.cold
    )
}

fn discovery(of: &pb::Discovery) -> String {
    if of.tells {
        "discovery available again".to_string()
    } else {
        format!("discovery unavailable: {}", of.reason)
    }
}

fn reloaded(of: &pb::Reloaded) -> String {
    if of.taken {
        format!("configuration reloaded: {}", of.detail)
    } else {
        format!("the new configuration is rejected: {}", of.detail)
    }
}

/// Converts milliseconds to microseconds, saturating.
fn microseconds(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX).saturating_mul(1000)
}
