//! The score of each server at a tick: an error term and a latency term, relative to reference outcomes.

use crate::interface::{Action, DecisionEvent, ScoreTerms, Settings};
use crate::statistics::clamp_to_unit;

use super::evidence::PRIOR_ATTEMPTS;
use super::health::{ERROR_BUDGET, LATENCY_BUDGET};
use super::registry::{zones, ByZone, Registry};
use super::server::Server;
use super::zone_links::{Reachability, References, ZonePair};

/// Failed health checks are ignored in a zone in which a larger share of servers does not answer them.
const MAX_UNANSWERED_SHARE: f64 = 0.5;
/// Factor on the response time ratio of a server whose health checks are timed, since response times include queueing.
const RESPONSE_LATENCY_FACTOR: f64 = 0.5;
/// Exponent of a server's headroom in the weight of its failures: traffic redirected from a saturated server would
/// saturate the next.
const FAILURE_HEADROOM_EXPONENT: i32 = 2;

/// Deviation of the outcomes at a server from the references.
#[derive(Clone, Copy, Debug)]
struct Deviation {
    /// Share of failed attempts in excess of the reference, less its standard error, scaled by the server's headroom.
    excess_failures: f64,
    /// Response time relative to the reference.
    latency_ratio: f64,
}

/// The references for the scores of one tick.
#[derive(Debug)]
pub(super) struct Scoring<'a> {
    references: &'a References,
    reachability: &'a Reachability,
    /// Median slowdown of health checks, by zone.
    baseline_slowdown: ByZone,
    /// Headroom of the fleet, which scales both terms: in a saturated fleet, traffic redirected from one server would
    /// overload the next.
    headroom: f64,
}

impl<'a> Scoring<'a> {
    /// Computes the references of this tick.
    pub fn new(
        registry: &Registry,
        settings: &Settings,
        references: &'a References,
        reachability: &'a Reachability,
    ) -> Self {
        let baseline_slowdown = zones(settings)
            .filter_map(|zone| {
                let slowdown = registry.median(Some(zone), |server| server.evidence.slowdown())?;
                Some((zone, slowdown))
            })
            .collect();
        let saturation =
            registry.median(None, |server| Some(server.evidence.saturation_with_prior()));
        Scoring {
            references,
            reachability,
            baseline_slowdown,
            headroom: 1.0 - saturation.unwrap_or(0.0),
        }
    }

    /// Scores all servers in service and updates their health states.
    pub fn score_servers(&self, registry: &mut Registry, actions: &mut Vec<Action>) {
        for (id, server) in registry.in_service_mut() {
            if !self.counts_failed_checks(server) {
                server.health_checks.discard_failures();
            }
            let terms = self.score(server);
            let previous = server.health.state;
            server
                .health
                .advance(terms, &mut server.evidence, &mut server.health_checks);
            if server.health.state != previous {
                let change = DecisionEvent::HealthChanged {
                    server: *id,
                    zone: server.endpoint.zone,
                    state: server.health.state,
                    score: server.health.score,
                    errors: terms.errors,
                    latency: terms.latency,
                    cause: server.health.change_cause(previous, &server.health_checks),
                };
                actions.push(Action::Emit(change));
            }
        }
    }

    /// Returns whether failed health checks count against the server.
    fn counts_failed_checks(&self, server: &Server) -> bool {
        let unanswered = self.reachability.unanswered.get(&server.endpoint.zone);
        self.reachability.is_conclusive()
            && unanswered.is_some_and(|share| *share <= MAX_UNANSWERED_SHARE)
    }

    fn score(&self, server: &mut Server) -> ScoreTerms {
        let deviation = deviation(server, self.references);
        let errors = 1.0 - self.headroom * clamp_to_unit(deviation.excess_failures / ERROR_BUDGET);
        let check_ratio = self.check_latency_ratio(server);
        server.slowdown = check_ratio.unwrap_or(1.0).max(1.0);
        let latency_ratio = match check_ratio {
            Some(ratio) => ratio.max(deviation.latency_ratio * RESPONSE_LATENCY_FACTOR),
            None => deviation.latency_ratio,
        };
        let latency = 1.0 - self.headroom * clamp_to_unit(latency_ratio / LATENCY_BUDGET);
        ScoreTerms { errors, latency }
    }

    /// Returns the slowdown of the server's health checks relative to its zone, which is independent of its machine
    /// kind.
    fn check_latency_ratio(&self, server: &Server) -> Option<f64> {
        let baseline = self.baseline_slowdown.get(&server.endpoint.zone);
        let slowdown = server.evidence.slowdown()?;
        Some(slowdown / baseline.copied().unwrap_or(1.0))
    }
}

/// Compares the outcomes at a server with the references of the links.
fn deviation(server: &Server, references: &References) -> Deviation {
    let failed_checks = server.health_checks.failed_attempts;
    let mut attempts = PRIOR_ATTEMPTS + failed_checks;
    let mut failed = failed_checks;
    let mut succeeded = PRIOR_ATTEMPTS;
    let mut latency = PRIOR_ATTEMPTS;
    for (&proxies, evidence) in &server.evidence.by_proxy_zone {
        let pair = ZonePair {
            proxies,
            servers: server.endpoint.zone,
        };
        let reference = references.get(&pair).copied().unwrap_or_default();
        let failures = evidence.failures;
        attempts += failures.weight;
        failed += (failures.sum - reference.failed_share * failures.weight).max(0.0);
        if reference.latency_ms > 0.0 {
            succeeded += evidence.latency_ms.weight;
            latency += evidence.latency_ms.sum / reference.latency_ms;
        }
    }
    let failed_share = failed / attempts;
    let standard_error = (failed_share * (1.0 - failed_share) / attempts).sqrt();
    let headroom = 1.0 - server.evidence.saturation_with_prior();
    Deviation {
        excess_failures: (failed_share - standard_error).max(0.0)
            * headroom.powi(FAILURE_HEADROOM_EXPONENT),
        latency_ratio: latency / succeeded,
    }
}
