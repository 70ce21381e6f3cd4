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
    pub entry: Endpoint,
    /// The place in which it was first listed: servers are spread over the parts by it.
    pub ordinal: usize,
    pub weight: f64,
    pub warmth: f64,
    pub heard: BTreeMap<ZoneId, Evidence>,
    pub fresh_good: f64,
    pub speed: Speed,
    pub probes_now: Fading,
    pub busy: Fading,
    pub last_load: LoadReport,
    pub quickest: f64,
    pub slower: f64,
    pub probing: Probing,
    pub state: HealthState,
    pub score: f64,
    pub terms: ScoreTerms,
    pub below: u32,
    pub above: u32,
    pub out_ticks: u32,
    pub return_after: u32,
    pub ceiling: f64,
    /// The life that was told of last, and since when.
    pub told: Lifecycle,
    pub since: Micros,
    pub shut: bool,
}

impl Server {
    pub fn enter(&mut self, state: HealthState, score: f64, ceiling: f64) {
        (self.state, self.score, self.ceiling) = (state, score, ceiling);
        (self.below, self.above, self.out_ticks) = (0, 0, 0);
    }
    pub fn open(&self) -> bool {
        self.entry.lifecycle == Lifecycle::InService && !self.shut
    }
    /// Whether it left at any time while it was listed here: proxies may hold it as shut out.
    pub fn left(&self) -> bool {
        self.shut || self.since > Micros(0)
    }
    /// How many times longer probes take now than they usually do.
    pub fn slowed(&self) -> Option<f64> {
        Some(self.speed.probes.mean()? / self.probes_now.mean()?)
    }
    /// How many times longer probes take now than they usually do while there is work.
    pub fn loaded(&self) -> Option<f64> {
        Some(self.speed.at_work.mean()? / self.probes_now.mean()?)
    }
    /// Share of its capacity that a server is sure to have, by the time since its start.
    pub fn warmth(&self, now: Micros, settings: &Settings) -> f64 {
        let age = self
            .entry
            .started_at
            .map_or(f64::MAX, |started| (now - started).secs().max(0.0));
        let warmed = clamp01(age / settings.slow_start_period.secs().max(1e-6));
        (settings.slow_start_share + (1.0 - settings.slow_start_share) * warmed).clamp(0.01, 1.0)
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
    /// Whether it is on tables of this instance, of this deal or the one before.
    pub fn holds(&self) -> bool {
        !self.tables.is_empty()
    }
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
        for WeightFactor {
            server,
            zone,
            class,
            factor,
        } in &advice.factors
        {
            factors
                .entry((*zone, *class))
                .or_default()
                .insert(*server, *factor);
        }
        let caps = advice.caps.iter().filter(|cap| !cap.share.is_nan());
        let caps = caps
            .map(|cap| (usize::from(cap.class.0), cap.share))
            .collect();
        let excluded = advice
            .excluded
            .iter()
            .map(|of| (of.server, of.until))
            .collect();
        Advised {
            factors,
            caps,
            never: advice.no_retry,
            excluded,
            until: advice.expires_at,
            taken: Some(now),
        }
    }
    /// The share of its weight that a server keeps for a class, or for all, in a zone's tables.
    pub fn share(
        &self,
        server: ServerId,
        zone: ZoneId,
        class: Option<ClassId>,
        now: Micros,
    ) -> f64 {
        if self.excluded.get(&server).is_some_and(|until| *until > now) {
            return 0.0;
        }
        // What is no number says nothing.
        let of = |class| {
            self.factors
                .get(&(zone, class))
                .and_then(|lines| lines.get(&server))
        };
        let of = |class| {
            of(class)
                .copied()
                .filter(|factor| !factor.is_nan())
                .map_or(1.0, clamp01)
        };
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
/// proxy. And what was confirmed since it was last asked, and at what pace it goes, in lines a second.
#[derive(Clone, Debug, Default)]
pub(crate) struct Channel {
    pub turns: VecDeque<(Micros, u16, BTreeMap<ProxyId, f64>)>,
    pub mark: u16,
    pub confirmed: Micros,
    pub gone: f64,
    /// The least time that one of these took.
    pub quickest: Option<Micros>,
    pub pace: f64,
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
    pub fn confirmed(&mut self, now: Micros, proxy: ProxyId, mark: u16, took: Micros) {
        let written = |(_, sent, lines): &(_, u16, BTreeMap<ProxyId, f64>)| {
            *sent == mark && lines.contains_key(&proxy)
        };
        if let Some(turn) = self.turns.iter().position(written) {
            self.confirmed = now;
            self.quickest = Some(self.quickest.map_or(took, |quickest| quickest.min(took)));
            self.gone += self
                .turns
                .drain(..turn)
                .flat_map(|(_, _, lines)| lines.into_values())
                .sum::<f64>();
            let first = self
                .turns
                .front_mut()
                .and_then(|(_, _, lines)| lines.remove(&proxy));
            self.gone += first.unwrap_or(0.0);
        }
    }
    /// What waits for a proxy whose stream broke is lost.
    pub fn lost(&mut self, proxy: ProxyId) {
        for (_, _, lines) in &mut self.turns {
            lines.remove(&proxy);
        }
    }
    pub fn forget(&mut self, before: Micros) {
        self.turns
            .retain(|(at, _, lines)| !lines.is_empty() && (*at).max(self.confirmed) >= before);
    }
    pub fn waiting(&self) -> f64 {
        self.turns
            .iter()
            .flat_map(|(_, _, lines)| lines.values())
            .sum()
    }
    /// The lines of the largest message that waits.
    pub fn largest(&self) -> f64 {
        self.turns
            .iter()
            .flat_map(|(_, _, lines)| lines.values())
            .copied()
            .fold(0.0, f64::max)
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
    /// What it costs at each proxy.
    pub lines: f64,
}

/// What a kind of order may fill: shares of the backlog, of the message limit, of the drains' grace.
pub(crate) type Fill = (f64, f64, f64);

/// The orders of one turn, what the message to each proxy costs, and all that waits in the channel with them.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    /// When.
    pub at: Micros,
    pub actions: Vec<Action>,
    pub lines: BTreeMap<ProxyId, f64>,
    pub waiting: f64,
    head: f64,
}

impl Orders {
    /// Nothing yet, while so many lines wait and a message costs so many beside its own.
    pub fn new(at: Micros, waiting: f64, head: f64) -> Self {
        Orders {
            at,
            waiting,
            head,
            ..Orders::default()
        }
    }
    /// What so many lines more for each of these cost: one that gets no message yet gets one.
    pub fn cost<'a>(&self, to: impl IntoIterator<Item = &'a ProxyId>, lines: f64) -> f64 {
        let head = |id: &ProxyId| {
            if self.lines.contains_key(id) {
                0.0
            } else {
                self.head
            }
        };
        to.into_iter().map(|id| lines + head(id)).sum()
    }
    pub fn add(&mut self, to: ProxyId, lines: f64) {
        let cost = self.cost([&to], lines);
        *self.lines.entry(to).or_default() += cost;
        self.waiting += cost;
    }
    /// An action that costs so many lines at each of these.
    pub fn give(&mut self, action: Action, to: &[ProxyId], lines: f64) {
        self.actions.push(action);
        to.iter().for_each(|proxy| self.add(*proxy, lines));
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
pub(crate) fn with_fallback(seen: (Option<f64>, Option<f64>), given: (f64, f64)) -> (f64, f64) {
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

/// How much longer probes take to servers of other zones than to those of this one, in seconds, by the quickest of each.
pub(crate) fn link_latency<'a>(
    open: impl Iterator<Item = &'a Server> + Clone,
    zone: ZoneId,
) -> f64 {
    let home = |s: &Server| s.entry.zone == zone;
    let timed = open.filter(|s| s.quickest > 0.0);
    let kinds: BTreeSet<u32> = timed.clone().map(|s| s.entry.machine_kind).collect();
    let times = |kind| {
        timed
            .clone()
            .filter(move |s| home(s) && s.entry.machine_kind == kind)
            .map(|s| s.quickest)
    };
    let near: BTreeMap<_, _> = kinds
        .into_iter()
        .map(|kind| (kind, quantile(times(kind), 0.5)))
        .collect();
    let longer = timed.clone().filter(|s| !home(s));
    let longer =
        longer.filter_map(|far| Some(far.quickest - (*near.get(&far.entry.machine_kind)?)?));
    quantile(longer, 0.5).unwrap_or(0.0).max(0.0)
}

/// The servers by the part of the fleet that they are dealt to, and at last all of them.
pub(crate) type Parts = Vec<Vec<ServerId>>;

/// Deals the servers into so many parts, by their places.
pub(crate) fn servers_by_part(servers: &BTreeMap<ServerId, Server>, parts: usize) -> Parts {
    let mut by_part = vec![Vec::new(); parts];
    for (id, server) in servers.iter().filter(|_| parts > 0) {
        by_part
            .get_mut(server.ordinal % parts)
            .into_iter()
            .for_each(|part| part.push(*id));
    }
    by_part.push(servers.keys().copied().collect());
    by_part
}

/// By zone, the share of its servers that answer no probe.
pub(crate) fn unanswered_probes<'a>(open: impl Iterator<Item = &'a Server>) -> Zones {
    let mut zones = BTreeMap::<ZoneId, Fading>::new();
    for server in open {
        zones
            .entry(server.entry.zone)
            .or_default()
            .add(f64::from(server.probing.failing.min(1)), 1.0);
    }
    zones
        .into_iter()
        .map(|(zone, silent)| (zone, silent.sum / silent.weight))
        .collect()
}

/// The tables without slices: for each part of the fleet and zone, one more where classes stay at home, and
/// one for each class that is steered apart.
pub(crate) fn lay_out_tables(
    settings: &Settings,
    parts: usize,
    first: u16,
    apart: ClassSet,
) -> Vec<Scheme> {
    let mut groups: Vec<(bool, ClassSet)> = Vec::new();
    for home_only in [false, true] {
        let classes = settings
            .classes
            .iter()
            .enumerate()
            .filter(|(_, class)| class.zone_local == home_only);
        let (own, together): (Vec<usize>, Vec<usize>) =
            classes.map(|(k, _)| k).partition(|k| apart.has(*k));
        groups.push((
            home_only,
            together
                .into_iter()
                .fold(ClassSet::default(), ClassSet::with),
        ));
        groups.extend(
            own.into_iter()
                .map(|k| (home_only, ClassSet::default().with(k))),
        );
    }
    groups.retain(|(_, classes)| *classes != ClassSet::default());
    let tables = (0..settings.zones.max(1) as u16)
        .flat_map(|z| groups.iter().map(move |group| (ZoneId(z), group)));
    let tables = tables.flat_map(|(zone, group)| {
        (0..parts + usize::from(parts > 1)).map(move |part| (zone, *group, part))
    });
    let tables = (first..u16::MAX).map(TableId).zip(tables);
    let scheme = |(table, (zone, (home_only, classes), part))| Scheme {
        table,
        zone,
        home_only,
        part,
        classes,
        apart,
    };
    tables.map(scheme).collect()
}

/// How far a value lies on the way from none to full.
pub(crate) fn full(value: f64, (from, to): (f64, f64)) -> f64 {
    clamp01((value - from) / (to - from))
}

#[cfg(test)]
mod tests;
