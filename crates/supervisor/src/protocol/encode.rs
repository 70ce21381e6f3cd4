//! Encodes messages to proxies and collectors.

use std::fmt::Write as _;
use std::rc::Rc;

use chutegrade_engine::{AdmissionLevel, Order, ServerWeight, TableUpdate};

/// The reply to `probe`.
pub const PROBE_REPLY: &[u8] = b"alive\r\n";
/// Length in bytes from which a message continues on another line: well below the protocol's limit of 1 MiB.
const LINE_SPLIT_BYTES: usize = 512 * 1024;

/// Encodes the message that is sent before a connection is closed, with the code of the reason.
pub fn encode_error(code: &str) -> String {
    format!("error reason={code}\r\n")
}

/// Encodes an order as the lines of one message.
pub fn encode_order(order: &Order) -> String {
    let mut lines: Vec<String> = Vec::new();
    for update in &order.updates {
        encode_update(update, &mut lines);
    }
    let mut last_line = lines.pop().unwrap_or_else(|| "push".to_string());
    append_names(" drop=", &order.suspended, &mut last_line);
    append_names(" undrop=", &order.resumed, &mut last_line);
    if let Some(sequence) = order.acknowledge {
        let _ = write!(last_line, " stamp={sequence}");
    }
    lines.push(last_line);
    // `part=1` marks a line whose message continues on the next one.
    let mut text = lines.join(" part=1\r\n");
    text.push_str("\r\n");
    text
}

/// Appends the lines of one update. A table that is too long for one line is split, and the later lines add to the first.
fn encode_update(update: &TableUpdate, lines: &mut Vec<String>) {
    let mut head = "push".to_string();
    if !update.classes.is_empty() {
        let _ = write!(head, " for={}", update.classes.join("+"));
    }
    let mut line = head.clone();
    if update.replace {
        line.push_str(" replace=1");
    }
    let mut separator = " rows=";
    for ServerWeight { server, weight } in &update.weights {
        if line.len() > LINE_SPLIT_BYTES {
            lines.push(std::mem::replace(&mut line, head.clone()));
            separator = " rows=";
        }
        let _ = write!(line, "{separator}{server}:{weight}");
        separator = ",";
    }
    if let Some(AdmissionLevel { level, retry }) = update.admission {
        let _ = write!(line, " gate={level} again={}", retry as u8);
    }
    lines.push(line);
}

/// Appends a field with a list of names; appends nothing if the list is empty.
fn append_names(field: &str, names: &[Rc<str>], line: &mut String) {
    let mut separator = field;
    for name in names {
        line.push_str(separator);
        line.push_str(name);
        separator = ",";
    }
}

#[cfg(test)]
mod tests;
