//! Every decision of chutegrade. Its types are in `interface.rs`, the plain data it keeps in `state.rs`.
//!
//! In order: registry view, evidence, score and state, weights, admission and retries, rule guards, pacing.
//! A server's weight follows its headroom score: the minimum of clamped one-minus-ratio terms, smoothed,
//! with hysteresis and dwell, published as full, reduced or withdrawn weight in few shared tables.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;
use crate::state::*;

mod queries;
mod view;

/// Length of a tick. The design starts at 1 s and leaves it open: half of it halves the time to act.
const TICK: Micros = Micros(500_000);
/// Weight of the newest value in what is smoothed (design: 0.3): while it gets better, and worse.
const EWMA: (f64, f64) = (0.3, 0.5);
/// Withdraw below this score, by the error term alone, after so many ticks (write-up, design).
const WITHDRAW_BELOW: (f64, u32) = (0.20, 2);
/// Reduce below this score (write-up).
const REDUCE_BELOW: f64 = 0.45;
/// Restore above this score (write-up); also the divisor of the reduced weight (design).
const RESTORE_ABOVE: f64 = 0.55;
/// Ticks above before restoring, and ticks out before a return (write-up, design).
const RESTORE_TICKS: u32 = 6;
/// After a return that failed the next waits longer by this factor, up to so many ticks (ejection backoff).
const RETURN_BACKOFF: (u32, u32) = (2, 24);
/// Latency budget, as a multiple of the fleet's median (design: 3, which a merely busy server crosses).
const LATENCY_BUDGET: f64 = 5.0;
/// Answer times count by this factor where probes are timed: they hold waiting too.
const ANSWERS_COUNT: f64 = 0.5;
/// Error budget, as a share of tries (design).
const ERROR_BUDGET: f64 = 0.2;
/// Mean queue, core use, and probe time against the usual, of saturation in part and whole.
const BUSY_QUEUE: (f64, f64) = (1.0, 4.0);
const BUSY_UTIL: (f64, f64) = (0.85, 0.95);
const BUSY_STRETCH: (f64, f64) = (1.1, 2.2);
/// Least weight of a reduced server and weight of a returning one, as a share of the listed (design).
const LEAST_SHARE: f64 = 0.1;
/// Score and ceiling of a new server (design).
const NEW_SCORE: f64 = 0.5;
/// Growth of a returning server's ceiling with each tick of good reports.
const CEILING_GROWTH: f64 = 2.0;
/// A weight is sent again after moving by over this share of the weight last sent (design).
const RESEND_SHARE: f64 = 0.2;
/// Idle reports mixed into a server's saturation: it ends once reports stop.
const PRIOR_BUSY: f64 = 0.5;
/// Half-life of tries and probes as evidence, in seconds: a few report periods, since one holds few tries.
const EVIDENCE_HALF_LIFE: f64 = 1.5;
/// Tries of the fleet's own quality mixed into each server's: thin evidence then says little.
const PRIOR_TRIES: f64 = 4.0;
/// Half-life of what is learned of speeds and traffic, in seconds: reports are noisy.
const SPEED_HALF_LIFE: f64 = 12.0;
/// Bounds of the correction of a listed weight by measured speed: beyond, the report is doubted.
const SPEED_BOUNDS: (f64, f64) = (0.3, 2.5);
/// Timed probes tell as much of a speed as so many load reports, which mix requests of all costs.
const PROBE_WORTH: f64 = 60.0;
/// Power of its speed by which a probe counts: quick ones did not wait.
const QUICK: i32 = 3;
/// Load reports mixed in at the median before a speed is believed.
const PRIOR_REPORTS: f64 = 4.0;
/// Time between probes of a server that answers; a probe that never came back is forgotten after the second.
const PROBE_EVERY: (Micros, Micros) = (Micros(1_000_000), Micros(3_000_000));
/// A failed probe counts as so many failed tries, times the length of the failing row.
const PROBE_TRIES: f64 = 2.0;
/// Servers of a zone that must be heard of before what is common to them is taken for the way there.
const LINK_LEAST: usize = 8;
/// At least this share of the probes must be answered before one that timed out is held against a server. A
/// zone that answers less than the second share is cut off from here, if another answers the first.
const PROBES_ANSWERED: (f64, f64) = (0.7, 0.1);
/// A cold server's part is set for this multiple of what the listed fleet can do: tallies are seconds late.
const COLD_DEMAND: f64 = 4.0;
/// Tries an answer, and saturation, beyond which cold servers stay out where proxies avoid servers.
const COLD_OUT: (f64, f64) = (1.5, 0.3);
/// Demand that cold servers alone must bear, as a multiple of the size of all servers known.
const COLD_ALONE: f64 = 2.0;
/// The fleet's mean saturation from which requests are refused, and the share refused when all is saturated.
const REFUSE: (f64, f64) = (0.2, 0.9);
/// Least admitted share of a class, and a rate in requests a second that no proxy meets.
const ADMIT: (f64, f64) = (0.1, 1e6);
/// Without load reports: mean answer times, as shares of the mean aim, that are late in part, then mostly.
const LATE: (f64, f64) = (0.4, 1.0);
/// Share of a zone's requests that leans to its own servers; the rest goes to all by weight.
const LEAN: f64 = 0.9;
/// Requests that a usual proxy should bring to each server of its table before an idle connection closes.
const REUSE: f64 = 6.0;
/// Least servers of a table that names part of the fleet: a fifth of them failing must leave enough.
const PART_LEAST: f64 = 16.0;
/// A proxy moves to another part once its own bears so many times what the other would with it.
const REDEAL: f64 = 1.3;
/// Median share of failed tries at idle servers from which tables are narrowed, and for how long after.
const NARROW_FROM: (f64, Micros) = (0.3, Micros(30_000_000));
/// To so many proxies, and at least so many servers, each.
const NARROW_TO: (f64, f64) = (2.0, 5.0);
/// Lines beside head, rows and levels: of a whole table (mark, `replace`); of a drain (mark, the server).
const TABLE_LINES: f64 = 2.0;
const DRAIN_LINES: f64 = 2.0;
/// What each kind of order may fill, first ones first: shares of the backlog, of the message limit, and of
/// what the channel sends in the drains' grace, beyond the way. Danger: drains behind a long queue are late.
const DRAINS: Fill = (0.9, 1.0, f64::INFINITY);
const GUARDS: Fill = (0.8, 0.8, 0.5);
const JOINS: Fill = (0.65, 0.8, 0.5);
const LEVELS: Fill = (0.5, 0.8, 0.4);
const ORDINARY: Fill = (0.5, 0.6, 0.25);
/// Least time between ordinary updates, and before a failed subscription is tried again.
const UPDATE_EVERY: Micros = Micros(1_000_000);
/// Share of the channel that the heads of ordinary updates may take.
const HEADS_SHARE: f64 = 0.2;
/// Beyond the longest way there and back, no confirmation for so long means an empty channel.
const CHANNEL_SILENT: Micros = Micros(3_000_000);
/// The channel's pace: its least share of the stated one, and its growth in a tick with none late.
const PACE: (f64, f64) = (0.05, 1.25);
/// One that is gone for so long is forgotten: reports on it come no later. Danger: replaced servers add up.
const FORGET: Micros = Micros(60_000_000);

/// Least time between two changes of advice, and the longest that any stands without being said again.
const ADVICE: (Micros, Micros) = (Micros(5_000_000), Micros(15_000_000));
/// Least share of a table's warm weight that advice must leave: else it is void there.
const ADVICE_LEAVES: f64 = 0.5;

const TICK_TIMER: u32 = 1;

impl Server {
    fn new(entry: Endpoint, warm: bool) -> Self {
        let mut server = Server {
            entry,
            return_after: RESTORE_TICKS,
            terms: ScoreTerms {
                errors: 1.0,
                latency: 1.0,
            },
            ..Server::default()
        };
        let (state, score) = if warm {
            (HealthState::Full, 1.0)
        } else {
            (HealthState::Reduced, NEW_SCORE)
        };
        server.enter(state, score, score);
        server
    }

    fn fade(&mut self, elapsed: f64) {
        let heard = self
            .heard
            .values_mut()
            .flat_map(|evidence| [&mut evidence.failed, &mut evidence.cost]);
        heard
            .chain([&mut self.busy, &mut self.probes_now])
            .for_each(|e| e.fade(elapsed, EVIDENCE_HALF_LIFE));
        self.probing.failed *= 0.5f64.powf(elapsed / EVIDENCE_HALF_LIFE);
        self.speed.fade(elapsed, SPEED_HALF_LIFE);
    }

    fn report(&mut self, load: &LoadReport) {
        let by_use = load.utilization.map(|util| full(util, BUSY_UTIL));
        if let Some(busy) = load.queued.map(|queue| full(queue, BUSY_QUEUE)).or(by_use) {
            self.busy.add(busy, 1.0);
        }
        // A repeated report is no news of a speed; what a server shows while none waits tells more.
        let news = std::mem::replace(&mut self.last_load, *load) != *load;
        if let Some(ms) = load.latency_ms.filter(|ms| news && *ms > 0.0) {
            let weight = 1.0 / (1.0 + load.queued.unwrap_or(0.0));
            self.speed.service.add(ms * weight, weight);
        }
    }

    fn probed(&mut self, end: HealthCheckOutcome, took: Micros, way: f64) {
        if end == HealthCheckOutcome::Passed {
            let speed = 1.0 / (took.secs() - way).max(took.secs() / 4.0).max(1e-6);
            self.speed
                .probes
                .add(speed.powi(QUICK + 1), speed.powi(QUICK));
            // Danger: one that idled, as a new one does, would pass for saturated once it has work.
            let works = self
                .heard
                .values()
                .map(|met| clamp01(met.failed.weight))
                .fold(0.0, f64::max);
            self.speed
                .at_work
                .add(works * speed.powi(QUICK + 1), works * speed.powi(QUICK));
            self.probes_now.add(speed, 1.0);
            self.quickest = if self.quickest > 0.0 {
                self.quickest.min(took.secs())
            } else {
                took.secs()
            };
            self.probing.failing = 0;
        }
        let probing = &mut self.probing;
        let asked = probing.asked.take();
        match end {
            HealthCheckOutcome::Passed
            | HealthCheckOutcome::Rejected
            | HealthCheckOutcome::Inconclusive => {}
            HealthCheckOutcome::Error
            | HealthCheckOutcome::TimedOut
            | HealthCheckOutcome::Unreachable => {
                probing.failing += 1;
                probing.next = asked.map_or(probing.next, |asked| asked + TICK);
                probing.failed += PROBE_TRIES * f64::from(probing.failing);
            }
        }
    }

    /// How far recent reports show the server saturated, from 0 to 1; 0 once reports stop.
    fn saturated(&self) -> f64 {
        self.busy.sum / (self.busy.weight + PRIOR_BUSY)
    }
}

/// One instance of the decisions.
#[derive(Clone, Debug, Default)]
pub struct Policy {
    settings: Settings,
    seed: u64,
    started: bool,
    servers: BTreeMap<ServerId, Server>,
    listed: usize, // servers, ever
    proxies: BTreeMap<ProxyId, Proxy>,
    tables: BTreeMap<TableId, Table>,
    schemes: Vec<Scheme>,
    channel: Channel,
    admission: Admission,
    link_latency: f64,        // what probes to other zones take longer, in seconds
    parts: usize,             // that the fleet is dealt into; 0 until the first proxies joined
    usual_parts: usize,       // while connections do not fail
    narrowed: Option<Micros>, // when tries last failed everywhere while servers idled
    links: BTreeMap<(ZoneId, ZoneId), f64>, // scores of the ways, by zone of proxies and of servers
    cut: BTreeSet<ZoneId>,    // zones that do not answer here while another does
    cold_out: bool,           // cold servers are held out of tables
    advised: Advised,         // what plug-ins advise
    apart: ClassSet,          // classes with tables of their own, by advice
    limits: Limits,           // what limits on service decide
    ticked: Micros,
    updated: Option<Micros>,
    subscribe_at: Option<Micros>,
    slices: BTreeMap<TableId, Option<Handover>>,
}

impl Policy {
    /// An instance that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let channel = Channel {
            pace: settings.channel_lines_per_second,
            ..Channel::default()
        };
        let came = vec![Fading::default(); settings.classes.len()];
        let admission = Admission {
            came,
            ..Admission::default()
        };
        Policy {
            settings,
            seed,
            channel,
            admission,
            ..Policy::default()
        }
    }

    /// Takes in what happened by `now` and returns the orders to give.
    pub fn handle_events(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        let mut out = Vec::new();
        if !std::mem::replace(&mut self.started, true) {
            self.ticked = now;
            out.extend(
                self.settings
                    .endpoints_on_request
                    .then_some(Action::SubscribeEndpoints(true)),
            );
            // Instances that tick in step would act in step on the same reports.
            let first = Micros(TICK.0 / 2 + (self.seed % (TICK.0 as u64 / 2)) as i64);
            out.push(Action::SetTimer {
                id: TICK_TIMER,
                delay: first,
            });
        }
        for event in events {
            self.take(now, event);
        }
        let ticks = events.contains(&Event::Timer(TICK_TIMER));
        if ticks {
            out.push(Action::SetTimer {
                id: TICK_TIMER,
                delay: TICK,
            });
            self.tick(now, &mut out);
        }
        // Probe answers and tallies wait for the tick. Danger: work for each makes a large fleet late.
        let news = |e: &Event| {
            matches!(
                e,
                Event::EndpointList(..) | Event::ProxyJoined { .. } | Event::SliceOwnership { .. }
            )
        };
        let frees = |e: &Event| {
            matches!(
                e,
                Event::Acknowledged { .. } | Event::ProxyLeft(_) | Event::StreamClosed(_)
            )
        };
        let freed = |e: &Event| self.settings.exclusive_ownership && frees(e);
        if ticks || events.iter().any(|event| news(event) || freed(event)) {
            self.probe(now, &mut out);
            self.publish(now, &mut out);
        }
        out
    }

    // ---- Registry view and evidence ----

    fn take(&mut self, now: Micros, event: &Event) {
        match event {
            Event::EndpointList(EndpointUpdateKind::Unavailable, _) => {
                self.subscribe_at = Some(now + UPDATE_EVERY)
            }
            Event::EndpointList(kind, entries) => self.members(now, *kind, entries),
            Event::ProxyJoined {
                proxy,
                zone,
                request_rate: rate,
                has_previous_table: brought,
            } => {
                let came = Fading {
                    sum: *rate,
                    weight: 1.0,
                };
                let joined = Proxy {
                    zone: *zone,
                    brought: *brought,
                    came,
                    ..Proxy::default()
                };
                self.proxies.insert(*proxy, joined);
            }
            Event::ProxyLeft(proxy) | Event::StreamClosed(proxy) => {
                self.proxies.remove(proxy);
                if *event == Event::ProxyLeft(*proxy) {
                    self.channel.lost(*proxy);
                }
                let waiting = self.slices.values_mut().flatten();
                for handover in waiting.filter(|handover| handover.waits_for.contains(proxy)) {
                    handover.waits_for.remove(proxy);
                    handover.not_before = handover.not_before.max(now + self.settings.lease);
                }
            }
            Event::ServerOutcomes {
                zone,
                server,
                attempts: tries,
                failed,
                mean_latency_ms: mean_ms,
                load,
                ..
            } => {
                if let Some(server) = self.servers.get_mut(server) {
                    let good = (tries - failed).max(0.0);
                    let seen = server.heard.entry(*zone).or_default();
                    seen.failed.add(failed.min(*tries), *tries);
                    seen.cost.add(good * mean_ms, good);
                    server.fresh_good += good;
                    server.report(load);
                }
            }
            Event::HealthChecked {
                server,
                outcome: end,
                elapsed: took,
                load,
            } => {
                if let Some(server) = self.servers.get_mut(server) {
                    let way = if server.entry.zone == self.settings.zone {
                        0.0
                    } else {
                        self.link_latency
                    };
                    server.probed(*end, *took, way);
                    server.report(load);
                }
            }
            Event::ProxyDemand {
                class,
                arrivals: came,
                ..
            }
            | Event::SliceDemand {
                class,
                arrivals: came,
                ..
            } => {
                let classes = self.admission.came.len() as f64;
                if let Event::ProxyDemand { proxy, period, .. } = event {
                    self.proxies
                        .entry(*proxy)
                        .and_modify(|p| p.came.add(*came, period.secs() / classes));
                }
                self.admission
                    .came
                    .get_mut(usize::from(class.0))
                    .into_iter()
                    .for_each(|c| c.add(*came, 1.0));
            }
            Event::Acknowledged {
                proxy,
                sequence: mark,
                elapsed: took,
            } => {
                self.channel.confirmed(now, *proxy, *mark, *took);
                for handover in self
                    .slices
                    .values_mut()
                    .flatten()
                    .filter(|h| h.mark == *mark)
                {
                    handover.waits_for.remove(proxy);
                }
            }
            Event::SliceOwnership {
                table,
                granted: given,
            } => {
                self.tables.insert(*table, Table::default());
                self.slices.remove(table);
                self.slices.extend(given.then_some((*table, None)));
            }
            Event::PublishedWeight {
                table,
                server,
                weight,
            } => {
                self.tables
                    .entry(*table)
                    .or_default()
                    .lines
                    .insert(*server, *weight);
            }
            Event::Advice(advice) => self.take_advice(now, advice),
            Event::Limits(limits) => self.limits = limits.clone(),
            Event::PeerMessage { .. } | Event::Timer(_) => {}
        }
    }

    /// Takes advice, no oftener than it may change. Danger: a rule that swings fills the channel and starves
    /// the lines of servers that fail. In a saturated fleet all are needed, and none is left out or spared.
    fn take_advice(&mut self, now: Micros, advice: &Advice) {
        if self
            .advised
            .taken
            .is_some_and(|taken| now - taken < ADVICE.0)
        {
            return;
        }
        self.advised = Advised {
            until: advice.expires_at.min(now + ADVICE.1),
            ..Advised::of(advice, now)
        };
        self.apart = advice.separate_tables;
        if self.admission.strain >= REFUSE.0 {
            self.advised.factors.clear();
            self.advised.excluded.clear();
        }
    }

    fn members(&mut self, now: Micros, kind: EndpointUpdateKind, entries: &[Endpoint]) {
        let first = self.servers.is_empty();
        if kind != EndpointUpdateKind::Delta {
            let listed: BTreeSet<ServerId> = entries.iter().map(|entry| entry.server).collect();
            for (_, server) in self
                .servers
                .iter_mut()
                .filter(|(id, _)| !listed.contains(*id))
            {
                server.entry.lifecycle = Lifecycle::Removed;
            }
        }
        // Dealt in turn by zone and kind: each part of the fleet gets its share of both.
        let mut ordered: Vec<&Endpoint> = entries.iter().collect();
        ordered.sort_by_key(|entry| (entry.zone, entry.machine_kind, entry.server));
        for entry in ordered {
            let cold = entry
                .started_at
                .is_some_and(|started| now - started < self.settings.slow_start_period);
            match self.servers.get_mut(&entry.server) {
                // A process that started anew is another server in all that matters: cold, with no past.
                Some(known) if entry.started_at > known.entry.started_at => {
                    let (shut, ordinal, told) = (known.shut, known.ordinal, known.told);
                    *known = Server {
                        shut,
                        ordinal,
                        told,
                        ..Server::new(*entry, !cold)
                    };
                }
                Some(known) => known.entry = *entry,
                None => {
                    // One that was forgotten may be shut out by name, or is listed only now that it leaves.
                    let shut = !first && entry.lifecycle == Lifecycle::InService;
                    let new = Server {
                        shut,
                        ordinal: self.listed,
                        ..Server::new(*entry, first && !cold)
                    };
                    self.servers.insert(entry.server, new);
                    self.listed += 1;
                }
            }
        }
    }

    // ---- Score and state ----

    fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        let elapsed = (now - self.ticked).secs().max(0.0);
        self.ticked = now;
        if self.advised.until <= now {
            self.advised = Advised {
                taken: self.advised.taken,
                ..Advised::default()
            };
        }
        // Danger: limits whose maker stands still would refuse for good.
        if self.limits.expires_at <= now || self.limits.expires_at > now + ADVICE.1 {
            self.limits = Limits::default();
        }
        out.extend(
            self.subscribe_at
                .take_if(|at| *at <= now)
                .map(|_| Action::SubscribeEndpoints(true)),
        );
        self.link_latency = link_latency(self.open().map(|(_, server)| server), self.settings.zone);
        self.pace(elapsed);
        // Failed probes blame no server while few are answered: the own process or the way there may fail.
        let mute = unanswered_probes(self.open().map(|(_, server)| server));
        // Danger: a zone cut off from here would pass for a jam, and all would be refused for it.
        let answers = mute.values().any(|share| *share <= 1.0 - PROBES_ANSWERED.0);
        let most = |zone| {
            1.0 - if self.cut.contains(zone) {
                PROBES_ANSWERED.0
            } else {
                PROBES_ANSWERED.1
            }
        };
        let (cut, mute): (Zones, Zones) = mute
            .iter()
            .partition(|(zone, share)| answers && **share > most(*zone));
        let shut: BTreeSet<ZoneId> = cut.keys().copied().collect();
        for &zone in shut.symmetric_difference(&self.cut) {
            let mute = cut.get(&zone).copied().unwrap_or(0.0);
            out.push(Action::Emit(DecisionEvent::ZonePartition {
                zone,
                partitioned: shut.contains(&zone),
                unanswered_share: mute,
            }));
        }
        self.cut = shut;
        let median_mute = quantile(mute.values().copied(), 0.5).unwrap_or(0.0);
        let probes_count = median_mute <= 1.0 - PROBES_ANSWERED.0;
        let zones = self.references();
        let failing = zones
            .values()
            .map(|zone| zone.0)
            .reduce(f64::min)
            .unwrap_or(0.0);
        let narrow = probes_count && failing > NARROW_FROM.0 && self.admission.strain < REFUSE.0;
        self.narrowed = if narrow { Some(now) } else { self.narrowed };
        let usual: Zones = self
            .zones()
            .filter_map(|zone| Some((zone, self.median(Some(zone), Server::slowed)?)))
            .collect();
        // Terms count by what the others can take: work moved off a server of a full fleet jams the next.
        let spare = 1.0
            - self
                .median(None, |server| Some(server.saturated()))
                .unwrap_or(0.0);
        for (id, server) in self.servers.iter_mut().filter(|(_, server)| server.open()) {
            let (zone, at) = (server.entry.zone, |zones: &Zones, zone| {
                zones.get(zone).copied()
            });
            let answered = probes_count && at(&mute, &zone).is_some_and(|mute| mute <= 0.5);
            // What failed meanwhile blames nobody later: once the way is back, answers come one by one.
            if !answered {
                (server.probing.failed, server.probing.failing) =
                    (0.0, server.probing.failing.min(1));
            }
            let (failing, answers) = met(server, &zones);
            let error = 1.0 - spare * clamp01(failing / ERROR_BUDGET);
            // Probe times now show a slowed machine whatever its model, answer times what probes do not meet.
            let probed = server
                .slowed()
                .map(|now| now / at(&usual, &zone).unwrap_or(1.0));
            server.slower = probed.unwrap_or(1.0).max(1.0); // What it can do has shrunk by as much.
            let ratio = probed.map_or(answers, |probed| probed.max(answers * ANSWERS_COUNT));
            let latency = 1.0 - spare * clamp01(ratio / LATENCY_BUDGET);
            let before = server.state;
            step(server, error, latency);
            server.terms = ScoreTerms {
                errors: error,
                latency,
            };
            if server.state != before {
                let (state, score, cause) =
                    (server.state, server.score, view::cause(server, before));
                let note = DecisionEvent::HealthChanged {
                    server: *id,
                    zone,
                    state,
                    score,
                    errors: error,
                    latency,
                    cause,
                };
                out.push(Action::Emit(note));
            }
            server.fade(elapsed);
        }
        self.proxies
            .values_mut()
            .for_each(|proxy| proxy.came.fade(elapsed, SPEED_HALF_LIFE));
        self.admit(elapsed, &zones, median_mute, out);
    }

    /// By zone of the proxies and of the servers: the usual share of failed tries and time. What strikes all
    /// alike, as a stalled proxy or an overload, blames none. A way between two zones has a score like a
    /// server's, by what its servers lack against what is met there or at home. Danger: a slow link costs
    /// healthy servers their weight. A zone that probes show cut off has a way without score at once.
    fn references(&mut self) -> References {
        let seen = |f: Fading| (f.weight >= 1.0).then(|| f.sum / f.weight);
        let of = |from: ZoneId, f: fn(&Evidence) -> Fading| {
            move |s: &Server| seen(f(s.heard.get(&from)?))
        };
        let view = |from, to| {
            (
                self.median(to, of(from, |e| e.failed)),
                self.median(to, of(from, |e| e.cost)),
            )
        };
        let heard: BTreeSet<ZoneId> = self
            .open()
            .flat_map(|(_, s)| s.heard.keys().copied())
            .collect();
        let pairs = heard
            .iter()
            .flat_map(|from| self.zones().map(move |to| (*from, to)));
        let seen: BTreeMap<_, _> = pairs.map(|way| (way, view(way.0, Some(way.1)))).collect();
        let fleet: BTreeMap<_, _> = heard
            .iter()
            .map(|from| (*from, view(*from, None)))
            .collect();
        let mut usual = References::new();
        let bad = self
            .links
            .iter()
            .filter(|(_, score)| **score < RESTORE_ABOVE);
        let beside: BTreeSet<ZoneId> = bad.map(|((from, _), _)| *from).collect();
        for ((from, to), met) in seen.iter() {
            let all = with_fallback(fleet.get(from).copied().unwrap_or_default(), (0.0, 0.0));
            let there = seen
                .get(&(*to, *to))
                .or(seen.get(&(*from, *from)))
                .copied()
                .unwrap_or_default();
            let (met, there) = (with_fallback(*met, all), with_fallback(there, all));
            let error = 1.0 - clamp01((met.0 - there.0) / ERROR_BUDGET);
            let latency = 1.0 - clamp01(met.1 / there.1.max(1.0) / LATENCY_BUDGET);
            let score = self.links.entry((*from, *to)).or_insert(1.0);
            let (was, cut) = (*score, from != to && self.cut.contains(to));
            let now = if was > 0.0 {
                smooth(was, error.min(latency))
            } else {
                NEW_SCORE
            };
            *score = if cut { 0.0 } else { now };
            // Danger: beside a bad way, what the fleet's median fails passes for usual everywhere.
            let apart = *score < RESTORE_ABOVE || beside.contains(from);
            usual.insert((*from, *to), if apart { met } else { all });
            // What failed on the way blames neither it nor a server once it is back.
            let back = !cut && (was <= 0.0 || (was < RESTORE_ABOVE && *score >= RESTORE_ABOVE));
            let there = self
                .servers
                .values_mut()
                .filter(|s| back && s.entry.zone == *to);
            there.for_each(|server| server.heard.retain(|zone, _| zone != from));
        }
        usual
    }

    /// Danger: while nobody has work for the servers, what probes take passes for a usual speed that is none.
    fn probe(&mut self, now: Micros, out: &mut Vec<Action>) {
        let wanted = self.settings.health_checks_allowed && !self.proxies.is_empty();
        for (id, server) in self
            .servers
            .iter_mut()
            .filter(|(_, server)| wanted && server.open())
        {
            let probing = &mut server.probing;
            if probing
                .asked
                .is_none_or(|asked| now - asked >= PROBE_EVERY.1)
                && probing.next <= now
            {
                (probing.asked, probing.next) = (Some(now), now + PROBE_EVERY.0);
                out.push(Action::HealthCheck(*id));
            }
        }
    }

    // ---- Weights ----

    /// How fast each server is for its listed weight, by the fleet, or its kind where that holds the speed.
    fn speeds(&self) -> Lines {
        let gauge = |Speed {
                         probes, service, ..
                     }: &Speed| {
            let served = || service.mean().map(|ms| (1.0 / ms, service.weight));
            probes
                .mean()
                .map(|speed| (speed, PROBE_WORTH))
                .or_else(served)
        };
        let nominal = self.settings.listed_weight == ListedWeight::RegisteredCapacity;
        let group = |server: &Server| {
            if nominal {
                server.entry.machine_kind
            } else {
                0
            }
        };
        let mut speeds = Lines::new();
        for of in self
            .open()
            .map(|(_, server)| group(server))
            .collect::<BTreeSet<u32>>()
        {
            let read = self.open().filter(|(_, s)| group(s) == of);
            let read = read.filter_map(|(id, server)| Some((*id, gauge(&server.speed)?)));
            let median = quantile(read.clone().map(|(_, (speed, _))| speed), 0.5).unwrap_or(1.0);
            let known = |worth: f64| worth / (worth + PRIOR_REPORTS);
            speeds
                .extend(read.map(|(id, (speed, worth))| (id, (speed / median).powf(known(worth)))));
        }
        speeds
    }

    /// The weight each server should have.
    fn weigh(&mut self, now: Micros) {
        let speeds = self.speeds();
        for (id, server) in &mut self.servers {
            server.warmth = server.warmth(now, &self.settings);
            let speed = speeds
                .get(id)
                .copied()
                .unwrap_or(1.0)
                .clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1);
            let share = match server.state {
                HealthState::Full => 1.0,
                HealthState::Reduced => (server.score / RESTORE_ABOVE)
                    .min(1.0 / server.slower)
                    .clamp(LEAST_SHARE, 1.0),
                HealthState::Withdrawn => 0.0,
            };
            server.weight = server.size() * speed * share.min(server.ceiling).min(server.warmth);
        }
    }

    /// The lines a table should have.
    fn target(
        &self,
        scheme: Scheme,
        parts: &Parts,
        lean: &Zones,
        cold: (f64, bool),
    ) -> (Lines, bool) {
        let Scheme {
            zone,
            home_only,
            part,
            ..
        } = scheme;
        let home = |server: &Server| !home_only || zone == server.entry.zone;
        let of = |part| {
            parts
                .get(part)
                .into_iter()
                .flatten()
                .filter_map(|id| self.servers.get_key_value(id))
        };
        // Nobody without a server: a part that lost all its warm ones borrows those of the other parts.
        let bare =
            !of(part).any(|(_, server)| server.open() && home(server) && server.warmth >= 1.0);
        let within = of(if bare { self.parts } else { part }).filter(|(_, server)| home(server));
        let lean = |server: &Server| match lean.get(&server.entry.zone).filter(|_| !home_only) {
            Some(_) if self.alone() && server.warmth < 1.0 && zone != server.entry.zone => 0.0,
            lean => lean.copied().unwrap_or(1.0),
        };
        let here = within.clone().filter(|(_, server)| server.open());
        let mut lines: Lines = here
            .map(|(id, server)| (*id, server.weight * lean(server)))
            .collect();
        let known = within.map(|(_, server)| server.size()).sum();
        let listed = of(part)
            .filter(|(_, server)| server.open())
            .map(|(_, server)| server.size())
            .sum();
        let void = self.advise(scheme, &mut lines);
        self.spare_the_cold(known, listed, cold, &mut lines);
        (lines, void)
    }

    /// Advice on a table's servers: void where it would leave too little of the warm ones' weight.
    fn advise(&self, scheme: Scheme, lines: &mut Lines) -> bool {
        if self.advised.factors.is_empty() && self.advised.excluded.is_empty() {
            return false;
        }
        let class = (0..self.settings.classes.len())
            .find(|k| scheme.apart.has(*k) && scheme.classes.has(*k));
        let class = class.map(|k| ClassId(k as u8));
        let share = |id: &ServerId| self.advised.share(*id, scheme.zone, class, self.ticked);
        let advised: Lines = lines
            .iter()
            .map(|(id, weight)| (*id, weight * share(id)))
            .collect();
        let warm = |id: &ServerId| {
            self.servers
                .get(id)
                .is_some_and(|server| server.warmth >= 1.0)
        };
        let sum = |of: &Lines| {
            of.iter()
                .filter(|(id, _)| warm(id))
                .map(|line| line.1)
                .sum::<f64>()
        };
        let void = sum(&advised) < ADVICE_LEAVES * sum(lines);
        if !void {
            *lines = advised;
        }
        void
    }

    fn alone(&self) -> bool {
        self.parts > 1 && leans(&self.settings)
    }

    /// By zone of the servers: the factor on their weights in a zone's table, by the way there. Where it
    /// leans, what its own can do stays at home, the rest goes where others have more than comes to them.
    fn lean(&self, zone: ZoneId, can: &Zones, comes: &Zones) -> Zones {
        let link = |to: ZoneId| {
            let score = self
                .links
                .get(&(zone, to))
                .map_or(1.0, |score| score / RESTORE_ABOVE);
            score.clamp(LEAST_SHARE * LEAST_SHARE, 1.0)
        };
        if !leans(&self.settings) {
            return self.zones().map(|to| (to, link(to))).collect();
        }
        let comes = |zone: &ZoneId| comes.get(zone).copied().unwrap_or(0.0);
        let stays = can
            .get(&zone)
            .map_or(0.0, |can| can / comes(&zone).max(1e-6))
            .min(1.0);
        let spare = |zone: &ZoneId| {
            can.get(zone)
                .map_or(0.0, |can| (can - comes(zone)).max(0.0))
        };
        let all_spare = can.keys().map(spare).sum::<f64>();
        let lean = if self.alone() { 1.0 } else { LEAN };
        let own = can.get(&zone).map_or(0.0, |can| can.max(0.01));
        let part = |other: &ZoneId, can: f64| {
            let away = (1.0 - stays) * spare(other) / all_spare.max(1e-6);
            let leaning = if *other == zone {
                stays
            } else {
                away * own / can.max(1e-6)
            };
            (lean * leaning + (1.0 - lean) * own) * link(*other)
        };
        can.iter()
            .map(|(other, can)| (*other, part(other, *can)))
            .collect()
    }

    /// The demand, in fleets, that a cold server's part must bear. And whether cold ones stay out: proxies
    /// that avoid failing servers send all to a cold one, once the others fail.
    fn cold_demand(&self) -> (f64, bool) {
        let seen = self
            .open()
            .flat_map(|(_, s)| s.heard.values().map(|e| (e.failed.weight, e.cost.weight)));
        let (tries, good) = seen.fold((0.0, 0.0), |sum, seen| (sum.0 + seen.0, sum.1 + seen.1));
        let beyond = ((tries + PRIOR_TRIES) / (good + PRIOR_TRIES)).max(1.0);
        let out = self.settings.proxy_ejection_threshold > 0
            && (beyond > COLD_OUT.0 || self.admission.strain > COLD_OUT.1 || tries <= 0.0);
        (COLD_DEMAND * beyond, out)
    }

    /// No cold server pushed over: its part stays under what makes it fall, with all proxies together.
    fn spare_the_cold(
        &self,
        known: f64,
        listed: f64,
        (demand, out): (f64, bool),
        lines: &mut Lines,
    ) {
        let of = |id: &ServerId| {
            self.servers
                .get(id)
                .map_or((1.0, 0.0), |s| (s.warmth, s.size()))
        };
        let sum = |lines: &Lines| {
            lines
                .iter()
                .filter(|(id, _)| of(id).0 >= 1.0)
                .map(|line| line.1)
                .sum::<f64>()
        };
        // Nobody without a server: warm ones, though withdrawn, are picked before cold ones alone.
        let none = sum(lines) <= 0.0;
        for (id, weight) in lines.iter_mut().filter(|(id, _)| none && of(id).0 >= 1.0) {
            *weight = LEAST_SHARE * of(id).1;
        }
        let warm = sum(lines);
        // Cold servers alone: nobody is sent to them until they can surely bear the work of all ever known.
        let bear: f64 = lines.keys().map(|id| of(id).0 * of(id).1).sum();
        if warm <= 0.0 && bear * self.settings.overload_multiple < COLD_ALONE * known {
            lines.values_mut().for_each(|weight| *weight = 0.0);
        }
        let part =
            |id: &ServerId| self.settings.overload_multiple / demand * of(id).0 * of(id).1 / listed;
        let cold = |id: &ServerId| warm > 0.0 && of(id).0 < 1.0;
        let whole = warm
            / (1.0
                - lines
                    .keys()
                    .filter(|id| cold(id))
                    .map(part)
                    .sum::<f64>()
                    .min(0.9));
        for (id, weight) in lines.iter_mut().filter(|(id, _)| cold(id)) {
            *weight = if out {
                0.0
            } else {
                weight.min(whole * part(id))
            };
        }
    }

    // ---- Admission and retries ----

    /// The fleet's headroom decides what share is let in: by reported saturation, else by tries that fail or
    /// are late. Danger: clients come again, and a fleet once full stays full. No level outlasts its cause.
    fn admit(&mut self, elapsed: f64, zones: &References, mute: f64, out: &mut Vec<Action>) {
        // Each counts by the work it takes: cold ones that idle would hide that all the others are full.
        let queued = |s: &Server| (s.busy.weight > 0.1).then(|| s.busy.sum / s.busy.weight);
        let busy = self.mean_over_work(queued);
        let aims: f64 = self
            .settings
            .classes
            .iter()
            .map(|class| class.latency_objective.secs() * 1000.0)
            .sum();
        let aim = (aims / self.settings.classes.len().max(1) as f64).max(1.0);
        let failing =
            |zone: &(f64, f64)| clamp01(zone.0 / ERROR_BUDGET).max(full(zone.1 / aim, LATE));
        // A queue is told only when every answer is late: probe times and time-outs show what waits before.
        // Danger: the own trouble of some, which have less weight for it, would pass for a common jam.
        let well = |s: &Server| {
            s.loaded()
                .filter(|_| s.state == HealthState::Full && s.speed.service.sum > 0.0)
        };
        let shared = full(self.median_over_work(well).unwrap_or(1.0), BUSY_STRETCH);
        let failing = quantile(zones.values().map(failing), 0.5).unwrap_or(0.0);
        let term = busy.map_or(failing, |busy| busy.max(shared).max(mute));
        let admission = &mut self.admission;
        admission
            .came
            .iter_mut()
            .for_each(|came| came.fade(elapsed, 2.0 * EVIDENCE_HALF_LIFE));
        admission.strain = -smooth(-admission.strain, -term);
        let refused = REFUSE.1 * clamp01((admission.strain - REFUSE.0) / (1.0 - REFUSE.0));
        let refused = self
            .limits
            .min_shed_share
            .map_or(refused, |limit| limit.max(refused).min(REFUSE.1));
        let step = |refused: f64| (10.0 * refused).round();
        if step(refused) != step(admission.refused)
            && self.settings.admission_unit != AdmissionUnit::Unsupported
        {
            let strain = admission.strain;
            out.push(Action::Emit(DecisionEvent::Saturation {
                shed_share: refused,
                saturation: strain,
                queue_term: busy.unwrap_or(0.0),
                latency_term: shared,
                unanswered_term: mute,
            }));
        }
        admission.refused = refused;
    }

    /// How much of the work a server takes: the capacity it is sure to have, none while it is held out.
    fn work_taken(&self, server: &Server, warm_ones: bool) -> f64 {
        let held_out = self.cold_out && warm_ones && server.warmth < 1.0;
        server.warmth * if held_out { 0.0 } else { server.size() }
    }

    /// Each class's level: the least worth for its time goes first; rates follow the busiest proxy's demand.
    fn class_levels(&self, refused: f64) -> Vec<(f64, Retry)> {
        let classes = &self.settings.classes;
        let rates = self.settings.admission_unit == AdmissionUnit::RequestsPerSecond;
        let mut levels = vec![if rates { ADMIT.1 } else { 1.0 }; classes.len()];
        let came = self.admission.came.iter().map(|came| came.sum + 1.0);
        let all: f64 = came.clone().sum();
        let busiest = self
            .proxies
            .values()
            .filter_map(|proxy| proxy.came.mean())
            .fold(0.0, f64::max);
        let mut order: Vec<(usize, f64)> = came.enumerate().collect();
        let value = |k: usize| {
            classes.get(k).map_or(0.0, |class| {
                class.priority_weight / class.latency_objective.secs().max(0.001)
            })
        };
        order.sort_by(|a, b| value(a.0).total_cmp(&value(b.0)));
        let mut refuse = refused * all;
        for (k, came) in order
            .into_iter()
            .filter(|_| self.settings.admission_unit != AdmissionUnit::Unsupported)
        {
            let refused = refuse.min(came * (1.0 - ADMIT.0));
            refuse -= refused;
            let share = (20.0 * (1.0 - refused / came)).round() / 20.0;
            let cap = self
                .advised
                .caps
                .get(&k)
                .copied()
                .unwrap_or(1.0)
                .min(self.limits.admitted_share(k));
            let share = share.min(cap.max(ADMIT.0));
            if let Some(level) = levels.get_mut(k).filter(|_| share < 1.0) {
                *level = if rates {
                    (share * busiest * came / all).max(ADMIT.0).ceil()
                } else {
                    share
                };
            }
        }
        levels
            .into_iter()
            .enumerate()
            .map(|(k, level)| (level, self.again(k)))
            .collect()
    }

    /// No effect twice: a second try only after proof that the first did not run; or, where it surely changes
    /// nothing (keys hold twice as long as clients wait: clocks are off), if limits ask and there is room.
    fn again(&self, class: usize) -> Retry {
        let safe = |of: &Class| {
            of.idempotency
                .is_idempotent_within(of.deadline + of.deadline)
        };
        let safe =
            self.settings.classes.get(class).is_some_and(safe) && self.admission.strain < REFUSE.0;
        let most = if safe {
            Retry::Once
        } else {
            Retry::IfNotExecuted
        };
        let most = if self.advised.never.has(class) {
            Retry::Never
        } else {
            most
        };
        self.limits
            .again(class)
            .unwrap_or(Retry::IfNotExecuted)
            .min(most)
    }

    // ---- Rule guards and pacing ----

    fn publish(&mut self, now: Micros, out: &mut Vec<Action>) {
        // Short queue: what is not confirmed waits, however slow the channel; after long silence none does.
        let (way, least) = (
            self.settings.max_delivery_delay,
            PACE.0 * self.settings.channel_lines_per_second,
        );
        let largest = Micros::from_ms(1000.0 * self.channel.largest() / least);
        self.channel
            .forget(now - way - way - CHANNEL_SILENT - largest);
        let past = now - self.settings.message_window;
        self.proxies
            .values_mut()
            .for_each(|proxy| proxy.written.retain(|at| *at >= past));
        let mut orders = Orders::new(
            now,
            self.channel.waiting(),
            self.settings.message_overhead + 1.0,
        );
        self.shut_the_leaving(now, &mut orders);
        self.forget_the_gone(now, &mut orders);
        self.weigh(now);
        if self.settings.slices > 0 {
            self.slice_lines(now, &mut orders);
        } else {
            self.split(now, &mut orders);
            self.table_lines(now, &mut orders);
            self.bind_joined(&mut orders);
        }
        if !orders.lines.is_empty() {
            let mark = self.channel.next_mark();
            orders.actions.push(Action::RequestAcknowledgement {
                sequence: mark,
                all_proxies: false,
            });
            for id in orders.lines.keys() {
                self.proxies
                    .entry(*id)
                    .and_modify(|proxy| proxy.written.push_back(now));
            }
            self.channel.send(now, mark, orders.lines);
        }
        out.append(&mut orders.actions);
    }

    /// How fast the channel sends now: confirmations tell while the quickest come late, else it has room.
    fn pace(&mut self, elapsed: f64) {
        let gone = std::mem::take(&mut self.channel.gone) / elapsed.max(1e-3);
        let (stated, pace) = (self.settings.channel_lines_per_second, self.channel.pace);
        let late = self.settings.max_delivery_delay + TICK;
        let seen = |took| {
            if took > late {
                smooth(pace, gone)
            } else {
                pace * PACE.1
            }
        };
        self.channel.pace = self
            .channel
            .quickest
            .take()
            .map_or(pace, seen)
            .clamp(PACE.0 * stated, stated);
    }

    /// The one account of the channel, which every order asks: whether so many lines for each of these fit
    /// what their kind may fill, with all that waits. Drains, guards and joins go when nothing waits at all.
    fn fits(&self, orders: &Orders, to: &[ProxyId], lines: f64, kind: Fill) -> bool {
        let urgent = kind.0 > LEVELS.0;
        let pace = if urgent {
            self.settings.channel_lines_per_second
        } else {
            self.channel.pace
        };
        let grace = self.settings.drain_grace.secs().max(1e-3);
        let ahead = pace * (self.settings.max_delivery_delay.secs() + kind.2 * grace);
        let waits = orders.waiting + orders.cost(to, lines);
        let room = waits <= kind.0 * self.settings.channel_backlog && orders.waiting <= ahead;
        let room =
            (room || (urgent && orders.waiting <= 0.0)) && self.messages_used(to.iter()) <= kind.1;
        to.is_empty() || room
    }

    /// Deals the fleet into parts, each with its own tables, where a usual proxy keeps no connections to all.
    /// Danger: each request pays for one, each change for lines. Narrower while tries fail at idle servers.
    fn split(&mut self, now: Micros, orders: &mut Orders) {
        let (joined, servers) = (self.proxies.len() as f64, self.open().count() as f64);
        let usual = self.settings.proxies as f64 / (2 * self.settings.instances.max(1)) as f64;
        if joined < 1.0 || (self.parts == 0 && joined < usual && self.ticked != now) {
            return;
        }
        let by_zone =
            leans(&self.settings) || self.settings.classes.iter().any(|class| class.zone_local);
        let sets = if by_zone {
            self.settings.zones.max(1) as f64
        } else {
            1.0
        };
        let (proxies, servers) = (self.settings.proxies as f64 / sets, servers / sets);
        if self.usual_parts == 0 {
            let rate = self.proxies.values().map(Proxy::rate).sum::<f64>() / joined;
            let rows = (self.rows_in_grace() / (sets + f64::from(by_zone))).max(NARROW_TO.1);
            let kept = (rate * self.settings.idle_timeout.secs() / REUSE).max(PART_LEAST);
            // Whole rows where the grace is what binds: half a row more at all proxies would be late.
            let least = (servers / rows.floor()).ceil().max(1.0);
            self.usual_parts = (servers / kept).round().max(least) as usize;
        }
        let narrow = (proxies / NARROW_TO.0).min(servers / NARROW_TO.1) as usize;
        let narrowed = self.narrowed.is_some_and(|at| now - at < NARROW_FROM.1);
        let parts = if narrowed {
            narrow.max(self.usual_parts)
        } else {
            self.usual_parts
        };
        if parts != self.parts || self.schemes.first().map_or(self.apart, |s| s.apart) != self.apart
        {
            // Tables under new numbers, which cost nothing while nobody uses them.
            let first = self
                .schemes
                .last()
                .map_or(0, |scheme| (scheme.table.0 + 1) % (u16::MAX / 2));
            self.schemes = lay_out_tables(&self.settings, parts, first, self.apart);
            self.parts = parts;
            orders.actions.push(Action::Emit(DecisionEvent::Resharded {
                shards: parts,
                narrowed,
            }));
            self.proxies
                .values_mut()
                .for_each(|proxy| proxy.bound = false);
        }
    }

    /// Rows of tables for each proxy of the fleet, if all join here at once and no table may be late: what is
    /// gone stays in old tables while new ones wait, and drains, which go first, hold up the last ones.
    fn rows_in_grace(&self) -> f64 {
        let settings = &self.settings;
        let time = (settings.drain_grace - settings.max_delivery_delay).secs();
        let lines = settings.channel_lines_per_second * time / settings.proxies.max(1) as f64;
        let first_table = settings.message_overhead + TABLE_LINES + settings.classes.len() as f64;
        let drain = settings.message_overhead + DRAIN_LINES;
        // A grace shorter than the way itself can't be met by any table: none is narrowed for it.
        if time > 0.0 {
            lines - first_table - drain
        } else {
            f64::INFINITY
        }
    }

    /// Drains kept: a server that drains or is gone is shut out of all tables at once, whatever they name.
    /// One that returns stays out until no proxy can hold its old weight. Danger: it is cold.
    fn shut_the_leaving(&mut self, now: Micros, orders: &mut Orders) {
        let kept = |table: &TableId| self.schemes.iter().any(|scheme| scheme.table == *table);
        if self.parts > 0 && self.proxies.values().all(|proxy| proxy.bound) {
            let unused = self.tables.keys().filter(|table| !kept(table));
            orders
                .actions
                .extend(unused.map(|table| Action::ClearTable(*table)));
            self.tables.retain(|table, _| kept(table));
        }
        for server in self.servers.values_mut() {
            let Endpoint {
                server: id,
                zone,
                lifecycle: life,
                ..
            } = server.entry;
            if std::mem::replace(&mut server.told, life) != life {
                server.since = now;
                orders
                    .actions
                    .push(Action::Emit(DecisionEvent::LifecycleChanged {
                        server: id,
                        zone,
                        lifecycle: life,
                    }));
            }
        }
        let leaves = |server: &Server| server.entry.lifecycle != Lifecycle::InService;
        let turned = self
            .servers
            .iter()
            .filter(|(_, server)| server.shut != leaves(server));
        for (id, out) in turned
            .map(|(id, server)| (*id, leaves(server)))
            .collect::<Vec<_>>()
        {
            let names = |table: &TableId| {
                self.tables
                    .get(table)
                    .is_some_and(|t| t.lines.contains_key(&id))
            };
            let holders = self
                .proxies
                .iter()
                .filter(|(_, proxy)| proxy.tables.iter().any(names));
            let holders: Vec<ProxyId> = holders.map(|(id, _)| *id).collect();
            let fits = if out {
                self.fits(orders, &holders, 1.0, DRAINS)
            } else {
                !self.tables.keys().any(names)
            };
            if fits {
                self.servers
                    .entry(id)
                    .and_modify(|server| server.shut = out);
                orders.give(
                    Action::SetSuspended {
                        server: id,
                        suspended: out,
                    },
                    &holders,
                    1.0,
                );
            }
        }
    }

    /// What is known of one that is long gone goes, once no table names it.
    fn forget_the_gone(&mut self, now: Micros, orders: &mut Orders) {
        let long = |s: &Server| s.shut && s.told == Lifecycle::Removed && now - s.since >= FORGET;
        let named = |id: &ServerId| {
            self.tables
                .values()
                .any(|table| table.lines.contains_key(id))
        };
        let gone = self
            .servers
            .iter()
            .filter(|(id, server)| long(server) && !named(id));
        for id in gone.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.servers.remove(&id);
            orders.actions.push(Action::ForgetServer(id));
        }
    }

    fn table_lines(&mut self, now: Micros, orders: &mut Orders) {
        let (mut changes, mut tables, whole) = (Vec::new(), BTreeMap::new(), Zones::new());
        let (demand, out) = self.cold_demand();
        // Those who bring more than a part can bear are refused first, where limits say so.
        let refused = self.admission.refused;
        let all = ShedShares {
            ordinary: refused,
            heavy: refused,
        };
        let refused = self
            .limits
            .shed_shares
            .filter(|_| self.parts > 1)
            .unwrap_or(all);
        let levels = (
            self.class_levels(refused.ordinary),
            self.class_levels(refused.heavy),
        );
        if std::mem::replace(&mut self.cold_out, out) != out {
            orders
                .actions
                .push(Action::Emit(DecisionEvent::WarmingWithheld {
                    withheld: out,
                    attempts_per_answer: demand / COLD_DEMAND,
                }));
        }
        let comes = shares(
            self.proxies
                .values()
                .map(|proxy| (proxy.zone, proxy.rate())),
        );
        let can = shares(
            self.open()
                .map(|(_, server)| (server.entry.zone, server.weight)),
        );
        let lean = |zone: ZoneId| (zone, self.lean(zone, &can, &comes));
        let lean: BTreeMap<ZoneId, Zones> = self.zones().map(lean).collect();
        let by_part = servers_by_part(&self.servers, self.parts);
        let on = self.bound_proxies();
        for scheme in self.schemes.clone() {
            let lean = lean.get(&scheme.zone).unwrap_or(&whole);
            // A cold server that only its own zone's tables name meets no more than that zone's traffic.
            let traffic = comes.get(&scheme.zone).copied().filter(|_| self.alone());
            let cold = (
                demand * traffic.unwrap_or(1.0).max(0.5 / comes.len().max(1) as f64),
                out,
            );
            let users = on
                .get(&(scheme.zone, scheme.part))
                .map_or(&[][..], Vec::as_slice);
            let (target, void) = self.target(scheme, &by_part, lean, cold);
            let rates = users
                .iter()
                .filter_map(|id| Some(self.proxies.get(id)?.rate()));
            let rate = rates.sum::<f64>() / users.len().max(1) as f64;
            self.changes(scheme, &target, rate, &mut changes);
            let known = self.tables.entry(scheme.table).or_default();
            if std::mem::replace(&mut known.void, void) != void {
                orders
                    .actions
                    .push(Action::Emit(DecisionEvent::AdviceOverruled {
                        table: scheme.table,
                        overruled: void,
                    }));
            }
            let levels = if scheme.part == self.parts {
                &levels.1
            } else {
                &levels.0
            };
            for (k, &(level, retry)) in levels
                .iter()
                .enumerate()
                .filter(|(k, _)| scheme.classes.has(*k))
            {
                let known = self
                    .tables
                    .get(&scheme.table)
                    .and_then(|table| table.levels.get(&k));
                if known != Some(&(level, retry)) && self.fits(orders, users, 1.0, LEVELS) {
                    self.tables
                        .entry(scheme.table)
                        .or_default()
                        .levels
                        .insert(k, (level, retry));
                    let (table, classes) = (Some(scheme.table), ClassSet::default().with(k));
                    let order = Action::SetAdmission {
                        table,
                        classes,
                        level,
                        retry,
                    };
                    orders.give(order, users, 1.0);
                }
            }
            tables.insert(scheme.table, users);
        }
        changes.sort_by(|a, b| b.guard.cmp(&a.guard).then(b.size.total_cmp(&a.size)));
        // Messages have heads: all proxies' may take no more than a part of the channel.
        let heads = self.proxies.len() as f64 * (self.settings.message_overhead + 1.0);
        let every = UPDATE_EVERY
            .secs()
            .max(heads / HEADS_SHARE / self.channel.pace);
        let due = self.updated.is_none_or(|at| (now - at).secs() >= every);
        for Change {
            scheme: Scheme { table, .. },
            server,
            weight,
            guard,
            lines,
            ..
        } in changes
        {
            let Some(&users) = tables.get(&table) else {
                continue;
            };
            if !users.is_empty() {
                // What rides on a message already due costs none: else refusals and guards use up the limit.
                let rides = users.iter().all(|user| orders.lines.contains_key(user));
                let ordinary = (due || rides) && self.fits(orders, users, lines, ORDINARY);
                if !(ordinary || (guard && self.fits(orders, users, lines, GUARDS))) {
                    continue;
                }
                self.updated = if guard || rides {
                    self.updated
                } else {
                    Some(now)
                };
            }
            let known = self.tables.entry(table).or_default();
            known.lines.insert(server, weight);
            known.lines.retain(|_, weight| *weight > 0.0);
            orders.give(
                Action::SetWeight {
                    table,
                    server,
                    weight,
                },
                users,
                lines,
            );
        }
    }

    /// Lines that differ from what was sent.
    fn changes(&self, scheme: Scheme, target: &Lines, rate: f64, changes: &mut Vec<Change>) {
        let sent = self
            .tables
            .get(&scheme.table)
            .map(|table| table.lines.clone())
            .unwrap_or_default();
        let total = target.values().sum::<f64>().max(f64::MIN_POSITIVE);
        // Only parts of a table count: what moves all alike would fill the channel and change nothing.
        let warm = |id: &ServerId| {
            self.servers
                .get(id)
                .is_some_and(|server| server.warmth >= 1.0)
        };
        let moved = target
            .iter()
            .filter(|(id, weight)| **weight > 0.0 && warm(id));
        let scale = quantile(
            moved.filter_map(|(id, weight)| Some(sent.get(id)? / weight)),
            0.5,
        )
        .unwrap_or(1.0);
        for server in sent
            .keys()
            .chain(target.keys())
            .copied()
            .collect::<BTreeSet<ServerId>>()
        {
            let old = sent.get(&server).copied().unwrap_or(0.0);
            let weight = target.get(&server).copied().unwrap_or(0.0) * scale;
            let known = self.servers.get(&server);
            // Only the rules' lines have precedence: else failing servers crowd out those that recovered.
            let guard = sent.is_empty()
                || (weight < old && known.is_some_and(|server| server.warmth < 1.0));
            if (weight - old).abs() > RESEND_SHARE * old {
                // Traffic moved for each line; one not named yet counts whole: else a grown fleet idles.
                let home = |server: &&Server| scheme.zone == server.entry.zone;
                let whole = known
                    .filter(|_| old <= 0.0)
                    .filter(home)
                    .map_or(0.0, Server::size)
                    * scale;
                let moved = (weight - old).abs().max(whole);
                let size = if known.is_some_and(Server::open) {
                    rate * moved / (total * scale)
                } else {
                    0.0
                };
                // One that is named anew may have to be let back. Danger: uncounted lines.
                let lines = if old <= 0.0 { 2.0 } else { 1.0 };
                changes.push(Change {
                    scheme,
                    server,
                    weight,
                    guard,
                    size,
                    lines,
                });
            }
        }
    }

    /// Puts proxies, busiest first, on the parts with most room, as the channel takes them, or moves them.
    fn bind_joined(&mut self, orders: &mut Orders) {
        let set = |zone: ZoneId| {
            if leans(&self.settings) {
                zone
            } else {
                ZoneId::default()
            }
        };
        let mut room = self.weight_and_traffic(set);
        let brings = shares(
            self.proxies
                .values()
                .map(|proxy| (set(proxy.zone), proxy.rate())),
        );
        let all = self.proxies.values().map(Proxy::rate).sum::<f64>();
        // With a table goes what was seen to leave here, with a further one all. Danger: uncounted lines.
        let left = |id: &&ServerId| self.servers.get(id).is_some_and(Server::left);
        let told = |t: &Table, all: bool| t.lines.keys().filter(|id| all || left(id)).count();
        let size = |t: &Table, all| 1 + t.lines.len() + t.levels.len() + told(t, all);
        // Those on tables in ticks alone. Danger: while a fleet joins all would be looked at each time.
        let some = self
            .proxies
            .iter()
            .filter(|(_, p)| !p.bound || self.ticked == orders.at);
        let some = some
            .filter(|_| self.parts > 0)
            .map(|(id, p)| (*id, (p.holds(), p.bound), p.rate()));
        let mut proxies: Vec<_> = some.collect();
        proxies.sort_by(|a, b| a.1.cmp(&b.1).then(b.2.total_cmp(&a.2)));
        for (id, (holds, bound), rate) in proxies {
            let Some(proxy) = self.proxies.get(&id) else {
                continue;
            };
            let zone = set(proxy.zone);
            let loaded =
                |(weight, comes): &(f64, f64), more: f64| (comes + more) / weight.max(1e-6);
            let parts = room.range((zone, 0)..=(zone, usize::MAX));
            let freest = parts.min_by(|a, b| loaded(a.1, rate).total_cmp(&loaded(b.1, rate)));
            let part = freest.map_or((0, 0.0), |((_, part), room)| (*part, loaded(room, rate)));
            // One that brings more than a part can bear gets all parts, or its part's servers jam for good.
            let most = if proxy.part == self.parts { 0.5 } else { 1.0 }
                * brings.get(&zone).unwrap_or(&1.0);
            let split = self.parts > 1 && self.parts == self.usual_parts;
            let heavy = split && rate * self.parts as f64 > most * all;
            let (part, freest) = if heavy { (self.parts, 0.0) } else { part };
            let own = room.entry((zone, proxy.part)).or_default();
            if bound && (part == proxy.part || loaded(own, 0.0) < REDEAL * freest) {
                // Another instance may have shut out what never left here: that waits for room. Danger: joins
                // twice as long, and the tables that a proxy brought name what is gone until then.
                let named = proxy
                    .tables
                    .iter()
                    .filter_map(|table| self.tables.get(table));
                let lines = named.map(|table| table.lines.len()).sum::<usize>() as f64;
                if proxy.brought && self.fits(orders, &[id], lines, ORDINARY) {
                    orders.give(Action::Reconcile(id), &[id], lines);
                    self.proxies
                        .entry(id)
                        .and_modify(|proxy| proxy.brought = false);
                }
                continue;
            }
            let tables = self
                .schemes
                .iter()
                .filter(|scheme| scheme.serves(proxy.zone, part));
            let cost = tables
                .clone()
                .filter_map(|scheme| self.tables.get(&scheme.table));
            let cost = cost.map(|table| size(table, holds) as f64).sum::<f64>();
            if !self.fits(orders, &[id], cost, if holds { ORDINARY } else { JOINS }) {
                break;
            }
            own.1 -= if bound { rate } else { 0.0 };
            room.entry((zone, part)).or_default().1 += rate;
            orders.add(id, cost);
            let bind = |s: &Scheme| Action::AssignTable {
                proxy: id,
                table: s.table,
                classes: s.classes,
            };
            orders.actions.extend(tables.clone().map(bind));
            let tables = tables.map(|scheme| scheme.table).collect();
            self.proxies
                .entry(id)
                .and_modify(|p| (p.part, p.bound, p.tables) = (part, true, tables));
        }
    }

    /// Tables of slices in charge: a line stays while its server is usable, since it knows the slice's keys.
    fn slice_lines(&mut self, now: Micros, orders: &mut Orders) {
        let (all, whole) = (servers_by_part(&self.servers, 0), Zones::new());
        let usable = self
            .target(Scheme::default(), &all, &whole, self.cold_demand())
            .0;
        let mark = self.channel.next_mark();
        let every: Vec<ProxyId> = self.proxies.keys().copied().collect();
        for id in self.slices.keys().copied().collect::<Vec<_>>() {
            let fits = self.fits(orders, &every, 2.0, DRAINS);
            let Some(slice) = self.slices.get_mut(&id).filter(|_| fits) else {
                continue;
            };
            let table = self.tables.entry(id).or_default();
            let gone = |server: &ServerId| usable.get(server).is_none_or(|weight| *weight <= 0.0);
            let ending: Vec<ServerId> = table.lines.keys().copied().filter(gone).collect();
            let Some(next) = rendezvous(id, &usable) else {
                continue;
            };
            if ending.is_empty() && !table.lines.is_empty() {
                continue;
            }
            if self.settings.exclusive_ownership {
                // No effect twice: nobody owns the slice until no proxy can write to the former owner.
                let not_before = now + self.settings.lease;
                let handover = slice.get_or_insert_with(|| {
                    orders.give(Action::ClearTable(id), &every, 1.0);
                    Handover {
                        waits_for: every.iter().copied().collect(),
                        mark,
                        not_before,
                    }
                });
                table.lines.clear();
                if !handover.waits_for.is_empty()
                    || now < handover.not_before + self.settings.write_settle_time
                {
                    continue;
                }
                *slice = None;
            }
            table.lines.insert(next, 1.0);
            orders.give(
                Action::SetWeight {
                    table: id,
                    server: next,
                    weight: 1.0,
                },
                &every,
                1.0,
            );
            for server in ending
                .into_iter()
                .filter(|_| !self.settings.exclusive_ownership)
            {
                table.lines.remove(&server);
                orders.give(
                    Action::SetWeight {
                        table: id,
                        server,
                        weight: 0.0,
                    },
                    &every,
                    1.0,
                );
            }
        }
    }
}

/// Zone tables: where crossing zones has a price and no other instance's proxies are unseen.
fn leans(settings: &Settings) -> bool {
    settings.zone_crossing_cost > 0.0 && settings.instances == 1
}

/// What proxies met at a server: the share of failed tries beyond the usual, less its standard error, and the
/// time of good answers against the usual. A saturated server's failures count less: the next would fill.
fn met(server: &Server, zones: &References) -> (f64, f64) {
    let probed = server.probing.failed;
    let (mut tries, mut failed, mut good, mut took) =
        (PRIOR_TRIES + probed, probed, PRIOR_TRIES, PRIOR_TRIES);
    for (zone, evidence) in &server.heard {
        let (usual, median) = zones
            .get(&(*zone, server.entry.zone))
            .copied()
            .unwrap_or_default();
        tries += evidence.failed.weight;
        failed += (evidence.failed.sum - usual * evidence.failed.weight).max(0.0);
        if median > 0.0 {
            good += evidence.cost.weight;
            took += evidence.cost.sum / median;
        }
    }
    let share = failed / tries;
    let share = (share - (share * (1.0 - share) / tries).sqrt()).max(0.0);
    (share * (1.0 - server.saturated()).powi(2), took / good)
}

/// Faster down than up: a failing server costs more each tick than one wrongly eased.
fn smooth(value: f64, newest: f64) -> f64 {
    value + if newest < value { EWMA.1 } else { EWMA.0 } * (newest - value)
}

/// One tick of the state machine, by the design's thresholds and dwell counts.
fn step(server: &mut Server, error: f64, other: f64) {
    let term = error.min(other);
    server.score = smooth(server.score, term);
    let fails = server.score.max(error) < WITHDRAW_BELOW.0;
    server.below = if fails { server.below + 1 } else { 0 };
    server.above = if server.score > RESTORE_ABOVE {
        server.above + 1
    } else {
        0
    };
    if server.fresh_good >= 1.0 && error > RESTORE_ABOVE {
        let top = if server.state == HealthState::Full {
            1.0
        } else {
            NEW_SCORE
        };
        server.ceiling = (server.ceiling * CEILING_GROWTH).min(top.max(server.ceiling));
        server.fresh_good = 0.0; // Kept until it counts: a small weight brings less than one answer a tick.
    }
    match server.state {
        HealthState::Withdrawn => {
            server.out_ticks += 1;
            if server.out_ticks >= server.return_after && server.probing.failing == 0 {
                server.return_after =
                    (server.return_after * RETURN_BACKOFF.0).min(RETURN_BACKOFF.1);
                server.heard.clear();
                server.probing.failed = 0.0;
                server.enter(HealthState::Reduced, REDUCE_BELOW, LEAST_SHARE);
            }
        }
        _ if server.below >= WITHDRAW_BELOW.1 => {
            server.enter(HealthState::Withdrawn, server.score, LEAST_SHARE)
        }
        HealthState::Full if server.score < REDUCE_BELOW => {
            server.enter(HealthState::Reduced, server.score, server.ceiling)
        }
        HealthState::Reduced if server.above >= RESTORE_TICKS => {
            server.return_after = RESTORE_TICKS;
            server.enter(HealthState::Full, server.score, server.ceiling);
        }
        HealthState::Full | HealthState::Reduced => {}
    }
}

/// The server a slice falls to: the highest of the hashes of both numbers.
fn rendezvous(slice: TableId, usable: &Lines) -> Option<ServerId> {
    let hash = |server: &ServerId| {
        let x =
            ((u64::from(slice.0) << 32) | u64::from(server.0)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        (x ^ (x >> 29)).wrapping_mul(0x9E37_79B9_7F4A_7C15)
    };
    usable
        .iter()
        .filter(|(_, weight)| **weight > 0.0)
        .map(|(server, _)| *server)
        .max_by_key(hash)
}
