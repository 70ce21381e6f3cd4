//! Every decision of chutegrade. The types it speaks - settings, events in, actions out - are in `interface.rs`.
//!
//! In order: registry view, evidence, score and state, weights, admission and retries, rule guards, pacing.
//! A server's weight follows its headroom score: the minimum of clamped one-minus-ratio terms, smoothed, with
//! hysteresis and dwell, published as full, reduced or withdrawn weight in few shared tables.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::interface::*;

/// Length of a tick. The design starts at 1 s and leaves it open: half of it halves the time to act.
const TICK: Micros = Micros(500_000);
/// Weight of the newest value in the smoothed score while it rises (design: 0.3).
const EWMA_RISE: f64 = 0.3;
/// The same while it falls: a failing server costs more each tick than one wrongly eased.
const EWMA_FALL: f64 = 0.5;
/// Withdraw below this score (write-up), by the error term alone (design).
const WITHDRAW_BELOW: f64 = 0.20;
/// Ticks below before withdrawing (write-up).
const WITHDRAW_TICKS: u32 = 2;
/// Reduce below this score (write-up).
const REDUCE_BELOW: f64 = 0.45;
/// Restore above this score (write-up); also the divisor of the reduced weight (design).
const RESTORE_ABOVE: f64 = 0.55;
/// Ticks above before restoring, and ticks out before a return (write-up, design).
const RESTORE_TICKS: u32 = 6;
/// A return that failed waits this many times longer for the next (field practice: ejection backoff).
const RETURN_BACKOFF: u32 = 2;
/// Ticks a return waits at most.
const RETURN_TICKS_MOST: u32 = 24;
/// Latency budget, as a multiple of the fleet's median. The design starts at 3, which a merely busy server
/// crosses: cores shared by a few requests more double its service time, and the fleet swings.
const LATENCY_BUDGET: f64 = 5.0;
/// Error budget, as a share of tries (design).
const ERROR_BUDGET: f64 = 0.2;
/// Least weight of a reduced server and weight of a returning one, as a share of the listed (design).
const LEAST_SHARE: f64 = 0.1;
/// Score and ceiling of a new server (design).
const NEW_SCORE: f64 = 0.5;
/// Growth of a returning server's ceiling with each tick of good reports.
const CEILING_GROWTH: f64 = 1.5;
/// A weight is sent again after moving by this share of the weight last sent. The design starts at a fifth; a
/// climb that ended there would leave a fifth of a healthy server unused for good.
const RESEND_SHARE: f64 = 0.1;
/// Half-life of tries and probes as evidence: a few report periods, since one holds few tries.
const EVIDENCE_HALF_LIFE_S: f64 = 1.5;
/// Tries of the fleet's own quality mixed into each server's: thin evidence then says little.
const PRIOR_TRIES: f64 = 4.0;
/// Mean queue and core use between which a server counts as saturated in part, then wholly.
const BUSY_QUEUE: (f64, f64) = (1.0, 4.0);
const BUSY_UTIL: (f64, f64) = (0.85, 0.95);
/// Half-life of what is learned of a server's speed: several reports, which are noisy and few.
const SPEED_HALF_LIFE_S: f64 = 12.0;
/// Bounds of the correction of a listed weight by measured speed: beyond, the report is doubted.
const SPEED_BOUNDS: (f64, f64) = (0.3, 2.5);
/// Load reports mixed in at the fleet's median before a speed is believed.
const PRIOR_REPORTS: f64 = 2.0;
/// Bounds of a server's usual latency against the fleet's.
const USUAL_BOUNDS: (f64, f64) = (0.6, 1.8);
/// Time between probes of a server that answers; one that does not is asked each tick.
const PROBE_EVERY: Micros = Micros(1_000_000);
/// A failed probe counts as so many failed tries, times the length of the failing row.
const PROBE_TRIES: f64 = 2.0;
/// A probe answer that never came is forgotten after this time.
const PROBE_LOST: Micros = Micros(3_000_000);
/// Panic threshold: at least this share of the listed weight stays in use; and at least this share of the
/// probes must be answered before a failed one is held against a server.
const PANIC_SHARE: f64 = 0.3;
/// A cold server's part is set as if demand were this multiple of what the listed fleet can do: room for a bad
/// moment to begin before tallies, seconds late, tell of it.
const COLD_DEMAND: f64 = 3.0;
/// Share of the backlog that ordinary updates may fill; the rest is for joins and drains.
const ORDINARY_BACKLOG: f64 = 0.3;
/// Share of the backlog that guards may fill.
const GUARD_BACKLOG: f64 = 0.9;
/// Share of the message limit that guards may use; the rest is for drains.
const GUARD_MESSAGES: f64 = 0.8;
/// Share of the message limit that ordinary updates may use.
const ORDINARY_MESSAGES: f64 = 0.6;
/// Time between ordinary updates.
const UPDATE_EVERY: Micros = Micros(1_000_000);
/// A subscription that failed is tried again after this time.
const SUBSCRIBE_AGAIN: Micros = Micros(1_000_000);

const TICK_TIMER: u32 = 1;
const SHARED: TableId = TableId(0);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Full,
    Reduced,
    Withdrawn,
}

/// What proxies of one zone met at a server, fading with time.
#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    tries: f64,
    failed: f64,
    good: f64,
    cost: f64,
}

impl Evidence {
    fn fade(&mut self, keep: f64) {
        self.tries *= keep;
        self.failed *= keep;
        self.good *= keep;
        self.cost *= keep;
    }
}

/// A mean that fades with time: a sum and its weight.
#[derive(Clone, Copy, Debug, Default)]
struct Fading {
    sum: f64,
    weight: f64,
}

impl Fading {
    fn add(&mut self, sum: f64, weight: f64) {
        self.sum += sum;
        self.weight += weight;
    }
    fn fade(&mut self, keep: f64) {
        self.sum *= keep;
        self.weight *= keep;
    }
    fn mean(&self) -> Option<f64> {
        (self.sum > 0.0 && self.weight > 0.0).then(|| self.sum / self.weight)
    }
}

/// What load reports tell of a server's speed, fading with time.
#[derive(Clone, Copy, Debug, Default)]
struct Speed {
    service: Fading,
    per_util: Fading,
}

impl Speed {
    fn add(&mut self, load: &Load) {
        if let Some(ms) = load.latency_ms.filter(|ms| *ms > 0.0) {
            // Shared cores stretch the service time of a busy server: what it shows while none waits tells more.
            let weight = 1.0 / (1.0 + load.queue.unwrap_or(0.0));
            self.service.add(ms * weight, weight);
        }
        if let (Some(qps), Some(util)) = (load.qps, load.util) {
            self.per_util.add(qps, util);
        }
    }
    fn fade(&mut self, keep: f64) {
        self.service.fade(keep);
        self.per_util.fade(keep);
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Probing {
    asked: Option<Micros>,
    next: Micros,
    failing: u32,
    failed: f64,
    answered: bool,
}

#[derive(Clone, Debug)]
struct Server {
    entry: Entry,
    heard: BTreeMap<ZoneId, Evidence>,
    fresh_good: f64,
    speed: Speed,
    speed_now: Speed,
    busy: Fading,
    usual: Fading,
    probing: Probing,
    state: State,
    score: f64,
    below: u32,
    above: u32,
    out_ticks: u32,
    return_after: u32,
    ceiling: f64,
    shut: bool,
}

impl Server {
    fn new(entry: Entry, warm: bool) -> Self {
        let mut server = Server {
            entry,
            heard: BTreeMap::new(),
            fresh_good: 0.0,
            speed: Speed::default(),
            speed_now: Speed::default(),
            busy: Fading::default(),
            usual: Fading::default(),
            probing: Probing::default(),
            state: State::Full,
            score: 1.0,
            below: 0,
            above: 0,
            out_ticks: 0,
            return_after: RESTORE_TICKS,
            ceiling: 1.0,
            shut: false,
        };
        if !warm {
            server.enter(State::Reduced, NEW_SCORE, NEW_SCORE);
        }
        server
    }

    fn enter(&mut self, state: State, score: f64, ceiling: f64) {
        (self.state, self.score, self.ceiling) = (state, score, ceiling);
        (self.below, self.above, self.out_ticks) = (0, 0, 0);
    }

    /// The listed weight, never quite nothing.
    fn size(&self) -> f64 {
        self.entry.weight.max(f64::MIN_POSITIVE)
    }

    fn open(&self) -> bool {
        self.entry.life == Lifecycle::InService
    }

    fn fade(&mut self, elapsed: f64) {
        let keep = 0.5f64.powf(elapsed / EVIDENCE_HALF_LIFE_S);
        self.heard.values_mut().for_each(|evidence| evidence.fade(keep));
        self.probing.failed *= keep;
        self.busy.fade(keep);
        self.speed_now.fade(keep);
        self.speed.fade(0.5f64.powf(elapsed / SPEED_HALF_LIFE_S));
    }

    fn report(&mut self, load: &Load) {
        self.speed.add(load);
        self.speed_now.add(load);
        let full = |value: f64, (from, to): (f64, f64)| clamp01((value - from) / (to - from));
        if let Some(queue) = load.queue {
            self.busy.add(full(queue, BUSY_QUEUE), 1.0);
        } else if let Some(util) = load.util {
            self.busy.add(full(util, BUSY_UTIL), 1.0);
        }
    }

    /// How far recent reports show the server saturated, from 0 to 1; 0 once reports stop.
    fn saturated(&self) -> f64 {
        self.busy.sum / (self.busy.weight + 0.5)
    }

    /// Share of its capacity that a server is sure to have, by the time since its start.
    fn warmth(&self, now: Micros, settings: &Settings) -> f64 {
        match self.entry.started {
            Some(started) if now - started < settings.cold_for => {
                let age = (now - started).secs().max(0.0) / settings.cold_for.secs();
                (settings.cold_from + (1.0 - settings.cold_from) * age).clamp(0.01, 1.0)
            }
            _ => 1.0,
        }
    }
}

#[derive(Clone, Debug)]
struct Proxy {
    zone: ZoneId,
    bound: bool,
    written: VecDeque<Micros>,
}

#[derive(Clone, Debug, Default)]
struct Table {
    lines: BTreeMap<ServerId, f64>,
    levels: BTreeMap<ClassSet, (f64, Retry)>,
}

/// What the own orders did to the channel, as far as it can be told from here.
#[derive(Clone, Copy, Debug, Default)]
struct Channel {
    waiting: f64,
    at: Micros,
    mark: u16,
    marked: Option<Micros>,
}

/// Which orders the limit on messages leaves room for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Room {
    Nothing,
    Drains,
    Guards,
    All,
}

/// A change to a table's line that waits to be sent.
#[derive(Clone, Copy, Debug)]
struct Change {
    table: TableId,
    server: ServerId,
    weight: f64,
    guard: bool,
    size: f64,
}

/// One instance of the decisions.
#[derive(Clone, Debug)]
pub struct Policy {
    settings: Settings,
    seed: u64,
    started: bool,
    servers: BTreeMap<ServerId, Server>,
    proxies: BTreeMap<ProxyId, Proxy>,
    tables: BTreeMap<TableId, Table>,
    channel: Channel,
    ticked: Micros,
    updated: Option<Micros>,
    subscribe_at: Option<Micros>,
    slices: BTreeMap<TableId, Slice>,
}

/// A slice in this instance's charge.
#[derive(Clone, Debug, Default)]
struct Slice {
    handover: Option<Handover>,
}

/// A sole owner's replacement under way: the table is empty until no write can still reach the former owner.
#[derive(Clone, Debug)]
struct Handover {
    waits_for: BTreeSet<ProxyId>,
    mark: u16,
    not_before: Micros,
}

fn clamp01(value: f64) -> f64 {
    value.clamp(0.0, 1.0)
}

/// The value below which the given share of the sorted values lies.
fn quantile(mut values: Vec<f64>, share: f64) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let last = values.len().checked_sub(1)?;
    values.get((last as f64 * share).round() as usize).copied()
}

impl Policy {
    /// An instance that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Policy {
            settings,
            seed,
            started: false,
            servers: BTreeMap::new(),
            proxies: BTreeMap::new(),
            tables: BTreeMap::new(),
            channel: Channel::default(),
            ticked: Micros(0),
            updated: None,
            subscribe_at: None,
            slices: BTreeMap::new(),
        }
    }

    /// Takes in what happened by `now` and returns the orders to give.
    pub fn handle(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        let mut out = Vec::new();
        if !self.started {
            self.started = true;
            (self.ticked, self.channel.at) = (now, now);
            if self.settings.list_on_request {
                out.push(Action::Subscribe(true));
            }
            out.push(Action::Timer { id: TICK_TIMER, after: TICK });
        }
        let mut tick = false;
        for event in events {
            tick |= *event == Event::Timer(TICK_TIMER);
            self.take(now, event);
        }
        if tick {
            out.push(Action::Timer { id: TICK_TIMER, after: TICK });
            self.tick(now, &mut out);
        }
        self.publish(now, &mut out);
        out
    }

    // ---- Registry view and evidence ----

    fn take(&mut self, now: Micros, event: &Event) {
        match event {
            Event::Members(ListKind::Lost, _) => self.subscribe_at = Some(now + SUBSCRIBE_AGAIN),
            Event::Members(kind, entries) => self.members(now, *kind, entries),
            Event::Joined { proxy, zone, rate: _ } => {
                let fresh = Proxy { zone: *zone, bound: false, written: VecDeque::new() };
                self.proxies.insert(*proxy, fresh);
            }
            Event::Left(proxy) => {
                self.proxies.remove(proxy);
                let lease_over = now + self.settings.lease;
                for handover in self.slices.values_mut().filter_map(|slice| slice.handover.as_mut()) {
                    if handover.waits_for.remove(proxy) {
                        handover.not_before = handover.not_before.max(lease_over);
                    }
                }
            }
            Event::Heard { zone, server, tries, failed, mean_ms, load, .. } => {
                if let Some(server) = self.servers.get_mut(server) {
                    let good = (tries - failed).max(0.0);
                    let seen = server.heard.entry(*zone).or_default();
                    seen.tries += tries;
                    seen.failed += failed.min(*tries);
                    seen.good += good;
                    seen.cost += good * mean_ms;
                    server.fresh_good += good;
                    server.report(load);
                }
            }
            Event::Probed { server, end, load, .. } => {
                if let Some(server) = self.servers.get_mut(server) {
                    let probing = &mut server.probing;
                    probing.asked = None;
                    match end {
                        ProbeEnd::Done => (probing.failing, probing.answered) = (0, true),
                        ProbeEnd::Busy | ProbeEnd::Other => {}
                        ProbeEnd::Error | ProbeEnd::TimedOut | ProbeEnd::Unreachable => {
                            (probing.failing, probing.answered) = (probing.failing + 1, false);
                            probing.failed += PROBE_TRIES * f64::from(probing.failing);
                        }
                    }
                    server.report(load);
                }
            }
            Event::Receipt { proxy, mark, .. } => {
                if *mark == self.channel.mark {
                    self.channel.marked = None;
                }
                for handover in self.slices.values_mut().filter_map(|slice| slice.handover.as_mut()) {
                    if handover.mark == *mark {
                        handover.waits_for.remove(proxy);
                    }
                }
            }
            Event::Tenure { table, given } => {
                self.tables.insert(*table, Table::default());
                if *given {
                    self.slices.insert(*table, Slice::default());
                } else {
                    self.slices.remove(table);
                }
            }
            Event::Held { table, server, weight } => {
                if let Some(table) = self.tables.get_mut(table) {
                    table.lines.insert(*server, *weight);
                }
            }
            Event::Usage { .. } | Event::SliceUsage { .. } | Event::Peer { .. } | Event::Timer(_) => {}
        }
    }

    fn members(&mut self, now: Micros, kind: ListKind, entries: &[Entry]) {
        let first = self.servers.is_empty();
        if kind != ListKind::Changes {
            let listed: BTreeSet<ServerId> = entries.iter().map(|entry| entry.server).collect();
            for (id, server) in &mut self.servers {
                if !listed.contains(id) {
                    server.entry.life = Lifecycle::Gone;
                }
            }
        }
        for entry in entries {
            let cold = entry.started.is_some_and(|started| now - started < self.settings.cold_for);
            match self.servers.get_mut(&entry.server) {
                // A process that started anew is another server in all that matters: cold, with no past.
                Some(known) if entry.started > known.entry.started => {
                    let shut = known.shut;
                    *known = Server::new(*entry, !cold);
                    known.shut = shut;
                }
                Some(known) => known.entry = *entry,
                None => {
                    self.servers.insert(entry.server, Server::new(*entry, first && !cold));
                }
            }
        }
    }

    // ---- Score and state ----

    fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        let elapsed = (now - self.ticked).secs().max(0.0);
        self.ticked = now;
        if self.subscribe_at.is_some_and(|at| at <= now) {
            self.subscribe_at = None;
            out.push(Action::Subscribe(true));
        }
        let zones = self.zone_references();
        let probes_count = self.probes_count();
        let speeds = self.speeds(|server| &server.speed_now);
        for (id, server) in self.servers.iter_mut().filter(|(_, server)| server.open()) {
            let error = 1.0 - clamp01(error_share(server, &zones, probes_count) / ERROR_BUDGET);
            // Reported service time holds no waiting, so a server that is only busy is not taken for a slow one.
            let ratio = speeds.get(id).map_or_else(|| latency_ratio(server, &zones), |speed| 1.0 / speed);
            let usual = server.usual.mean().unwrap_or(1.0).clamp(USUAL_BOUNDS.0, USUAL_BOUNDS.1);
            let latency = 1.0 - clamp01(ratio / usual / LATENCY_BUDGET);
            if server.state == State::Full {
                // Learned only while nothing is wrong: else a long trouble would become the usual.
                server.usual.fade(0.5f64.powf(elapsed / (2.0 * SPEED_HALF_LIFE_S)));
                server.usual.add(ratio, 1.0);
            }
            let before = server.state;
            step(server, error, latency);
            if server.state != before {
                let cause = if error <= latency { "errors" } else { "latency" };
                let score = (server.score * 100.0).round() / 100.0;
                out.push(Action::Log(format!("server {} {:?} score {score} by {cause}", id.0, server.state)));
            }
            server.fresh_good = 0.0;
            server.fade(elapsed);
        }
        self.probe(now, out);
    }

    /// By zone: the fleet's median error share and latency. What strikes all servers alike - a stalled proxy,
    /// zone or supervisor, an overload - moves the reference and blames no server.
    fn zone_references(&self) -> BTreeMap<ZoneId, (f64, f64)> {
        let mut seen: BTreeMap<ZoneId, (Vec<f64>, Vec<f64>)> = BTreeMap::new();
        for server in self.servers.values().filter(|server| server.open()) {
            for (zone, evidence) in &server.heard {
                let (errors, latencies) = seen.entry(*zone).or_default();
                if evidence.tries >= 1.0 {
                    errors.push(evidence.failed / evidence.tries);
                }
                if evidence.good >= 1.0 {
                    latencies.push(evidence.cost / evidence.good);
                }
            }
        }
        seen.into_iter()
            .map(|(zone, (errors, latencies))| {
                (zone, (quantile(errors, 0.5).unwrap_or(0.0), quantile(latencies, 0.5).unwrap_or(0.0)))
            })
            .collect()
    }

    /// Whether failed probes say something of servers: not while nearly none is answered, which points to the
    /// own link or process.
    fn probes_count(&self) -> bool {
        let asked =
            self.servers.values().filter(|s| s.open() && (s.probing.answered || s.probing.failing > 0));
        let (answered, all) =
            asked.fold((0, 0), |(yes, all), s| (yes + usize::from(s.probing.answered), all + 1));
        answered as f64 >= PANIC_SHARE * all as f64
    }

    fn probe(&mut self, now: Micros, out: &mut Vec<Action>) {
        if !self.settings.probes {
            return;
        }
        for (nth, (id, server)) in self.servers.iter_mut().filter(|(_, server)| server.open()).enumerate() {
            let probing = &mut server.probing;
            if probing.asked.is_some_and(|asked| now - asked < PROBE_LOST) || probing.next > now {
                continue;
            }
            // Spread over the ticks, differently at each instance, so that probes do not meet at a server.
            let even = (self.seed.wrapping_add(nth as u64)).is_multiple_of(2);
            let first = probing.next == Micros(0) && even;
            let pause = if probing.failing > 0 || first { TICK } else { PROBE_EVERY };
            probing.next = now + Micros(pause.0 - TICK.0 / 2);
            if !first {
                probing.asked = Some(now);
                out.push(Action::Probe(*id));
            }
        }
    }

    // ---- Weights ----

    /// How fast each server is for its listed weight, against the fleet's median, over the longer or the shorter
    /// time; nothing where no report tells.
    fn speeds(&self, of: fn(&Server) -> &Speed) -> BTreeMap<ServerId, f64> {
        let by_kind = self.settings.listed == Listed::Nominal;
        let mut groups: BTreeMap<(bool, u32), Vec<(ServerId, f64, f64)>> = BTreeMap::new();
        for (id, server) in self.servers.iter().filter(|(_, server)| server.open()) {
            let speed = of(server);
            // Requests served at full use tell the capacity whatever the listed weight means. A service time
            // tells the speed alone: registered capacities already hold the machine kind's.
            let (group, value, reports) = match (speed.per_util.mean(), speed.service.mean()) {
                (Some(per_util), _) => ((true, 0), per_util / server.size(), speed.per_util.weight),
                (None, Some(ms)) => {
                    ((false, if by_kind { server.entry.kind } else { 0 }), 1.0 / ms, speed.service.weight)
                }
                (None, None) => continue,
            };
            groups.entry(group).or_default().push((*id, value, reports));
        }
        let mut speeds = BTreeMap::new();
        for group in groups.into_values() {
            let median = quantile(group.iter().map(|(_, value, _)| *value).collect(), 0.5).unwrap_or(1.0);
            for (id, value, reports) in group {
                speeds.insert(id, (value / median).powf(reports / (reports + PRIOR_REPORTS)));
            }
        }
        speeds
    }

    /// The weight each open server should have, in the shared table and in its zone's.
    fn weights(&self, now: Micros) -> BTreeMap<ServerId, f64> {
        let speeds = self.speeds(|server| &server.speed);
        let kept = self.panic_kept();
        let open = self.servers.iter().filter(|(_, server)| server.open());
        open.map(|(id, server)| {
            let speed = speeds.get(id).copied().unwrap_or(1.0).clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1);
            let share = match server.state {
                State::Full => 1.0,
                State::Reduced => (server.score / RESTORE_ABOVE).clamp(LEAST_SHARE, 1.0),
                State::Withdrawn if kept.contains(id) => LEAST_SHARE,
                State::Withdrawn => 0.0,
            };
            let eased = share.min(server.ceiling).min(server.warmth(now, &self.settings));
            (*id, server.size() * speed * eased)
        })
        .collect()
    }

    /// Panic threshold: of the withdrawn, the best keep a little weight while too little of the listed weight
    /// would remain. Danger: a trouble that is not the servers' own empties the tables.
    fn panic_kept(&self) -> BTreeSet<ServerId> {
        let open = || self.servers.iter().filter(|(_, server)| server.open());
        let listed: f64 = open().map(|(_, server)| server.size()).sum();
        let out: Vec<_> = open().filter(|(_, server)| server.state == State::Withdrawn).collect();
        let mut used = listed - out.iter().map(|(_, server)| server.size()).sum::<f64>();
        let mut best = out;
        best.sort_by(|a, b| b.1.score.total_cmp(&a.1.score));
        let mut kept = BTreeSet::new();
        for (id, server) in best {
            if used < PANIC_SHARE * listed {
                used += server.size();
                kept.insert(*id);
            }
        }
        kept
    }

    /// The lines a table should have. `zone`: only that zone's servers, for classes that stay at home.
    fn target(
        &self,
        now: Micros,
        weights: &BTreeMap<ServerId, f64>,
        zone: Option<ZoneId>,
    ) -> BTreeMap<ServerId, f64> {
        let here = |id: &ServerId| self.servers.get(id).filter(|s| zone.is_none_or(|z| s.entry.zone == z));
        let mut lines: BTreeMap<ServerId, f64> =
            weights.iter().filter(|(id, _)| here(id).is_some()).map(|(id, weight)| (*id, *weight)).collect();
        if lines.values().all(|weight| *weight <= 0.0) {
            // Nobody without a server: a table all of whose servers were withdrawn gets them back, at the part
            // they can surely do.
            for (id, weight) in &mut lines {
                *weight = here(id).map_or(0.0, |s| s.size() * s.warmth(now, &self.settings));
            }
        }
        self.spare_the_cold(now, &mut lines);
        lines
    }

    /// No cold server pushed over: a cold one's part of the table stays under what makes it fall, with all
    /// proxies together, few other servers left, and clients coming again and again: tries for each good answer
    /// tell how far demand is beyond what is served.
    fn spare_the_cold(&self, now: Micros, lines: &mut BTreeMap<ServerId, f64>) {
        let open = || self.servers.values().filter(|server| server.open());
        let listed: f64 = open().map(Server::size).sum();
        let seen = || open().flat_map(|server| server.heard.values());
        let (tries, good): (f64, f64) = (seen().map(|e| e.tries).sum(), seen().map(|e| e.good).sum());
        let demand = COLD_DEMAND * ((tries + PRIOR_TRIES) / (good + PRIOR_TRIES)).max(1.0);
        let warmth = |id: &ServerId| self.servers.get(id).map_or(1.0, |s| s.warmth(now, &self.settings));
        let warm: f64 = lines.iter().filter(|(id, _)| warmth(id) >= 1.0).map(|(_, weight)| weight).sum();
        if warm <= 0.0 || listed <= 0.0 {
            return;
        }
        for (id, weight) in lines.iter_mut() {
            let (warmth, own) = (warmth(id), self.servers.get(id).map_or(0.0, Server::size));
            if warmth < 1.0 {
                let part = (self.settings.fall_multiple / demand * warmth * own / listed).min(0.9);
                *weight = weight.min(warm * part / (1.0 - part));
            }
        }
    }

    // ---- Admission and retries ----

    /// Classes by the table that serves them: the shared one, or their zone's for those that stay at home.
    fn classes(&self, home_only: bool) -> ClassSet {
        let classes =
            self.settings.classes.iter().enumerate().filter(|(_, class)| class.home_only == home_only);
        classes.fold(ClassSet::default(), |set, (k, _)| set.with(k))
    }

    /// The furthest retry order that cannot make an effect happen twice.
    fn retry(&self, class: &Class) -> Retry {
        let wait = class.aim.secs() * self.settings.first_wait;
        match class.effect {
            Effect::Safe if wait < class.deadline.secs() && false => Retry::Once,
            Effect::Keyed(Scope::All, window) if wait < class.deadline.secs().min(window.secs() / 2.0) => {
                Retry::Once
            }
            _ => Retry::Unrun,
        }
    }

    fn levels(&self, classes: ClassSet) -> BTreeMap<ClassSet, (f64, Retry)> {
        let mut by_order: BTreeMap<Retry, ClassSet> = BTreeMap::new();
        for (k, class) in self.settings.classes.iter().enumerate().filter(|(k, _)| classes.has(*k)) {
            let set = by_order.entry(self.retry(class)).or_default();
            *set = set.with(k);
        }
        by_order.into_iter().map(|(retry, set)| (set, (1.0, retry))).collect()
    }

    // ---- Rule guards and pacing ----

    fn home_table(zone: ZoneId) -> TableId {
        TableId(zone.0.saturating_add(SHARED.0 + 1))
    }

    fn users(&self, table: TableId) -> impl Iterator<Item = (&ProxyId, &Proxy)> {
        let sliced = self.settings.slices > 0;
        self.proxies.iter().filter(move |(_, proxy)| {
            sliced || (proxy.bound && (table == SHARED || table == Self::home_table(proxy.zone)))
        })
    }

    fn publish(&mut self, now: Micros, out: &mut Vec<Action>) {
        let mut orders = Vec::new();
        let mut lines_for: BTreeMap<ProxyId, f64> = BTreeMap::new();
        self.drain_channel(now);
        let room = self.room();
        if room == Room::Nothing {
            return;
        }
        self.shut_the_leaving(&mut orders, &mut lines_for);
        if self.settings.slices > 0 {
            self.slice_lines(now, &mut orders, &mut lines_for);
        } else {
            self.table_lines(now, room, &mut orders, &mut lines_for);
            self.bind_joined(now, &mut orders, &mut lines_for);
        }
        if !lines_for.is_empty() {
            let cost: f64 = lines_for.values().map(|lines| lines + self.settings.message_head + 1.0).sum();
            self.channel.waiting += cost;
            for id in lines_for.keys() {
                if let Some(proxy) = self.proxies.get_mut(id) {
                    proxy.written.push_back(now);
                }
            }
            self.channel.mark = (self.channel.mark + 1) % u16::MAX;
            self.channel.marked.get_or_insert(now);
            orders.push(Action::Mark { mark: self.channel.mark, everyone: false });
        }
        out.append(&mut orders);
    }

    /// Short queue: what waits is known from the own orders; it drains at the stated pace, but not at all while
    /// a mark stays unanswered for longer than any message should take - the channel may run slow.
    fn drain_channel(&mut self, now: Micros) {
        let elapsed = (now - self.channel.at).secs().max(0.0);
        self.channel.at = now;
        let usual = self.channel.waiting / self.settings.lines_per_s.max(1.0)
            + 2.0 * self.settings.way_most.secs()
            + 2.0;
        let overdue = self.channel.marked.is_some_and(|at| (now - at).secs() > usual);
        if !overdue {
            self.channel.waiting = (self.channel.waiting - elapsed * self.settings.lines_per_s).max(0.0);
        }
        if self.channel.marked.is_some_and(|at| (now - at).secs() > 4.0 * usual) {
            self.channel.marked = None;
        }
        let window = self.settings.messages_window;
        for proxy in self.proxies.values_mut() {
            while proxy.written.front().is_some_and(|at| now - *at > window) {
                proxy.written.pop_front();
            }
        }
    }

    /// Which orders may be written now, by the messages each proxy has had in the window: below a first share
    /// all, then those of the rule guards, then drains alone, at the limit none.
    fn room(&self) -> Room {
        let had = self.proxies.values().map(|proxy| proxy.written.len()).max().unwrap_or(0) as f64 + 1.0;
        match self.settings.messages_most as f64 {
            0.0 => Room::All,
            most if had <= ORDINARY_MESSAGES * most => Room::All,
            most if had <= GUARD_MESSAGES * most => Room::Guards,
            most if had <= most => Room::Drains,
            _ => Room::Nothing,
        }
    }

    /// Drains kept: a server that drains or is gone is shut out of all tables at once, whatever they name.
    fn shut_the_leaving(&mut self, orders: &mut Vec<Action>, lines_for: &mut BTreeMap<ProxyId, f64>) {
        for (id, server) in &mut self.servers {
            if server.shut != server.open() {
                continue;
            }
            server.shut = !server.open();
            orders.push(Action::Withdraw { server: *id, out: server.shut });
            orders.push(Action::Log(format!("server {} {:?}", id.0, server.entry.life)));
            for proxy in self.proxies.keys() {
                *lines_for.entry(*proxy).or_default() += 1.0;
            }
        }
    }

    fn table_lines(
        &mut self,
        now: Micros,
        room: Room,
        orders: &mut Vec<Action>,
        lines_for: &mut BTreeMap<ProxyId, f64>,
    ) {
        let weights = self.weights(now);
        let mut wanted = Vec::new();
        let shared = self.classes(false);
        if shared != ClassSet::default() {
            wanted.push((SHARED, shared, self.target(now, &weights, None)));
        }
        let home = self.classes(true);
        if home != ClassSet::default() {
            for zone in (0..self.settings.zones as u16).map(ZoneId) {
                wanted.push((Self::home_table(zone), home, self.target(now, &weights, Some(zone))));
            }
        }
        let mut changes = Vec::new();
        for (table, classes, target) in &wanted {
            self.changes(*table, target, &mut changes);
            self.order_levels(*table, *classes, orders, lines_for);
        }
        changes.sort_by(|a, b| b.guard.cmp(&a.guard).then(b.size.total_cmp(&a.size)));
        let due = room == Room::All && self.updated.is_none_or(|at| now - at >= UPDATE_EVERY);
        let mut lines = self.channel.waiting;
        for change in changes {
            let users: Vec<ProxyId> = self.users(change.table).map(|(id, _)| *id).collect();
            if !users.is_empty() {
                lines += users.len() as f64;
                let ordinary = due && lines <= ORDINARY_BACKLOG * self.settings.backlog;
                let guard = room >= Room::Guards && lines <= GUARD_BACKLOG * self.settings.backlog;
                if !(ordinary || (change.guard && guard)) {
                    continue;
                }
                if !change.guard {
                    self.updated = Some(now);
                }
            }
            let table = self.tables.entry(change.table).or_default();
            if change.weight > 0.0 {
                table.lines.insert(change.server, change.weight);
            } else {
                table.lines.remove(&change.server);
            }
            orders.push(Action::Line { table: change.table, server: change.server, weight: change.weight });
            for user in users {
                *lines_for.entry(user).or_default() += 1.0;
            }
        }
    }

    /// Lines that differ from what was sent. A guard's: a server that left, or stopped or began to be usable.
    fn changes(&self, table: TableId, target: &BTreeMap<ServerId, f64>, changes: &mut Vec<Change>) {
        let empty = BTreeMap::new();
        let sent = self.tables.get(&table).map_or(&empty, |table| &table.lines);
        // Nobody without a server: the first line of an empty table does not wait for its turn.
        let bare = sent.is_empty();
        let total = target.values().sum::<f64>().max(f64::MIN_POSITIVE);
        let ids: BTreeSet<ServerId> = sent.keys().chain(target.keys()).copied().collect();
        for server in ids {
            let old = sent.get(&server).copied().unwrap_or(0.0);
            let weight = target.get(&server).copied().unwrap_or(0.0);
            let ended = weight <= 0.0 && old > 0.0;
            let cooled =
                self.servers.get(&server).is_some_and(|s| s.state == State::Reduced) && weight < 0.6 * old;
            if ended || (weight > 0.0 && (weight - old).abs() > RESEND_SHARE * old) {
                let guard = ended || cooled || bare;
                changes.push(Change { table, server, weight, guard, size: (weight - old).abs() / total });
            }
        }
    }

    fn order_levels(
        &mut self,
        table: TableId,
        classes: ClassSet,
        orders: &mut Vec<Action>,
        lines_for: &mut BTreeMap<ProxyId, f64>,
    ) {
        let wanted = self.levels(classes);
        for (set, (level, retry)) in &wanted {
            if self.tables.get(&table).and_then(|t| t.levels.get(set)) != Some(&(*level, *retry)) {
                orders.push(Action::Admit {
                    table: Some(table),
                    classes: *set,
                    level: *level,
                    retry: *retry,
                });
                for (user, _) in self.users(table) {
                    *lines_for.entry(*user).or_default() += 1.0;
                }
            }
        }
        self.tables.entry(table).or_default().levels = wanted;
    }

    /// Puts joined proxies on their tables, as many as the channel takes now; the others follow at the next turn.
    fn bind_joined(&mut self, now: Micros, orders: &mut Vec<Action>, lines_for: &mut BTreeMap<ProxyId, f64>) {
        let shut = self.servers.values().filter(|server| server.shut).count() as f64;
        let (shared, home) = (self.classes(false), self.classes(true));
        let most = GUARD_BACKLOG * self.settings.backlog;
        let mut waiting = self.channel.waiting;
        for (id, proxy) in self.proxies.iter_mut().filter(|(_, proxy)| !proxy.bound) {
            let bindings = [(SHARED, shared), (Self::home_table(proxy.zone), home)];
            let used = bindings.iter().filter(|(_, classes)| *classes != ClassSet::default());
            let size =
                |table: &TableId| self.tables.get(table).map_or(0, |t| t.lines.len() + t.levels.len()) as f64;
            let cost: f64 = used.clone().map(|(table, _)| 1.0 + size(table) + shut).sum();
            if waiting > 0.0 && waiting + cost + self.settings.message_head > most {
                continue;
            }
            waiting += cost + self.settings.message_head;
            proxy.bound = true;
            *lines_for.entry(*id).or_default() += cost;
            for (table, classes) in used {
                orders.push(Action::Bind { proxy: *id, table: *table, classes: *classes });
            }
        }
        let _ = now;
    }

    /// Tables of slices in this instance's charge: a line stays while its server is usable, since servers keep
    /// what they know of a slice's keys; one that is not gives way to the server the slice's number picks.
    fn slice_lines(&mut self, now: Micros, orders: &mut Vec<Action>, lines_for: &mut BTreeMap<ProxyId, f64>) {
        let weights = self.weights(now);
        let usable = self.target(now, &weights, None);
        let proxies: BTreeSet<ProxyId> = self.proxies.keys().copied().collect();
        let mark = (self.channel.mark + 1) % u16::MAX;
        for (id, slice) in &mut self.slices {
            let table = self.tables.entry(*id).or_default();
            let gone: Vec<ServerId> =
                table.lines.keys().filter(|s| usable.get(s).is_none_or(|w| *w <= 0.0)).copied().collect();
            if gone.is_empty() && !table.lines.is_empty() {
                continue;
            }
            let Some(next) = rendezvous(*id, &usable) else { continue };
            if self.settings.sole_owner {
                // No effect twice: first nobody owns the slice, until every proxy said so or lost its lease and
                // no write is in hand any more.
                let handover = slice.handover.get_or_insert_with(|| {
                    orders.push(Action::Clear(*id));
                    Handover { waits_for: proxies.clone(), mark, not_before: now + self.settings.lease }
                });
                table.lines.clear();
                if !handover.waits_for.is_empty() || now < handover.not_before + self.settings.settle {
                    for proxy in proxies.iter().filter(|_| handover.mark == mark) {
                        *lines_for.entry(*proxy).or_default() += 1.0;
                    }
                    continue;
                }
                slice.handover = None;
            }
            table.lines.insert(next, 1.0);
            orders.push(Action::Line { table: *id, server: next, weight: 1.0 });
            for server in gone.iter().filter(|server| **server != next) {
                table.lines.remove(server);
                orders.push(Action::Line { table: *id, server: *server, weight: 0.0 });
            }
            for proxy in &proxies {
                *lines_for.entry(*proxy).or_default() += 1.0 + gone.len() as f64;
            }
        }
    }
}

/// Share of failed tries at a server beyond its zones' fleet, failed probes counted as tries. Failures of a
/// server that reports itself saturated count less: they come from load. Danger: under high load a withdrawal
/// saturates the next server, and the fleet swings. A saturated server that also fails keeps a small weight.
fn error_share(server: &Server, zones: &BTreeMap<ZoneId, (f64, f64)>, probes_count: bool) -> f64 {
    let (mut tries, mut failed) = (PRIOR_TRIES, 0.0);
    for (zone, evidence) in &server.heard {
        let usual = zones.get(zone).map_or(0.0, |reference| reference.0);
        tries += evidence.tries;
        failed += (evidence.failed - usual * evidence.tries).max(0.0);
    }
    if probes_count {
        tries += server.probing.failed;
        failed += server.probing.failed;
    }
    failed / tries * (1.0 - server.saturated())
}

/// Mean time of good answers against the median of its zones' fleet.
fn latency_ratio(server: &Server, zones: &BTreeMap<ZoneId, (f64, f64)>) -> f64 {
    let (mut good, mut ratio) = (PRIOR_TRIES, PRIOR_TRIES);
    for (zone, evidence) in &server.heard {
        let usual = zones.get(zone).map_or(0.0, |reference| reference.1);
        if usual > 0.0 {
            good += evidence.good;
            ratio += evidence.cost / usual;
        }
    }
    ratio / good
}

/// One tick of the state machine, by the design's thresholds and dwell counts.
fn step(server: &mut Server, error: f64, latency: f64) {
    let term = error.min(latency);
    let newest = if term < server.score { EWMA_FALL } else { EWMA_RISE };
    server.score += newest * (term - server.score);
    server.below = if server.score < WITHDRAW_BELOW && error < WITHDRAW_BELOW { server.below + 1 } else { 0 };
    server.above = if server.score > RESTORE_ABOVE { server.above + 1 } else { 0 };
    if server.fresh_good >= 1.0 && error > RESTORE_ABOVE {
        let top = if server.state == State::Full { 1.0 } else { NEW_SCORE };
        server.ceiling = (server.ceiling * CEILING_GROWTH).min(top.max(server.ceiling));
    }
    match server.state {
        State::Withdrawn => {
            server.out_ticks += 1;
            if server.out_ticks >= server.return_after && server.probing.failing == 0 {
                server.return_after = (server.return_after * RETURN_BACKOFF).min(RETURN_TICKS_MOST);
                server.heard.clear();
                server.probing.failed = 0.0;
                server.enter(State::Reduced, REDUCE_BELOW, LEAST_SHARE);
            }
        }
        _ if server.below >= WITHDRAW_TICKS => server.enter(State::Withdrawn, server.score, LEAST_SHARE),
        State::Full if server.score < REDUCE_BELOW => {
            server.enter(State::Reduced, server.score, server.ceiling)
        }
        State::Reduced if server.above >= RESTORE_TICKS => {
            server.return_after = RESTORE_TICKS;
            server.enter(State::Full, server.score, server.ceiling);
        }
        State::Full | State::Reduced => {}
    }
}

/// The server a slice falls to: the highest of the weighted scores drawn from both numbers.
fn rendezvous(slice: TableId, usable: &BTreeMap<ServerId, f64>) -> Option<ServerId> {
    let score = |server: &ServerId, weight: f64| {
        let mut x = (u64::from(slice.0) << 32) | u64::from(server.0);
        for _ in 0..2 {
            x = (x ^ (x >> 31)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
            x ^= x >> 29;
        }
        -weight / ((x >> 11) as f64 / (1u64 << 53) as f64).max(f64::MIN_POSITIVE).ln().min(-f64::MIN_POSITIVE)
    };
    let open = usable.iter().filter(|(_, weight)| **weight > 0.0);
    open.max_by(|a, b| score(a.0, *a.1).total_cmp(&score(b.0, *b.1))).map(|(server, _)| *server)
}
