//! Suspension of draining and removed servers, and the removal of their state and of unused tables.

use crate::interface::{Action, Lifecycle, Micros, ProxyId, ServerId};

use super::orders::{Orders, SUSPENSION_BUDGET};
use super::proxies::Proxies;
use super::registry::Registry;
use super::server::Server;
use super::sharding::Sharding;
use super::tables::Tables;

/// Time after which the state of a removed server is dropped, when no more reports on it can arrive.
const REMOVED_SERVER_RETENTION: Micros = Micros(60_000_000);

/// Clears the tables of earlier layouts once no proxy uses them.
pub(super) fn clear_unused_tables(
    sharding: &Sharding,
    proxies: &Proxies,
    tables: &mut Tables,
    orders: &mut Orders,
) {
    if sharding.shards == 0 || !proxies.all_assigned() {
        return;
    }
    for table in tables.drop_unused(|table| sharding.uses(table)) {
        orders.push(Action::ClearTable(table));
    }
}

/// Suspends draining and removed servers at once, in all tables. A server that returns to service stays suspended until
/// no table contains it: it warms up, and proxies may hold its old weight.
pub(super) fn update_suspensions(
    registry: &mut Registry,
    proxies: &Proxies,
    tables: &Tables,
    orders: &mut Orders,
) {
    let changed: Vec<(ServerId, bool)> = registry
        .iter()
        .filter(|(_, server)| server.suspended != server.is_leaving())
        .map(|(id, server)| (*id, server.is_leaving()))
        .collect();
    for (id, suspended) in changed {
        let recipients = proxies_listing(id, proxies, tables);
        let is_possible = if suspended {
            orders.fits(proxies, &recipients, 1.0, &SUSPENSION_BUDGET)
        } else {
            !tables.any_contains(id)
        };
        if !is_possible {
            continue;
        }
        if let Some(server) = registry.get_mut(id) {
            server.suspended = suspended;
        }
        let order = Action::SetSuspended {
            server: id,
            suspended,
        };
        orders.push_to(&recipients, 1.0, order);
    }
}

/// Drops servers that were removed long ago, once no table contains them.
pub(super) fn drop_removed_servers(
    now: Micros,
    registry: &mut Registry,
    tables: &Tables,
    orders: &mut Orders,
) {
    let is_expired = |server: &Server| {
        server.suspended
            && server.reported_lifecycle == Lifecycle::Removed
            && now - server.lifecycle_changed_at >= REMOVED_SERVER_RETENTION
    };
    let expired: Vec<ServerId> = registry
        .iter()
        .filter(|(id, server)| is_expired(server) && !tables.any_contains(**id))
        .map(|(id, _)| *id)
        .collect();
    for id in expired {
        registry.remove(id);
        orders.push(Action::DropServerState(id));
    }
}

/// Returns the proxies with a table that contains the server.
fn proxies_listing(server: ServerId, proxies: &Proxies, tables: &Tables) -> Vec<ProxyId> {
    proxies
        .iter()
        .filter(|(_, proxy)| {
            let mut own_tables = proxy.tables.iter();
            own_tables.any(|table| tables.contains(*table, server))
        })
        .map(|(id, _)| *id)
        .collect()
}
