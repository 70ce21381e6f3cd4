//! Read-only queries over the state of an instance. Nothing here decides or changes anything.

use std::collections::BTreeMap;

use crate::interface::*;
use crate::state::{quantile, Server};

use super::{Policy, LINK_LEAST};

impl Policy {
    /// Servers that may be given requests.
    pub(super) fn open(&self) -> impl Iterator<Item = (&ServerId, &Server)> + Clone {
        self.servers.iter().filter(|(_, server)| server.open())
    }

    /// The zones of the deployment.
    pub(super) fn zones(&self) -> impl Iterator<Item = ZoneId> + use<> {
        (0..self.settings.zones.max(1) as u16).map(ZoneId)
    }

    /// The median of what open servers show: of a zone's, if enough do, else of the fleet's.
    pub(super) fn median(
        &self,
        zone: Option<ZoneId>,
        of: impl Fn(&Server) -> Option<f64>,
    ) -> Option<f64> {
        let shown = |zone: Option<ZoneId>| -> Vec<f64> {
            let near = self
                .open()
                .filter(|(_, s)| zone.is_none_or(|zone| zone == s.entry.zone));
            near.filter_map(|(_, server)| of(server)).collect()
        };
        let near = zone
            .map(|zone| shown(Some(zone)))
            .filter(|near| near.len() >= LINK_LEAST);
        quantile(near.unwrap_or_else(|| shown(None)).into_iter(), 0.5)
    }

    /// What open servers show, with the work that each takes; those that take none are left out.
    fn shown_at_work(&self, of: impl Fn(&Server) -> Option<f64>) -> Vec<(f64, f64)> {
        let warm_ones = self.open().any(|(_, server)| server.warmth >= 1.0);
        let shown = self
            .open()
            .filter_map(|(_, s)| Some((of(s)?, self.work_taken(s, warm_ones))));
        shown.filter(|(_, work)| *work > 0.0).collect()
    }

    /// The mean of what open servers show, by the work that each takes.
    pub(super) fn mean_over_work(&self, of: impl Fn(&Server) -> Option<f64>) -> Option<f64> {
        let shown = self.shown_at_work(of);
        let work: f64 = shown.iter().map(|(_, work)| work).sum();
        let sum: f64 = shown.iter().map(|(value, work)| value * work).sum();
        (work > 0.0).then(|| sum / work)
    }

    /// The median of what open servers show, by the work that each takes.
    pub(super) fn median_over_work(&self, of: impl Fn(&Server) -> Option<f64>) -> Option<f64> {
        let mut shown = self.shown_at_work(of);
        shown.sort_by(|a, b| a.0.total_cmp(&b.0));
        let half = shown.iter().map(|(_, work)| work).sum::<f64>() / 2.0;
        let mut below = 0.0;
        let middle = shown.iter().find(|(_, work)| {
            below += work;
            below >= half
        });
        middle.map(|(value, _)| *value)
    }

    /// Proxies that hold tables of this instance, by their zone and their part of the fleet.
    pub(super) fn bound_proxies(&self) -> BTreeMap<(ZoneId, usize), Vec<ProxyId>> {
        let mut bound: BTreeMap<(ZoneId, usize), Vec<ProxyId>> = BTreeMap::new();
        for (id, proxy) in self.proxies.iter().filter(|(_, proxy)| proxy.bound) {
            bound.entry((proxy.zone, proxy.part)).or_default().push(*id);
        }
        bound
    }

    /// By set of zones that share tables, and by part of the fleet: its servers' weight and its bound proxies' traffic.
    pub(super) fn weight_and_traffic(
        &self,
        set: impl Fn(ZoneId) -> ZoneId,
    ) -> BTreeMap<(ZoneId, usize), (f64, f64)> {
        let mut sums: BTreeMap<(ZoneId, usize), (f64, f64)> = BTreeMap::new();
        for (_, server) in self.open().filter(|_| self.parts > 0) {
            let part = (set(server.entry.zone), server.ordinal % self.parts);
            sums.entry(part).or_default().0 += server.weight;
        }
        for proxy in self.proxies.values().filter(|proxy| proxy.bound) {
            sums.entry((set(proxy.zone), proxy.part)).or_default().1 += proxy.rate();
        }
        sums
    }

    /// Share of the message limit in use at the fullest of these proxies, this turn's message counted.
    pub(super) fn messages_used<'a>(&self, proxies: impl Iterator<Item = &'a ProxyId>) -> f64 {
        let written = proxies
            .filter_map(|id| Some(self.proxies.get(id)?.written.len() + 1))
            .max();
        let most = Some(self.settings.max_messages).filter(|most| *most > 0);
        most.map_or(0.0, |most| written.unwrap_or(1) as f64 / most as f64)
    }
}
