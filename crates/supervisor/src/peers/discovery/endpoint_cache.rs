//! Caches the endpoint list that was last delivered, and applies deliveries to it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use chutegrade_engine::{EndpointUpdateKind, Lifecycle, NamedEndpoint, Report};

use crate::protocol::endpoint_delivery::{CachedEndpointList, EndpointDelivery};

/// If delivered versions stay older than the cached one for this long, the version count has restarted: no agent lags more.
const STALE_TIMEOUT: Duration = Duration::from_secs(6);
/// Number of consecutive deliveries with unreadable endpoints of which the last one is accepted without them; the earlier
/// ones are requested again. The backoff in between takes 0.75 s in total, and changes have to arrive within 6 s.
const MAX_UNREADABLE_DELIVERIES: u32 = 5;

/// The endpoint list that was last delivered.
pub struct EndpointCache {
    version: Option<u64>,
    /// Whether the version is that of an earlier run, and discovery has not delivered or confirmed any in this one.
    is_unconfirmed: bool,
    /// Last delivered state of each listed server.
    endpoints: HashMap<String, NamedEndpoint>,
    /// Time of the first of the consecutive deliveries that are older than `version`.
    stale_since: Option<Instant>,
    /// Number of consecutive deliveries with unreadable endpoints.
    unreadable_deliveries: u32,
}

/// The result of applying a delivery.
pub struct AppliedDelivery {
    /// The update to report to the engine.
    pub report: Report,
    /// Whether the delivery has to be requested again because some of its endpoints could not be decoded.
    pub needs_repeat: bool,
}

impl EndpointCache {
    /// Creates a cache from the endpoint list of an earlier run, if there is one.
    pub fn new(cached: Option<CachedEndpointList>) -> Self {
        let version = cached.as_ref().map(|list| list.version);
        let endpoints = cached.map(|list| list.endpoints).unwrap_or_default();
        EndpointCache {
            version,
            is_unconfirmed: true,
            endpoints: endpoints
                .into_iter()
                .map(|endpoint| (endpoint.name.clone(), endpoint))
                .collect(),
            stale_since: None,
            unreadable_deliveries: 0,
        }
    }

    /// Returns the version of the list; `None` if the complete list has to be requested.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns the version from which to watch changes; `None` if the complete list has to be requested. It is one below that
    /// of an earlier run: a watch from the current version is silent until something changes, while one from before it is
    /// answered at once, and what it repeats changes nothing.
    pub fn watch_version(&self) -> Option<u64> {
        let overlap = u64::from(self.is_unconfirmed);
        self.version.map(|version| version.saturating_sub(overlap))
    }

    /// Records that discovery has confirmed the version of the list.
    pub fn confirm_version(&mut self) {
        self.is_unconfirmed = false;
    }

    /// Resets the time since when deliveries are stale; called when another agent is used.
    pub fn reset_staleness(&mut self) {
        self.stale_since = None;
    }

    /// Returns whether the last delivery was older than the cached version.
    pub fn is_stale(&self) -> bool {
        self.stale_since.is_some()
    }

    /// Returns whether a delivery has to be ignored because it is older than the cached version. An agent that lags behind,
    /// perhaps one at a new address, could report a draining server as in service. Once the version count has restarted, a
    /// snapshot is not ignored.
    pub fn should_ignore(&mut self, delivery: &EndpointDelivery) -> bool {
        let version = delivery.version;
        let Some(known_version) = self.version.filter(|known| version < *known) else {
            self.stale_since = None;
            return false;
        };
        if self.stale_since.is_none() {
            tracing::warn!(
                index = version,
                known = known_version,
                "discovery is behind its earlier deliveries"
            );
            self.stale_since = Some(Instant::now());
        }
        let has_restarted = self.clear_version_if_restarted();
        !has_restarted || !delivery.is_snapshot
    }

    /// Clears the version if discovery has been stale for `STALE_TIMEOUT`, since the version count has then restarted; returns
    /// whether it has. The complete list is requested next, as changes alone would lack those that were ignored as stale.
    pub fn clear_version_if_restarted(&mut self) -> bool {
        let has_restarted = self
            .stale_since
            .is_some_and(|since| since.elapsed() >= STALE_TIMEOUT);
        if has_restarted {
            self.stale_since = None;
            self.version = None;
        }
        has_restarted
    }

    /// Applies a delivery that is not stale. The version advances only if the delivery need not be repeated: a watch from the
    /// newer version would never deliver the state of an unreadable endpoint, which may be draining.
    pub fn apply(&mut self, delivery: EndpointDelivery) -> AppliedDelivery {
        let version = delivery.version;
        if delivery.unreadable > 0 {
            self.unreadable_deliveries += 1;
        } else {
            self.unreadable_deliveries = 0;
        }
        let report = self.merge(delivery);
        let needs_repeat = (1..MAX_UNREADABLE_DELIVERIES).contains(&self.unreadable_deliveries);
        if !needs_repeat {
            self.unreadable_deliveries = 0;
            self.version = Some(version);
            self.confirm_version();
        }
        AppliedDelivery {
            report,
            needs_repeat,
        }
    }

    /// Merges a delivery into the cached endpoints. In a snapshot, an endpoint of which only the name can be decoded keeps its
    /// cached state; if not all names can be decoded, the snapshot is applied as a delta, so that it removes no server.
    fn merge(&mut self, delivery: EndpointDelivery) -> Report {
        let names_are_complete = delivery.unreadable_names.len() == delivery.unreadable;
        let replaces_list = delivery.is_complete() || (delivery.is_snapshot && names_are_complete);
        let mut endpoints = delivery.endpoints;
        if replaces_list {
            let unchanged = delivery
                .unreadable_names
                .iter()
                .filter_map(|name| self.endpoints.get(name).cloned());
            endpoints.extend(unchanged);
            self.endpoints.clear();
        }
        for endpoint in &endpoints {
            self.update_endpoint(endpoint);
        }
        let kind = if replaces_list {
            EndpointUpdateKind::Snapshot
        } else {
            EndpointUpdateKind::Delta
        };
        Report::EndpointList(kind, endpoints)
    }

    fn update_endpoint(&mut self, endpoint: &NamedEndpoint) {
        if endpoint.lifecycle == Lifecycle::Removed {
            self.endpoints.remove(&endpoint.name);
        } else {
            self.endpoints
                .insert(endpoint.name.clone(), endpoint.clone());
        }
    }
}
