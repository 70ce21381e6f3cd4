//! The channel to the proxies: sends messages in order at a limited rate; proxies apply and acknowledge them.

use std::collections::VecDeque;

use chutegrade_emulators::tables::Tables;
use chutegrade_engine::{Micros, Report, StreamId};

use super::simulation::{Simulation, STEP};

/// A message in the channel.
pub struct Message {
    pub proxy: u32,
    pub stream: StreamId,
    /// Lines that remain to be sent.
    pub lines: f64,
    pub text: String,
}

/// A message in transit from the channel to its proxy.
pub struct Arrival {
    pub at: Micros,
    pub message: Message,
}

/// An acknowledgement in transit to the supervisor.
pub struct PendingAcknowledgement {
    pub at: Micros,
    pub stream: StreamId,
    pub sequence: u16,
}

#[derive(Default)]
pub struct ProxyState {
    pub stream: Option<StreamId>,
    pub joined_at: Micros,
    /// When the proxy last had a server to pick for every class.
    pub last_served_at: Micros,
    pub tables: Tables,
    /// When messages to the proxy were queued, within the update window.
    pub written_at: VecDeque<Micros>,
    /// When the first table arrived.
    pub first_table_at: Option<Micros>,
    /// When the last message in transit arrives; the next one does not overtake it.
    pub last_arrival_at: Micros,
}

/// Counts the lines of a message by the protocol: one for each row, suspended or resumed server, level, sequence number
/// and `replace`, and those of the head.
pub fn count_lines(text: &str, head_lines: u32) -> f64 {
    let lines_of_field = |field: &str| match field.split_once('=') {
        Some(("rows" | "drop" | "undrop", list)) => list.split(',').count(),
        Some(("replace" | "gate" | "stamp", _)) => 1,
        _ => 0,
    };
    let lines: usize = text.split([' ', '\r', '\n']).map(lines_of_field).sum();
    lines as f64 + f64::from(head_lines)
}

impl Simulation {
    /// Sends queued messages in order, as far as the capacity of one step allows.
    pub fn send_messages(&mut self) {
        if self.stalled_steps > 0 {
            self.stalled_steps -= 1;
            return;
        }
        let mut capacity = self.conditions.rate_factor * self.lines_per_s * STEP.secs();
        while let Some(first) = self.channel.front_mut() {
            if first.lines > capacity {
                first.lines -= capacity;
                return;
            }
            capacity -= first.lines;
            let message = self.channel.pop_front().expect("the first message");
            let delay = Micros(self.draw(self.max_delay.0 as u64) as i64);
            let proxy = &mut self.proxies[message.proxy as usize];
            proxy.last_arrival_at = proxy.last_arrival_at.max(self.now + delay);
            let at = proxy.last_arrival_at;
            self.arrivals.push_back(Arrival { at, message });
        }
    }

    /// Delivers the messages and acknowledgements that are due.
    pub fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.arrivals)
            .into_iter()
            .partition(|arrival| arrival.at <= now);
        self.arrivals = later;
        for arrival in due {
            self.apply_message(&arrival.message);
        }
        let is_due = |pending: &mut PendingAcknowledgement| pending.at <= now;
        while let Some(pending) = self.acknowledgements.pop_front_if(is_due) {
            self.report(Report::Acknowledged {
                stream: pending.stream,
                sequence: pending.sequence,
                elapsed: self.max_delay,
            });
        }
    }

    /// Applies a message at its proxy and acknowledges it, unless its stream has ended.
    fn apply_message(&mut self, message: &Message) {
        let now = self.now;
        let proxy = &mut self.proxies[message.proxy as usize];
        if proxy.stream != Some(message.stream) {
            return;
        }
        let sequence = message
            .text
            .split_terminator("\r\n")
            .map(|line| proxy.tables.apply(line).expect("an order"))
            .fold(None, |earlier, sequence| sequence.or(earlier))
            .map(|sequence| sequence.parse().expect("a sequence number"));
        proxy.first_table_at.get_or_insert(now);
        let is_lost = self.draw(1000) < (1000.0 * self.conditions.lost_acknowledgements) as u64;
        if let Some(sequence) = sequence.filter(|_| !is_lost) {
            self.acknowledgements.push_back(PendingAcknowledgement {
                at: now + self.max_delay,
                stream: message.stream,
                sequence,
            });
        }
    }
}
