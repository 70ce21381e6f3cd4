//! The channel to the proxies: the lines that are written but not acknowledged, and the estimated send rate.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{Micros, ProxyId, Settings};

use super::smoothing::smooth_quality;
use super::tick::TICK_INTERVAL;

/// Lower bound on the send rate, as a share of the nominal rate.
const MIN_SEND_RATE_SHARE: f64 = 0.05;
/// Factor on the send rate after a tick with a timely acknowledgement.
const SEND_RATE_GROWTH: f64 = 1.25;
/// Time without acknowledgements, beyond the delivery delays of both directions and the sending of the largest message,
/// after which the channel counts as empty.
const ACKNOWLEDGEMENT_TIMEOUT: Micros = Micros(3_000_000);
/// Lower bound on the time by which acknowledged lines are divided, in seconds.
const MIN_ELAPSED_SECONDS: f64 = 1e-3;

/// The orders of one round that some recipients have not acknowledged.
#[derive(Clone, Debug)]
struct UnacknowledgedRound {
    written_at: Micros,
    sequence: u16,
    lines_by_proxy: BTreeMap<ProxyId, f64>,
}

/// The channel, which sends messages in the order in which they were written.
#[derive(Clone, Debug, Default)]
pub(super) struct Channel {
    rounds: VecDeque<UnacknowledgedRound>,
    last_sequence: u16,
    last_acknowledged_at: Micros,
    /// Lines acknowledged since the last update of the send rate.
    acknowledged_lines: f64,
    /// The fastest acknowledgement since the last update of the send rate.
    fastest_acknowledgement: Option<Micros>,
    send_rate: f64,
}

impl Channel {
    /// Returns an empty channel at its nominal rate.
    pub fn new(settings: &Settings) -> Self {
        Channel {
            send_rate: settings.channel_lines_per_second,
            ..Channel::default()
        }
    }

    /// Returns the current send rate, in lines per second.
    pub fn send_rate(&self) -> f64 {
        self.send_rate
    }

    /// Returns the sequence number of the next round.
    pub fn next_sequence(&self) -> u16 {
        (self.last_sequence + 1) % u16::MAX
    }

    /// Records a written round.
    pub fn record_round(
        &mut self,
        now: Micros,
        sequence: u16,
        lines_by_proxy: BTreeMap<ProxyId, f64>,
    ) {
        self.last_sequence = sequence;
        self.rounds.push_back(UnacknowledgedRound {
            written_at: now,
            sequence,
            lines_by_proxy,
        });
    }

    /// Records an acknowledgement, which shows that all earlier rounds were sent. It is ignored if its sequence number
    /// was not written to the proxy.
    pub fn acknowledge(&mut self, now: Micros, proxy: ProxyId, sequence: u16, elapsed: Micros) {
        let is_acknowledged = |round: &UnacknowledgedRound| {
            round.sequence == sequence && round.lines_by_proxy.contains_key(&proxy)
        };
        let Some(position) = self.rounds.iter().position(is_acknowledged) else {
            return;
        };
        self.last_acknowledged_at = now;
        let fastest = self
            .fastest_acknowledgement
            .map_or(elapsed, |fastest| fastest.min(elapsed));
        self.fastest_acknowledgement = Some(fastest);
        self.acknowledged_lines += self
            .rounds
            .drain(..position)
            .flat_map(|round| round.lines_by_proxy.into_values())
            .sum::<f64>();
        let lines = self
            .rounds
            .front_mut()
            .and_then(|round| round.lines_by_proxy.remove(&proxy));
        self.acknowledged_lines += lines.unwrap_or(0.0);
    }

    /// Drops the lines that are queued for a proxy whose stream broke.
    pub fn drop_queued(&mut self, proxy: ProxyId) {
        for round in &mut self.rounds {
            round.lines_by_proxy.remove(&proxy);
        }
    }

    /// Drops the rounds that must have been sent by now. Unacknowledged rounds count as queued, even in a slow channel,
    /// until no acknowledgement was received for a long time.
    pub fn drop_expired(&mut self, now: Micros, settings: &Settings) {
        let min_send_rate = MIN_SEND_RATE_SHARE * settings.channel_lines_per_second;
        let largest_message = Micros::from_ms(1000.0 * self.largest_message() / min_send_rate);
        let delivery_delay = settings.max_delivery_delay;
        let min_last_activity =
            now - delivery_delay - delivery_delay - ACKNOWLEDGEMENT_TIMEOUT - largest_message;
        let last_acknowledged_at = self.last_acknowledged_at;
        self.rounds.retain(|round| {
            let last_activity = round.written_at.max(last_acknowledged_at);
            !round.lines_by_proxy.is_empty() && last_activity >= min_last_activity
        });
    }

    /// Returns the number of lines that are queued.
    pub fn queued_lines(&self) -> f64 {
        self.rounds
            .iter()
            .flat_map(|round| round.lines_by_proxy.values())
            .sum()
    }

    /// Updates the send rate at a tick: it follows the acknowledged lines while even the fastest acknowledgement is
    /// late, grows while acknowledgements are timely, and stays without acknowledgements.
    pub fn update_send_rate(&mut self, elapsed_seconds: f64, settings: &Settings) {
        let acknowledged_lines = std::mem::take(&mut self.acknowledged_lines);
        let acknowledged_rate = acknowledged_lines / elapsed_seconds.max(MIN_ELAPSED_SECONDS);
        let nominal_rate = settings.channel_lines_per_second;
        let late_after = settings.max_delivery_delay + TICK_INTERVAL;
        let send_rate = match self.fastest_acknowledgement.take() {
            None => self.send_rate,
            Some(fastest) if fastest > late_after => {
                smooth_quality(self.send_rate, acknowledged_rate)
            }
            Some(_) => self.send_rate * SEND_RATE_GROWTH,
        };
        self.send_rate = send_rate.clamp(MIN_SEND_RATE_SHARE * nominal_rate, nominal_rate);
    }

    /// Returns the lines of the largest queued message.
    fn largest_message(&self) -> f64 {
        self.rounds
            .iter()
            .flat_map(|round| round.lines_by_proxy.values())
            .copied()
            .fold(0.0, f64::max)
    }
}

#[cfg(test)]
mod tests;
