//! The endpoint list as it was last delivered: its version, its endpoints, and what a delivery changes.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use chutegrade_engine::{EndpointUpdateKind, Lifecycle, NamedEndpoint, Report};

use crate::protocol::endpoint_delivery::{CachedEndpointList, EndpointDelivery};

/// If versions stay older than the known one for this long, the list has restarted its count: no agent lags by more.
const STALE_TIMEOUT: Duration = Duration::from_secs(6);
/// After this many deliveries in a row with unreadable endpoints, the last is accepted without them; until then it is
/// requested again. The backoff in between takes a second in total, and changes may take 6 s to arrive.
const MAX_UNREADABLE_DELIVERIES: u32 = 5;

/// The list as it was last delivered.
pub struct EndpointCache {
    version: Option<u64>,
    /// The last state of each server that is listed.
    endpoints: HashMap<String, NamedEndpoint>,
    /// Since when deliveries are older than the known version.
    stale_since: Option<Instant>,
    /// How many deliveries in a row had unreadable endpoints.
    unreadable_deliveries: u32,
}

/// What a delivery means for the engine, and for what is requested next.
pub struct AppliedDelivery {
    /// The update to report.
    pub report: Report,
    /// Whether the delivery has to be requested again, as some of its endpoints could not be read.
    pub needs_repeat: bool,
}

impl EndpointCache {
    /// A cache that starts from a known list, if there is one.
    pub fn new(cached: Option<CachedEndpointList>) -> Self {
        let version = cached.as_ref().map(|list| list.version);
        let endpoints = cached.map(|list| list.endpoints).unwrap_or_default();
        EndpointCache {
            version,
            endpoints: endpoints
                .into_iter()
                .map(|endpoint| (endpoint.name.clone(), endpoint))
                .collect(),
            stale_since: None,
            unreadable_deliveries: 0,
        }
    }

    /// The version from which changes can be watched; none if the complete list has to be requested.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Forgets for how long deliveries were stale, as another agent answers from now on.
    pub fn reset_staleness(&mut self) {
        self.stale_since = None;
    }

    /// Whether a delivery has to be ignored because it is older than the known version. An agent that lags behind, perhaps
    /// one at a new address, would report a draining server as in service.
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

    /// Forgets the version if discovery has been stale for `STALE_TIMEOUT`, since its count has restarted then; returns
    /// whether it has. The complete list is requested next: changes alone would lack those that were ignored as stale.
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

    /// Applies a delivery that is not stale. The version advances only if the delivery need not be repeated: a watch from a
    /// newer version would never deliver the content of an unreadable endpoint, perhaps a drain.
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
        }
        AppliedDelivery {
            report,
            needs_repeat,
        }
    }

    /// Merges a delivery into the cached endpoints. In a snapshot, an endpoint of which only the name can be read keeps its
    /// cached state; if not all names can be read, the snapshot is applied as a delta, so that it removes no server.
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
