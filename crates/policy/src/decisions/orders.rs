//! The orders of one round and the channel budgets that they must fit.

use std::collections::BTreeMap;

use crate::interface::{Action, Micros, ProxyId, Settings};

use super::channel::Channel;
use super::proxies::Proxies;

/// Number of lines of an acknowledgement request.
const ACKNOWLEDGEMENT_REQUEST_LINES: f64 = 1.0;
/// Lower bound on the drain grace from which budgets are derived, in seconds.
const MIN_GRACE_SECONDS: f64 = 1e-3;

/// Number of lines of a suspension in addition to the message overhead: the acknowledgement request and the server.
pub(super) const SUSPENSION_LINES: f64 = 2.0;

/// Returns the lines of a message in addition to its orders: its overhead and the acknowledgement request.
pub(super) fn header_lines(settings: &Settings) -> f64 {
    settings.message_overhead + ACKNOWLEDGEMENT_REQUEST_LINES
}

/// The part of the channel that a kind of order may use, including all queued lines.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChannelBudget {
    /// Share of the backlog that may be used.
    pub backlog_share: f64,
    /// Share of the message limit that may be used.
    pub message_share: f64,
    /// Share of the drain grace, in addition to the delivery delay, that sending the queued lines may take.
    pub grace_share: f64,
    /// Whether the nominal send rate applies instead of the current one, and the order always fits an empty queue.
    pub is_urgent: bool,
}

/// Budget of suspensions. They take precedence, since behind a long queue they would miss the drain grace.
pub(super) const SUSPENSION_BUDGET: ChannelBudget = ChannelBudget {
    backlog_share: 0.9,
    message_share: 1.0,
    grace_share: f64::INFINITY,
    is_urgent: true,
};
/// Budget of weight changes that protect a server or a proxy.
pub(super) const PROTECTION_BUDGET: ChannelBudget = ChannelBudget {
    backlog_share: 0.8,
    message_share: 0.8,
    grace_share: 0.5,
    is_urgent: true,
};
/// Budget of the first tables of a proxy.
pub(super) const JOIN_BUDGET: ChannelBudget = ChannelBudget {
    backlog_share: 0.65,
    message_share: 0.8,
    grace_share: 0.5,
    is_urgent: true,
};
/// Budget of admission levels.
pub(super) const LEVEL_BUDGET: ChannelBudget = ChannelBudget {
    backlog_share: 0.5,
    message_share: 0.8,
    grace_share: 0.4,
    is_urgent: false,
};
/// Budget of all other orders.
pub(super) const ORDINARY_BUDGET: ChannelBudget = ChannelBudget {
    backlog_share: 0.5,
    message_share: 0.6,
    grace_share: 0.25,
    is_urgent: false,
};

/// The capacity of the channel at the time of the round.
#[derive(Clone, Copy, Debug)]
struct ChannelCapacity {
    nominal_rate: f64,
    current_rate: f64,
    backlog_lines: f64,
    delivery_delay_seconds: f64,
    grace_seconds: f64,
    /// Number of messages to one proxy within the window; 0 if unlimited.
    max_messages: usize,
}

/// The orders of one round.
#[derive(Debug)]
pub(super) struct Orders {
    /// The time of the round.
    pub at: Micros,
    /// The actions, in order.
    pub actions: Vec<Action>,
    /// Number of lines of the message to each proxy, header included.
    pub lines_by_proxy: BTreeMap<ProxyId, f64>,
    /// Number of lines queued in the channel, this round's included.
    queued_lines: f64,
    /// Number of lines of a message in addition to its orders.
    header_lines: f64,
    capacity: ChannelCapacity,
}

impl Orders {
    /// Returns a round without orders.
    pub fn new(now: Micros, channel: &Channel, settings: &Settings) -> Self {
        let capacity = ChannelCapacity {
            nominal_rate: settings.channel_lines_per_second,
            current_rate: channel.send_rate(),
            backlog_lines: settings.channel_backlog,
            delivery_delay_seconds: settings.max_delivery_delay.secs(),
            grace_seconds: settings.drain_grace.secs().max(MIN_GRACE_SECONDS),
            max_messages: settings.max_messages,
        };
        Orders {
            at: now,
            actions: Vec::new(),
            lines_by_proxy: BTreeMap::new(),
            queued_lines: channel.queued_lines(),
            header_lines: header_lines(settings),
            capacity,
        }
    }

    /// Adds an action that is not part of a message, or whose lines are added separately.
    pub fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Adds an action with its number of lines at each recipient.
    pub fn push_to(&mut self, recipients: &[ProxyId], lines: f64, action: Action) {
        self.actions.push(action);
        for proxy in recipients {
            self.add_lines(*proxy, lines);
        }
    }

    /// Adds lines to the message to a proxy.
    pub fn add_lines(&mut self, proxy: ProxyId, lines: f64) {
        let cost = lines + self.header_lines_for(proxy);
        *self.lines_by_proxy.entry(proxy).or_default() += cost;
        self.queued_lines += cost;
    }

    /// Returns whether this round already has a message to each of these proxies.
    pub fn reaches_all(&self, proxies: &[ProxyId]) -> bool {
        proxies
            .iter()
            .all(|proxy| self.lines_by_proxy.contains_key(proxy))
    }

    /// Returns whether the given number of additional lines at each recipient fits the budget. An urgent order always
    /// fits the queue if nothing is queued.
    pub fn fits(
        &self,
        proxies: &Proxies,
        recipients: &[ProxyId],
        lines: f64,
        budget: &ChannelBudget,
    ) -> bool {
        if recipients.is_empty() {
            return true;
        }
        let cost = self.cost(recipients, lines);
        let may_exceed_budget = budget.is_urgent && self.queued_lines <= 0.0;
        (self.fits_queue(cost, budget) || may_exceed_budget)
            && self.message_share(proxies, recipients) <= budget.message_share
    }

    fn fits_queue(&self, cost: f64, budget: &ChannelBudget) -> bool {
        let capacity = &self.capacity;
        let send_rate = if budget.is_urgent {
            capacity.nominal_rate
        } else {
            capacity.current_rate
        };
        let seconds = capacity.delivery_delay_seconds + budget.grace_share * capacity.grace_seconds;
        let lines_in_time = send_rate * seconds;
        self.queued_lines + cost <= budget.backlog_share * capacity.backlog_lines
            && self.queued_lines <= lines_in_time
    }

    /// Returns the largest share of the message limit in use at any recipient, this round's message included.
    fn message_share(&self, proxies: &Proxies, recipients: &[ProxyId]) -> f64 {
        if self.capacity.max_messages == 0 {
            return 0.0;
        }
        proxies.max_messages_with_next(recipients) as f64 / self.capacity.max_messages as f64
    }

    fn cost(&self, recipients: &[ProxyId], lines: f64) -> f64 {
        recipients
            .iter()
            .map(|proxy| lines + self.header_lines_for(*proxy))
            .sum()
    }

    /// Returns the lines of the header; 0 if this round already has a message to the proxy.
    fn header_lines_for(&self, proxy: ProxyId) -> f64 {
        if self.lines_by_proxy.contains_key(&proxy) {
            0.0
        } else {
            self.header_lines
        }
    }
}
