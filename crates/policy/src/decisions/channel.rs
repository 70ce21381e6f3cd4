//! The channel to the proxies: the lines that are written and not acknowledged yet, and the pace at which it sends.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{Micros, ProxyId, Settings};

use super::smoothing::smooth_quality;
use super::tick::TICK_INTERVAL;

/// Lower bound on the pace, as a share of the stated one.
const MIN_SEND_RATE_SHARE: f64 = 0.05;
/// Growth of the pace in a tick in which acknowledgements came in time.
const SEND_RATE_GROWTH: f64 = 1.25;
/// Without any acknowledgement for this time, beyond the delivery there and back, the channel is taken to be empty.
const ACKNOWLEDGEMENT_TIMEOUT: Micros = Micros(3_000_000);
/// Lower bound on the time over which acknowledged lines are counted, in seconds.
const MIN_ELAPSED_SECONDS: f64 = 1e-3;

/// The orders of one round that are not acknowledged by all receivers.
#[derive(Clone, Debug)]
struct UnacknowledgedRound {
    written_at: Micros,
    sequence: u16,
    lines_by_proxy: BTreeMap<ProxyId, f64>,
}

/// The channel, in which messages leave in the order in which they were written.
#[derive(Clone, Debug, Default)]
pub(super) struct Channel {
    rounds: VecDeque<UnacknowledgedRound>,
    last_sequence: u16,
    last_acknowledged_at: Micros,
    /// Lines acknowledged since the pace was updated.
    acknowledged_lines: f64,
    /// The fastest acknowledgement since the pace was updated.
    fastest_acknowledgement: Option<Micros>,
    send_rate: f64,
}

impl Channel {
    /// An empty channel at its stated pace.
    pub fn new(settings: &Settings) -> Self {
        Channel {
            send_rate: settings.channel_lines_per_second,
            ..Channel::default()
        }
    }

    /// The present pace, in lines per second.
    pub fn send_rate(&self) -> f64 {
        self.send_rate
    }

    /// The sequence number of the next round.
    pub fn next_sequence(&self) -> u16 {
        (self.last_sequence + 1) % u16::MAX
    }

    /// Records a round that is written.
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

    /// Takes in an acknowledgement, which shows that all earlier rounds have left. One whose sequence number was not
    /// written to the proxy shows nothing.
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

    /// Drops what is queued for a proxy whose stream broke.
    pub fn drop_queued(&mut self, proxy: ProxyId) {
        for round in &mut self.rounds {
            round.lines_by_proxy.remove(&proxy);
        }
    }

    /// Drops the rounds that must have left by now. What is not acknowledged counts as queued, however slow the channel,
    /// until there was silence for long.
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

    /// Lines that are queued.
    pub fn queued_lines(&self) -> f64 {
        self.rounds
            .iter()
            .flat_map(|round| round.lines_by_proxy.values())
            .sum()
    }

    /// Updates the pace at a tick: acknowledged lines show it while even the fastest acknowledgement is late, else the
    /// channel can take more.
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

    /// Lines of the largest message that is queued.
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
