//! The orders of one round and the account of the channel that each of them must fit.

use std::collections::BTreeMap;

use crate::interface::{Action, Micros, ProxyId, Settings};

use super::channel::Channel;
use super::proxies::Proxies;

/// Lines of the request for an acknowledgement.
const ACKNOWLEDGEMENT_REQUEST_LINES: f64 = 1.0;
/// Lower bound on the drain grace, in seconds, of which budgets are shares.
const MIN_GRACE_SECONDS: f64 = 1e-3;

/// Lines of a suspension beside the header: the request for an acknowledgement and the server.
pub(super) const SUSPENSION_LINES: f64 = 2.0;

/// Lines of a message beyond its orders: its overhead, and the request for an acknowledgement.
pub(super) fn header_lines(settings: &Settings) -> f64 {
    settings.message_overhead + ACKNOWLEDGEMENT_REQUEST_LINES
}

/// What a kind of order may use of the channel, all that is queued included.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChannelBudget {
    /// Share of the backlog that may be used.
    pub backlog_share: f64,
    /// Share of the message limit that may be used.
    pub message_share: f64,
    /// Share of the drain grace that what is queued may take, beyond the delivery delay.
    pub grace_share: f64,
    /// Whether the order may rely on the stated pace, and go whenever nothing is queued.
    pub is_urgent: bool,
}

/// Budget of suspensions. Behind a long queue they would miss the drain grace, so they go first.
pub(super) const SUSPENSION_BUDGET: ChannelBudget = ChannelBudget {
    backlog_share: 0.9,
    message_share: 1.0,
    grace_share: f64::INFINITY,
    is_urgent: true,
};
/// Budget of weights that protect a server.
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

/// What the channel can take, at the time of the round.
#[derive(Clone, Copy, Debug)]
struct ChannelCapacity {
    nominal_rate: f64,
    current_rate: f64,
    backlog_lines: f64,
    delivery_delay_seconds: f64,
    grace_seconds: f64,
    /// Messages to one proxy within the window; 0: any number.
    max_messages: usize,
}

/// The orders of one round.
#[derive(Debug)]
pub(super) struct Orders {
    /// The time of the round.
    pub at: Micros,
    /// The actions, in the order in which they are given.
    pub actions: Vec<Action>,
    /// Lines of the message to each proxy, header included.
    pub lines_by_proxy: BTreeMap<ProxyId, f64>,
    /// Lines queued in the channel, this round's included.
    queued_lines: f64,
    /// Lines of a message beyond its orders.
    header_lines: f64,
    capacity: ChannelCapacity,
}

impl Orders {
    /// A round without orders.
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

    /// Adds an action that goes into no message, or whose lines are added separately.
    pub fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Adds an action that takes so many lines at each recipient.
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

    /// Whether all these proxies get a message in this round already.
    pub fn reaches_all(&self, proxies: &[ProxyId]) -> bool {
        proxies
            .iter()
            .all(|proxy| self.lines_by_proxy.contains_key(proxy))
    }

    /// Whether so many lines more at each recipient fit the budget, with all that is queued. An urgent order fits
    /// whenever nothing is queued.
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

    /// The largest share of the message limit in use at any recipient, this round's message included.
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

    /// Lines of the header, for a proxy that gets no message in this round yet.
    fn header_lines_for(&self, proxy: ProxyId) -> f64 {
        if self.lines_by_proxy.contains_key(&proxy) {
            0.0
        } else {
            self.header_lines
        }
    }
}
