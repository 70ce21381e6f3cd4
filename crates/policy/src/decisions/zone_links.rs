//! The links between the zones of proxies and the zones of servers: their scores, their usual outcomes, which scoring
//! compares servers with, and partitions.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{Action, DecisionEvent, Settings, ZoneId};
use crate::statistics::{clamp_to_unit, median, DecayingMean};

use super::evidence::ZoneEvidence;
use super::health::{ERROR_BUDGET, INITIAL_SCORE, LATENCY_BUDGET, RESTORE_ABOVE};
use super::registry::{zones, ByZone, Registry};
use super::smoothing::smooth_quality;

/// Share of the health checks that must be answered before one that failed counts against a server.
const MIN_ANSWERED_SHARE: f64 = 0.7;
/// A zone that answers a smaller share is partitioned, if another zone answers enough of them.
const PARTITIONED_ANSWERED_SHARE: f64 = 0.1;
/// Attempts or responses before a server has a value that is compared.
const MIN_SAMPLES: f64 = 1.0;
/// Lower bound on a latency that another one is divided by, in milliseconds.
const MIN_LATENCY_MS: f64 = 1.0;

/// A pair of zones, which is a link between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ZonePair {
    /// Zone of the proxies.
    pub proxies: ZoneId,
    /// Zone of the servers.
    pub servers: ZoneId,
}

/// Usual outcomes over a link, which a server's are compared with.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reference {
    /// Share of attempts that fail.
    pub failed_share: f64,
    /// Latency in milliseconds; 0 if unknown.
    pub latency_ms: f64,
}

/// The reference of each link.
pub(super) type References = BTreeMap<ZonePair, Reference>;

/// Median outcomes over a link. Where every attempt fails there is no latency, and the failures count all the same.
#[derive(Clone, Copy, Debug, Default)]
struct Observed {
    failed_share: Option<f64>,
    latency_ms: Option<f64>,
}

impl Observed {
    /// The median over the servers of a zone, or over all, as the proxies of a zone see them.
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

    /// What the proxies of a zone see of the fleet.
    fn fleet_reference(&self, proxies: ZoneId) -> Reference {
        let observed = self.fleet.get(&proxies).copied().unwrap_or_default();
        observed.or(Reference::default())
    }

    /// What is seen within the servers' own zone, or else within the proxies' zone: outcomes without the link.
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

/// What the health checks of one tick show of the reachable zones.
#[derive(Debug)]
pub(super) struct Reachability {
    /// By zone, the share of its servers that leave health checks unanswered.
    pub unanswered: ByZone,
    /// The median of those shares.
    pub median_unanswered: f64,
}

impl Reachability {
    /// Whether failed health checks may count against servers. While few are answered anywhere, this process or its
    /// network may be at fault.
    pub fn is_conclusive(&self) -> bool {
        self.median_unanswered <= 1.0 - MIN_ANSWERED_SHARE
    }
}

/// The links between zones.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneLinks {
    scores: BTreeMap<ZonePair, f64>,
    partitioned: BTreeSet<ZoneId>,
    /// How much longer health checks take to servers of other zones, in seconds.
    pub extra_check_seconds: f64,
}

impl ZoneLinks {
    /// The score of the link between the zones of proxies and servers, from 0 to 1.
    pub fn score(&self, pair: ZonePair) -> Option<f64> {
        self.scores.get(&pair).copied()
    }

    /// Number of zones that are partitioned from this instance.
    pub fn partitioned_count(&self) -> usize {
        self.partitioned.len()
    }

    /// Finds the zones that answer no health checks while another does. They must not pass for saturated, or all
    /// requests would be shed for it.
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

    /// Updates the scores of all links and returns their references. A fault that strikes all servers alike, as a
    /// stalled proxy or an overload does, is in the reference and counts against none of them.
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
            // Beside a degraded link the fleet's median would hide what the servers of other links lack.
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

    /// A partitioned zone must answer more before it counts as reachable again.
    fn max_unanswered(&self, zone: ZoneId) -> f64 {
        let min_answered = if self.partitioned.contains(&zone) {
            MIN_ANSWERED_SHARE
        } else {
            PARTITIONED_ANSWERED_SHARE
        };
        1.0 - min_answered
    }
}

/// The score of a link by what its servers lack over it, against the same servers without it. A slow link must not cost
/// healthy servers their weight.
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

/// Attempts that failed on a link say nothing about its servers once it has recovered.
fn discard_evidence(registry: &mut Registry, pair: ZonePair) {
    for (_, server) in registry.iter_mut() {
        if server.endpoint.zone == pair.servers {
            server.evidence.by_proxy_zone.remove(&pair.proxies);
        }
    }
}

/// By zone, the share of its servers that leave health checks unanswered.
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

/// How much longer health checks take to servers of other zones than to those of this one, in seconds, by the fastest
/// check of each server, against servers of the same machine kind.
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
