//! The links between the zones of proxies and the zones of servers: their scores, the reference outcomes for the scores
//! of servers, and partitions.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{Action, DecisionEvent, Settings, ZoneId};
use crate::statistics::{clamp_to_unit, median, DecayingMean};

use super::evidence::ZoneEvidence;
use super::health::{ERROR_BUDGET, INITIAL_SCORE, LATENCY_BUDGET, RESTORE_ABOVE};
use super::registry::{zones, ByZone, Registry};
use super::smoothing::smooth_quality;

/// Share of servers that must answer health checks for a failed check to count against a server, and for a partitioned
/// zone to count as reachable again.
const MIN_ANSWERED_SHARE: f64 = 0.7;
/// A zone in which a smaller share of servers answers health checks is partitioned, if enough servers of another zone
/// answer.
const PARTITIONED_ANSWERED_SHARE: f64 = 0.1;
/// Number of attempts or responses from which the outcomes of a server count in medians.
const MIN_SAMPLES: f64 = 1.0;
/// Lower bound on a latency that is used as a divisor, in milliseconds.
const MIN_LATENCY_MS: f64 = 1.0;

/// A link, by the zones that it connects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ZonePair {
    /// Zone of the proxies.
    pub proxies: ZoneId,
    /// Zone of the servers.
    pub servers: ZoneId,
}

/// Reference outcomes over a link, with which the outcomes of servers are compared.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reference {
    /// Share of attempts that fail.
    pub failed_share: f64,
    /// Latency in milliseconds; 0 if unknown.
    pub latency_ms: f64,
}

/// The reference of each link.
pub(super) type References = BTreeMap<ZonePair, Reference>;

/// Median outcomes over a link. If every attempt fails there is no latency, but the failures still count.
#[derive(Clone, Copy, Debug, Default)]
struct Observed {
    failed_share: Option<f64>,
    latency_ms: Option<f64>,
}

impl Observed {
    /// Returns the median over the servers of a zone, or over all, of the outcomes at the proxies of a zone.
    fn median(registry: &Registry, proxy_zone: ZoneId, server_zone: Option<ZoneId>) -> Self {
        let median = |select: fn(&ZoneEvidence) -> DecayingMean| {
            registry.median(server_zone, |server| {
                let evidence = server.evidence.by_proxy_zone.get(&proxy_zone)?;
                let mean = select(evidence);
                (mean.weight >= MIN_SAMPLES).then(|| mean.sum / mean.weight)
            })
        };
        Observed {
            failed_share: median(|evidence| evidence.failures),
            latency_ms: median(|evidence| evidence.latency_ms),
        }
    }

    fn or(self, fallback: Reference) -> Reference {
        Reference {
            failed_share: self.failed_share.unwrap_or(fallback.failed_share),
            latency_ms: self.latency_ms.unwrap_or(fallback.latency_ms),
        }
    }
}

/// The observations of one tick.
#[derive(Debug, Default)]
struct Observations {
    by_pair: BTreeMap<ZonePair, Observed>,
    /// Over all servers, by zone of the proxies.
    fleet: BTreeMap<ZoneId, Observed>,
}

impl Observations {
    fn gather(registry: &Registry, settings: &Settings) -> Self {
        let proxy_zones: BTreeSet<ZoneId> = registry
            .in_service()
            .flat_map(|(_, server)| server.evidence.by_proxy_zone.keys().copied())
            .collect();
        let mut observations = Observations::default();
        for proxies in proxy_zones {
            for servers in zones(settings) {
                let observed = Observed::median(registry, proxies, Some(servers));
                let pair = ZonePair { proxies, servers };
                observations.by_pair.insert(pair, observed);
            }
            let observed = Observed::median(registry, proxies, None);
            observations.fleet.insert(proxies, observed);
        }
        observations
    }

    /// Returns the median outcomes of all servers at the proxies of a zone.
    fn fleet_reference(&self, proxies: ZoneId) -> Reference {
        let observed = self.fleet.get(&proxies).copied().unwrap_or_default();
        observed.or(Reference::default())
    }

    /// Returns the median outcomes within the zone of the servers, or else within the zone of the proxies, for
    /// comparison with those over the link.
    fn local(&self, pair: ZonePair) -> Observed {
        let within = |zone: ZoneId| {
            self.by_pair.get(&ZonePair {
                proxies: zone,
                servers: zone,
            })
        };
        within(pair.servers)
            .or(within(pair.proxies))
            .copied()
            .unwrap_or_default()
    }
}

/// Unanswered health checks in the reachable zones at one tick.
#[derive(Debug)]
pub(super) struct Reachability {
    /// Share of servers that do not answer health checks, by zone.
    pub unanswered: ByZone,
    /// The median of those shares.
    pub median_unanswered: f64,
}

impl Reachability {
    /// Returns whether failed health checks may count against servers. If few are answered anywhere, the fault may be
    /// in this process or its network.
    pub fn is_conclusive(&self) -> bool {
        self.median_unanswered <= 1.0 - MIN_ANSWERED_SHARE
    }
}

/// The links between zones.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneLinks {
    scores: BTreeMap<ZonePair, f64>,
    partitioned: BTreeSet<ZoneId>,
    /// Additional duration of health checks of servers in other zones, in seconds.
    pub extra_check_seconds: f64,
}

impl ZoneLinks {
    /// Returns the score of a link, from 0 to 1.
    pub fn score(&self, pair: ZonePair) -> Option<f64> {
        self.scores.get(&pair).copied()
    }

    /// Returns the number of zones that are partitioned from this instance.
    pub fn partitioned_count(&self) -> usize {
        self.partitioned.len()
    }

    /// Detects zones in which hardly any server answers health checks while most of another zone do. They must not
    /// count as saturated, since load would be shed everywhere.
    pub fn detect_partitions(
        &mut self,
        registry: &Registry,
        actions: &mut Vec<Action>,
    ) -> Reachability {
        let unanswered = unanswered_by_zone(registry);
        let has_responding_zone = unanswered
            .values()
            .any(|share| *share <= 1.0 - MIN_ANSWERED_SHARE);
        let (unreachable, reachable): (ByZone, ByZone) =
            unanswered.iter().partition(|(zone, share)| {
                has_responding_zone && **share > self.max_unanswered(**zone)
            });
        let partitioned: BTreeSet<ZoneId> = unreachable.keys().copied().collect();
        for &zone in partitioned.symmetric_difference(&self.partitioned) {
            actions.push(Action::Emit(DecisionEvent::ZonePartition {
                zone,
                partitioned: partitioned.contains(&zone),
                unanswered_share: unreachable.get(&zone).copied().unwrap_or(0.0),
            }));
        }
        self.partitioned = partitioned;
        let median_unanswered = median(reachable.values().copied()).unwrap_or(0.0);
        Reachability {
            unanswered: reachable,
            median_unanswered,
        }
    }

    /// Updates the scores of all links and returns their references. A fault that affects all servers alike, such as a
    /// stalled proxy or an overload, is part of the reference and counts against none of them.
    pub fn update(&mut self, registry: &mut Registry, settings: &Settings) -> References {
        let observations = Observations::gather(registry, settings);
        let zones_with_degraded_link: BTreeSet<ZoneId> = self
            .scores
            .iter()
            .filter(|(_, score)| **score < RESTORE_ABOVE)
            .map(|(pair, _)| pair.proxies)
            .collect();
        let mut references = References::new();
        for (&pair, observed) in &observations.by_pair {
            let fleet = observations.fleet_reference(pair.proxies);
            let link = observed.or(fleet);
            let local = observations.local(pair).or(fleet);
            let is_partitioned =
                pair.proxies != pair.servers && self.partitioned.contains(&pair.servers);
            let previous = self.scores.get(&pair).copied().unwrap_or(1.0);
            let score = if is_partitioned {
                0.0
            } else {
                next_score(previous, link, local)
            };
            self.scores.insert(pair, score);
            // If a link of these proxies is degraded, the fleet's median would hide faults of servers on the other
            // links.
            let has_own_reference =
                score < RESTORE_ABOVE || zones_with_degraded_link.contains(&pair.proxies);
            references.insert(pair, if has_own_reference { link } else { fleet });
            let is_restored = previous < RESTORE_ABOVE && score >= RESTORE_ABOVE;
            if !is_partitioned && (previous <= 0.0 || is_restored) {
                discard_evidence(registry, pair);
            }
        }
        references
    }

    /// Returns the share of unanswered health checks above which a zone is partitioned. A partitioned zone must answer
    /// more of them to count as reachable again.
    fn max_unanswered(&self, zone: ZoneId) -> f64 {
        let min_answered = if self.partitioned.contains(&zone) {
            MIN_ANSWERED_SHARE
        } else {
            PARTITIONED_ANSWERED_SHARE
        };
        1.0 - min_answered
    }
}

/// Returns the score of a link from the outcomes over it, compared with local outcomes. A slow link must not reduce the
/// weights of healthy servers.
fn next_score(previous: f64, link: Reference, local: Reference) -> f64 {
    let was_usable = previous > 0.0;
    if !was_usable {
        return INITIAL_SCORE;
    }
    let excess_failures = link.failed_share - local.failed_share;
    let errors = 1.0 - clamp_to_unit(excess_failures / ERROR_BUDGET);
    let latency_ratio = link.latency_ms / local.latency_ms.max(MIN_LATENCY_MS);
    let latency = 1.0 - clamp_to_unit(latency_ratio / LATENCY_BUDGET);
    smooth_quality(previous, errors.min(latency))
}

/// Discards the outcomes over a link that has recovered, since attempts that failed on the link are no evidence against
/// the servers.
fn discard_evidence(registry: &mut Registry, pair: ZonePair) {
    for (_, server) in registry.iter_mut() {
        if server.endpoint.zone == pair.servers {
            server.evidence.by_proxy_zone.remove(&pair.proxies);
        }
    }
}

/// Returns the share of servers that do not answer health checks, by zone.
fn unanswered_by_zone(registry: &Registry) -> ByZone {
    let mut by_zone = BTreeMap::<ZoneId, DecayingMean>::new();
    for (_, server) in registry.in_service() {
        let failures = server.health_checks.consecutive_failures.min(1);
        by_zone
            .entry(server.endpoint.zone)
            .or_default()
            .add(f64::from(failures), 1.0);
    }
    by_zone
        .into_iter()
        .map(|(zone, unanswered)| (zone, unanswered.sum / unanswered.weight))
        .collect()
}

/// Returns the additional duration of health checks of servers in other zones compared with those in this zone, in
/// seconds. It compares the fastest check of each server with servers of the same machine kind.
pub(super) fn extra_check_seconds(registry: &Registry, own_zone: ZoneId) -> f64 {
    let timed = || {
        registry
            .in_service()
            .map(|(_, server)| server)
            .filter(|server| server.evidence.fastest_check_seconds > 0.0)
    };
    let mut local_by_kind = BTreeMap::<u32, Vec<f64>>::new();
    for server in timed().filter(|server| server.endpoint.zone == own_zone) {
        local_by_kind
            .entry(server.endpoint.machine_kind)
            .or_default()
            .push(server.evidence.fastest_check_seconds);
    }
    let local_by_kind: BTreeMap<u32, f64> = local_by_kind
        .into_iter()
        .filter_map(|(kind, seconds)| Some((kind, median(seconds.into_iter())?)))
        .collect();
    let extra = timed()
        .filter(|server| server.endpoint.zone != own_zone)
        .filter_map(|server| {
            let local = local_by_kind.get(&server.endpoint.machine_kind)?;
            Some(server.evidence.fastest_check_seconds - local)
        });
    median(extra).unwrap_or(0.0).max(0.0)
}
