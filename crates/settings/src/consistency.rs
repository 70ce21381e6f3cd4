//! Warnings about contradictory or incomplete settings.

use chutegrade_policy::{Settings, NO_LIMIT};

/// Number of lines of a message with a complete table, in addition to the message overhead, the levels and the servers:
/// the acknowledgement request and `replace`.
const TABLE_MESSAGE_LINES: f64 = 2.0;

/// Number of lines of a message that suspends one server, in addition to the message overhead: the acknowledgement
/// request and the suspension.
const SUSPENSION_MESSAGE_LINES: f64 = 2.0;

/// Number of lines for each server of a complete table: its weight and its suspension.
const LINES_PER_SERVER: f64 = 2.0;

/// Returns warnings about the settings, one sentence each, for an endpoint list with this number of servers. The
/// decisions still follow contradictory settings as far as possible.
pub fn consistency_warnings(settings: &Settings, servers: usize) -> Vec<String> {
    let warnings = [
        no_backlog_limit(settings),
        no_line_rate(settings),
        backlog_below_table(settings, servers),
        backlog_below_suspension(settings),
        no_proxies(settings),
        single_message(settings),
    ];
    warnings.into_iter().flatten().collect()
}

fn no_backlog_limit(settings: &Settings) -> Option<String> {
    (settings.channel_backlog >= NO_LIMIT)
        .then(|| "familyInfo.backlog sets no limit: any number of lines may be queued".to_string())
}

fn no_line_rate(settings: &Settings) -> Option<String> {
    (settings.channel_lines_per_second >= NO_LIMIT).then(|| {
        "familyInfo.linesPerS sets no rate: the channel is treated as never slow".to_string()
    })
}

fn backlog_below_table(settings: &Settings, servers: usize) -> Option<String> {
    let backlog = settings.channel_backlog;
    let admission_levels = settings.classes.len() as f64;
    let table = settings.message_overhead
        + TABLE_MESSAGE_LINES
        + admission_levels
        + LINES_PER_SERVER * servers as f64;
    (backlog < table).then(|| {
        format!(
            "familyInfo.backlog is {backlog}, less than the {table} lines of one table of {servers} servers: \
             such a table is sent alone and exceeds the backlog"
        )
    })
}

fn backlog_below_suspension(settings: &Settings) -> Option<String> {
    let backlog = settings.channel_backlog;
    let proxies = settings.proxies;
    let suspension = proxies as f64 * (settings.message_overhead + SUSPENSION_MESSAGE_LINES);
    (backlog < suspension).then(|| {
        format!(
            "familyInfo.backlog is {backlog}, less than the {suspension} lines that suspend one server \
             at {proxies} proxies: if all of them join one instance, a suspension is sent alone and exceeds the backlog"
        )
    })
}

fn no_proxies(settings: &Settings) -> Option<String> {
    (settings.proxies == 0).then(|| "familyInfo.proxies is 0: no proxy is admitted".to_string())
}

fn single_message(settings: &Settings) -> Option<String> {
    (settings.max_messages == 1).then(|| {
        "familyInfo.messagesMost is 1: a suspension may be delayed by a complete window".to_string()
    })
}
