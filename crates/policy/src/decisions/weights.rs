//! The weight of each server, before the adjustments for each table, from its size, speed, health and warm-up.

use crate::interface::{HealthState, Micros, Settings};

use super::health::{MIN_WEIGHT_SHARE, RESTORE_ABOVE};
use super::registry::Registry;
use super::server::Server;
use super::speed::relative_speeds;

/// Lower bound on the relative speed; a lower estimate is unreliable.
const MIN_SPEED: f64 = 0.3;
/// Upper bound on the relative speed; a higher estimate is unreliable.
const MAX_SPEED: f64 = 2.5;

/// Updates the weight of each server.
pub(super) fn update_weights(registry: &mut Registry, settings: &Settings, now: Micros) {
    let speeds = relative_speeds(registry, settings);
    for (id, server) in registry.iter_mut() {
        server.warm_up_share = server.warm_up_share_at(now, settings);
        let speed = speeds.get(id).copied().unwrap_or(1.0);
        let speed = speed.clamp(MIN_SPEED, MAX_SPEED);
        let share = health_share(server)
            .min(server.health.weight_ceiling)
            .min(server.warm_up_share);
        server.weight = server.size() * speed * share;
    }
}

/// Returns the share of its weight that a server's health allows.
fn health_share(server: &Server) -> f64 {
    match server.health.state {
        HealthState::Full => 1.0,
        HealthState::Reduced => {
            let by_score = server.health.score / RESTORE_ABOVE;
            let by_speed = 1.0 / server.slowdown;
            by_score.min(by_speed).clamp(MIN_WEIGHT_SHARE, 1.0)
        }
        HealthState::Withdrawn => 0.0,
    }
}
