//! Text for each kind of record.

use super::time::signed_duration;
use super::{cause, duration, lifecycle, retry, short_decimal, state};
use crate::pb::{self, record::Kind};

/// Describes a record in one line, without its time.
pub fn line(kind: &Kind) -> String {
    match kind {
        Kind::Started(start) => started(start),
        Kind::Stopped(stop) => format!("stopped: {}", stop.reason),
        Kind::ClockStepped(step) => format!(
            "the system's clock stepped by {}",
            signed_duration(step.by_us)
        ),
        Kind::Lost(loss) => lost(loss),
        Kind::Recovered(recovery) => recovered(recovery),
        Kind::StateChanged(change) => state_changed(change),
        Kind::LifeChanged(change) => format!("{} {}", change.server, lifecycle(change.life())),
        Kind::ServerStarted(start) => format!("{} started", start.server),
        Kind::Withdrawn(withdrawal) => withdrawn(withdrawal),
        Kind::ColdHeld(withholding) => warming_servers_withheld(*withholding),
        Kind::ZoneCut(partition) => zone_cut(partition),
        Kind::Saturation(sample) => saturation(*sample),
        Kind::Level(change) => level(change),
        Kind::AdviceVoid(change) => advice_void(change),
        Kind::ServiceLevel(transition) => service_level(transition),
        Kind::PluginLoaded(load) => plugin_loaded(load),
        Kind::PluginSaid(output) => {
            format!("plug-in {} {}: {}", output.name, output.what, output.text)
        }
        Kind::Parts(division) => shards(*division),
        Kind::Failing(change) => failing(change),
        Kind::StreamJoined(stream) => stream_joined(stream),
        Kind::StreamLeft(stream) => stream_left(stream),
        Kind::Published(counts) => published(*counts),
        Kind::Gauge(metrics) => gauge(metrics),
        Kind::ReportsDropped(dropped) => format!(
            "{} reports dropped, the last: {}",
            dropped.count, dropped.last
        ),
        Kind::Discovery(change) => discovery(change),
        Kind::Reloaded(reload) => reloaded(reload),
        Kind::Fleet(fleet) => format!("status of {} servers", fleet.servers.len()),
    }
}

fn started(start: &pb::Started) -> String {
    format!(
        "started, version {}, listening at {}",
        start.version, start.listen
    )
}

fn lost(loss: &pb::Lost) -> String {
    let length = duration(loss.to_us.saturating_sub(loss.from_us));
    let reason = match loss.reason.as_str() {
        "queue" => "the writer was too slow",
        "disk" => "nothing could be written",
        other => other,
    };
    format!("{} records lost over {length}: {reason}", loss.count)
}

fn recovered(recovery: &pb::Recovered) -> String {
    let end = if recovery.stopped {
        "shut down cleanly"
    } else {
        "ended without a shutdown record"
    };
    let mut text = format!(
        "start {} {end}, {} records kept",
        recovery.incarnation, recovery.records
    );
    if recovery.torn_bytes > 0 {
        text += &format!(", {} bytes of a torn tail dropped", recovery.torn_bytes);
    }
    if recovery.damaged_bytes > 0 {
        text += &format!(", {} bytes damaged", recovery.damaged_bytes);
    }
    text
}

fn state_changed(change: &pb::StateChanged) -> String {
    format!(
        "{} {}, score {:.2}: errors {:.2} latency {:.2}, {}",
        change.server,
        state(change.state()),
        change.score,
        change.errors,
        change.latency,
        cause(change.cause())
    )
}

fn withdrawn(withdrawal: &pb::Withdrawn) -> String {
    let change = if withdrawal.out {
        "suspended in all tables"
    } else {
        "resumed"
    };
    format!(
        "{} {change}, {} streams notified",
        withdrawal.server, withdrawal.streams
    )
}

fn warming_servers_withheld(withholding: pb::ColdHeld) -> String {
    let change = if withholding.held {
        "withheld from tables"
    } else {
        "re-admitted"
    };
    format!(
        "warming servers {change}: {:.1} attempts per response",
        withholding.tries
    )
}

fn zone_cut(partition: &pb::ZoneCut) -> String {
    if !partition.cut {
        return format!("zone {} reachable again", partition.zone);
    }
    let unanswered_percent = 100.0 * partition.mute;
    format!(
        "zone {} partitioned from here: {unanswered_percent:.0} % of its servers answer no health check",
        partition.zone
    )
}

fn saturation(sample: pb::Saturation) -> String {
    format!(
        "sheds {:.1}, saturation {:.2}: queues {:.2} health checks {:.2} unanswered {:.2}",
        sample.refused, sample.strain, sample.queues, sample.probes, sample.mute
    )
}

fn level(change: &pb::Level) -> String {
    format!(
        "admission level of {} {} in table {}, retries {}, saturation {:.2}",
        change.class,
        short_decimal(change.level),
        change.table,
        retry(change.retry),
        change.strain
    )
}

fn advice_void(change: &pb::AdviceVoid) -> String {
    if change.void {
        format!(
            "advice on table {} overruled: it would leave too little capacity",
            change.table
        )
    } else {
        format!("advice on table {} in force again", change.table)
    }
}

fn service_level(transition: &pb::ServiceLevel) -> String {
    let signals: Vec<String> = transition.signals.iter().map(signal).collect();
    let mut text = format!(
        "service level {} after {}, {}",
        transition.to, transition.from, transition.reason
    );
    let details = [
        (": ", transition.condition.clone()),
        ("; ", signals.join(", ")),
        ("; notify ", transition.tell.join(", ")),
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
pub fn signal(signal: &pb::Signal) -> String {
    let value = signal
        .value
        .map_or_else(|| "unknown".to_string(), short_decimal);
    let age = if signal.age_ms >= 1000 {
        format!(" {} ago", duration(microseconds(signal.age_ms)))
    } else {
        String::new()
    };
    format!("{} {value}{age}", signal.name)
}

fn plugin_loaded(load: &pb::PluginLoaded) -> String {
    if !load.refused.is_empty() {
        return format!("plug-in {} refused: {}", load.name, load.refused);
    }
    format!(
        "plug-in {} version {} loaded, {}",
        load.name, load.version, load.digest
    )
}

fn shards(division: pb::Parts) -> String {
    let narrowed = if division.narrowed {
        ", narrowed: attempts fail everywhere"
    } else {
        ""
    };
    format!("fleet divided into {} shards{narrowed}", division.parts)
}

fn failing(change: &pb::Failing) -> String {
    if !change.failing {
        return format!(
            "{} answers attempts from {} again",
            change.server, change.zone
        );
    }
    format!(
        "{} fails {:.0} of {:.0} attempts from {}",
        change.server, change.failed, change.tries, change.zone
    )
}

fn stream_joined(stream: &pb::StreamJoined) -> String {
    let table = if stream.new {
        "holds no table"
    } else {
        "brings a table"
    };
    format!(
        "proxy {}@{} joined with {:.1} requests/s, {table}",
        stream.proxy, stream.zone, stream.rate
    )
}

fn stream_left(stream: &pb::StreamLeft) -> String {
    let lasted = duration(microseconds(stream.lasted_ms));
    format!(
        "proxy {}@{} left after {lasted}: {}",
        stream.proxy, stream.zone, stream.reason
    )
}

fn published(counts: pb::Published) -> String {
    format!(
        "{} weights, {} assignments, {} suspensions to {} streams",
        counts.lines, counts.binds, counts.withdrawals, counts.streams
    )
}

fn gauge(metrics: &pb::Gauge) -> String {
    format!(
        "{:.0} lines queued, sheds {:.2}, {} streams, {} full {} reduced {} withdrawn {} warming",
        metrics.waiting,
        metrics.refused,
        metrics.streams,
        metrics.full,
        metrics.reduced,
        metrics.withdrawn,
        metrics.cold
    )
}

fn discovery(change: &pb::Discovery) -> String {
    if change.tells {
        "discovery available again".to_string()
    } else {
        format!("discovery unavailable: {}", change.reason)
    }
}

fn reloaded(reload: &pb::Reloaded) -> String {
    if reload.taken {
        format!("configuration reloaded: {}", reload.detail)
    } else {
        format!("the new configuration is rejected: {}", reload.detail)
    }
}

/// Converts milliseconds to microseconds, saturating.
fn microseconds(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX).saturating_mul(1000)
}
