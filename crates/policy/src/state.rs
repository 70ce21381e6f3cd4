//! What an instance remembers, as plain data, and the arithmetic on it. Nothing here decides anything and
//! no figure is set here: how fast evidence fades, what counts and what follows is the decision module's.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::interface::*;

/// Weights by server.
pub(crate) type Lines = BTreeMap<ServerId, f64>;

/// By zone of the servers: a factor on their weights.
pub(crate) type Zones = BTreeMap<ZoneId, f64>;

/// By zone of the proxies and of the servers: the median error share and latency.
pub(crate) type References = BTreeMap<(ZoneId, ZoneId), (f64, f64)>;

/// A ratio of sums that fade with time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Fading {
    pub sum: f64,
    pub weight: f64,
}

impl Fading {
    pub fn add(&mut self, sum: f64, weight: f64) {
        self.sum += sum;
        self.weight += weight;
    }
    pub fn fade(&mut self, elapsed: f64, half_life: f64) {
        let keep = 0.5f64.powf(elapsed / half_life);
        self.sum *= keep;
        self.weight *= keep;
    }
    pub fn mean(&self) -> Option<f64> {
        (self.sum > 0.0 && self.weight > 0.0).then(|| self.sum / self.weight)
    }
}

/// What proxies of one zone met at a server: failures over tries, cost over good answers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Evidence {
    pub failed: Fading,
    pub cost: Fading,
}

/// What tells a server's speed: probes, in probes a second of their own time, those while it had work, and service time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Speed {
    pub probes: Fading,
    pub at_work: Fading,
    pub service: Fading,
}

impl Speed {
    pub fn fade(&mut self, elapsed: f64, half_life: f64) {
        for part in [&mut self.probes, &mut self.at_work, &mut self.service] {
            part.fade(elapsed, half_life);
        }
    }
}

/// The probes of a server: when the last was sent and the next is due, how many failed in a row, and how many
/// failed tries that amounts to.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Probing {
    pub asked: Option<Micros>,
    pub next: Micros,
    pub failing: u32,
    pub failed: f64,
}

/// A server of the list, what is known of it, and its score and state with their dwell counts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Server {
    pub entry: Entry,
    pub dealt: usize,
    pub weight: f64,
    pub warmth: f64,
    pub heard: BTreeMap<ZoneId, Evidence>,
    pub fresh_good: f64,
    pub speed: Speed,
    pub probes_now: Fading,
    pub busy: Fading,
    pub last_load: Load,
    pub quickest: f64,
    pub slower: f64,
    pub probing: Probing,
    pub state: State,
    pub score: f64,
    pub terms: (f64, f64),
    pub below: u32,
    pub above: u32,
    pub out_ticks: u32,
    pub return_after: u32,
    pub ceiling: f64,
    pub told: Lifecycle,
    pub shut: bool,
}

impl Server {
    pub fn enter(&mut self, state: State, score: f64, ceiling: f64) {
        (self.state, self.score, self.ceiling) = (state, score, ceiling);
        (self.below, self.above, self.out_ticks) = (0, 0, 0);
    }
    pub fn open(&self) -> bool {
        self.entry.life == Lifecycle::InService && !self.shut
    }
    /// How many times longer probes take now than they usually do.
    pub fn slowed(&self) -> Option<f64> {
        Some(self.speed.probes.mean()? / self.probes_now.mean()?)
    }
    /// How many times longer probes take now than they usually do while there is work.
    pub fn loaded(&self) -> Option<f64> {
        Some(self.speed.at_work.mean()? / self.probes_now.mean()?)
    }
    /// The listed weight, never quite nothing.
    pub fn size(&self) -> f64 {
        self.entry.weight.max(f64::MIN_POSITIVE)
    }
}

/// A joined proxy: what comes to it, and when messages were written to it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Proxy {
    pub zone: ZoneId,
    pub came: Fading,
    pub brought: bool,
    pub bound: bool,
    pub part: usize,
    pub tables: Vec<TableId>,
    pub written: VecDeque<Micros>,
}

impl Proxy {
    pub fn rate(&self) -> f64 {
        self.came.mean().unwrap_or(0.0)
    }
}

/// What a table holds by the own orders.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    pub lines: Lines,
    pub levels: BTreeMap<usize, (f64, Retry)>,
    pub void: bool,
}

/// What plug-ins advised, as it was taken, and when.
#[derive(Clone, Debug, Default)]
pub(crate) struct Advised {
    pub factors: BTreeMap<(ZoneId, Option<ClassId>), Lines>,
    pub caps: BTreeMap<usize, f64>,
    pub never: ClassSet,
    pub excluded: BTreeMap<ServerId, Micros>,
    pub until: Micros,
    pub taken: Option<Micros>,
}

impl Advised {
    pub fn of(advice: &Advice, now: Micros) -> Self {
        let mut factors = BTreeMap::<_, Lines>::new();
        for (server, zone, class, factor) in &advice.factors {
            factors.entry((*zone, *class)).or_default().insert(*server, *factor);
        }
        let caps = advice.caps.iter().filter(|(_, cap)| !cap.is_nan());
        let caps = caps.map(|(class, cap)| (usize::from(class.0), *cap)).collect();
        let excluded = advice.excluded.iter().copied().collect();
        Advised { factors, caps, never: advice.never, excluded, until: advice.until, taken: Some(now) }
    }
    /// The share of its weight that a server keeps for a class, or for all, in a zone's tables.
    pub fn share(&self, server: ServerId, zone: ZoneId, class: Option<ClassId>, now: Micros) -> f64 {
        if self.excluded.get(&server).is_some_and(|until| *until > now) {
            return 0.0;
        }
        // What is no number says nothing.
        let of = |class| self.factors.get(&(zone, class)).and_then(|lines| lines.get(&server));
        let of = |class| of(class).copied().filter(|factor| !factor.is_nan()).map_or(1.0, clamp01);
        class.map_or(1.0, |class| of(Some(class))) * of(None)
    }
}

/// Which table serves whom: the proxies of a zone that are on a part of the fleet; with that zone's servers
/// only, for classes that stay at home.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Scheme {
    pub table: TableId,
    pub zone: ZoneId,
    pub home_only: bool,
    pub part: usize,
    pub classes: ClassSet,
    pub apart: ClassSet,
}

impl Scheme {
    pub fn serves(&self, zone: ZoneId, part: usize) -> bool {
        self.part == part && self.zone == zone
    }
}

/// What was written to the channel and not confirmed yet: in the order written, a turn's mark and lines by
/// proxy.
#[derive(Clone, Debug, Default)]
pub(crate) struct Channel {
    pub turns: VecDeque<(Micros, u16, BTreeMap<ProxyId, f64>)>,
    pub mark: u16,
    pub confirmed: Micros,
}

impl Channel {
    pub fn next_mark(&self) -> u16 {
        (self.mark + 1) % u16::MAX
    }
    pub fn send(&mut self, now: Micros, mark: u16, lines: BTreeMap<ProxyId, f64>) {
        self.mark = mark;
        self.turns.push_back((now, mark, lines));
    }
    /// Messages leave in order: one that arrived tells that all of earlier turns have left. A mark that was not
    /// written to this proxy tells nothing.
    pub fn confirmed(&mut self, now: Micros, proxy: ProxyId, mark: u16) {
        let written =
            |(_, sent, lines): &(_, u16, BTreeMap<ProxyId, f64>)| *sent == mark && lines.contains_key(&proxy);
        if let Some(turn) = self.turns.iter().position(written) {
            self.confirmed = now;
            self.turns.drain(..turn);
            if let Some((_, _, lines)) = self.turns.front_mut() {
                lines.remove(&proxy);
            }
        }
    }
    /// What waits for a proxy whose stream broke is lost.
    pub fn lost(&mut self, proxy: ProxyId) {
        for (_, _, lines) in &mut self.turns {
            lines.remove(&proxy);
        }
    }
    pub fn forget(&mut self, before: Micros) {
        self.turns.retain(|(at, _, lines)| !lines.is_empty() && (*at).max(self.confirmed) >= before);
    }
    pub fn waiting(&self) -> f64 {
        self.turns.iter().flat_map(|(_, _, lines)| lines.values()).sum()
    }
}

/// A change to a table's line that waits to be sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Change {
    pub scheme: Scheme,
    pub server: ServerId,
    pub weight: f64,
    pub guard: bool,
    pub size: f64,
}

/// The orders of one turn, what the message to each proxy costs, and all that waits in the channel with them.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    pub actions: Vec<Action>,
    pub lines: BTreeMap<ProxyId, f64>,
    pub waiting: f64,
    head: f64,
}

impl Orders {
    /// Nothing yet, while so many lines wait and a message costs so many beside its own.
    pub fn new(waiting: f64, head: f64) -> Self {
        Orders { waiting, head, ..Orders::default() }
    }
    /// What so many lines more for each of these cost: one that gets no message yet gets one.
    pub fn cost<'a>(&self, to: impl IntoIterator<Item = &'a ProxyId>, lines: f64) -> f64 {
        let head = |id: &ProxyId| if self.lines.contains_key(id) { 0.0 } else { self.head };
        to.into_iter().map(|id| lines + head(id)).sum()
    }
    pub fn add(&mut self, to: ProxyId, lines: f64) {
        let cost = self.cost([&to], lines);
        *self.lines.entry(to).or_default() += cost;
        self.waiting += cost;
    }
    pub fn give(&mut self, action: Action, to: impl IntoIterator<Item = ProxyId>) {
        self.actions.push(action);
        to.into_iter().for_each(|proxy| self.add(proxy, 1.0));
    }
}

/// A sole owner's replacement under way: the table is empty until no write can still reach the former
/// owner.
#[derive(Clone, Debug)]
pub(crate) struct Handover {
    pub waits_for: BTreeSet<ProxyId>,
    pub mark: u16,
    pub not_before: Micros,
}

/// The fleet as a whole: its saturation, smoothed, the share of requests refused, and what came of each
/// class.
#[derive(Clone, Debug, Default)]
pub(crate) struct Admission {
    pub strain: f64,
    pub refused: f64,
    pub came: Vec<Fading>,
}

pub(crate) fn clamp01(value: f64) -> f64 {
    value.clamp(0.0, 1.0)
}

/// What is seen of failures and times, or else what is given. Where every try fails no time is seen, and the failures
/// tell all the same.
pub(crate) fn or(seen: (Option<f64>, Option<f64>), given: (f64, f64)) -> (f64, f64) {
    (seen.0.unwrap_or(given.0), seen.1.unwrap_or(given.1))
}

/// The value below which the given share of the values lies; none of none.
pub(crate) fn quantile(values: impl Iterator<Item = f64>, share: f64) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    let last = values.len().checked_sub(1)?;
    values.get((last as f64 * share).round() as usize).copied()
}

/// Each zone's share of the whole; none of nothing.
pub(crate) fn shares(values: impl Iterator<Item = (ZoneId, f64)>) -> Zones {
    let (mut zones, mut all) = (Zones::new(), 0.0);
    for (zone, value) in values.filter(|(_, value)| *value > 0.0) {
        *zones.entry(zone).or_default() += value;
        all += value;
    }
    zones.values_mut().for_each(|value| *value /= all);
    zones
}

/// How far a value lies on the way from none to full.
pub(crate) fn full(value: f64, (from, to): (f64, f64)) -> f64 {
    clamp01((value - from) / (to - from))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Danger: a spoilt answer frees what still waits, and the queue behind it grows unseen.
    #[test]
    fn a_mark_that_was_not_written_to_a_proxy_confirms_nothing() {
        let mut channel = Channel::default();
        let lines = |of: &[u32]| of.iter().map(|id| (ProxyId(*id), 4.0)).collect::<BTreeMap<_, _>>();
        channel.send(Micros(1), 1, lines(&[1, 2]));
        channel.send(Micros(2), 2, lines(&[2]));
        channel.confirmed(Micros(3), ProxyId(1), 2);
        channel.confirmed(Micros(3), ProxyId(2), 77);
        assert_eq!((channel.waiting(), channel.confirmed), (12.0, Micros(0)));
        channel.confirmed(Micros(4), ProxyId(2), 2);
        assert_eq!((channel.waiting(), channel.confirmed), (0.0, Micros(4)));
    }
}
