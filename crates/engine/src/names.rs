//! Names to ids and back. Ids carry no meaning and are never used twice; a server that was once listed stays known until
//! the decisions have forgotten it, since tables and late reports may still name it.

use std::collections::hash_map::DefaultHasher;
use std::collections::{HashMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use chutegrade_policy::{ClassId, Endpoint, Lifecycle, Micros, ServerId, ZoneId};

/// One entry of the list of servers, by names.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NamedEndpoint {
    /// The server.
    pub name: String,
    /// Where it listens; the newest one listed holds.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub machine_kind: String,
    /// Its cell.
    pub cell: u32,
    /// Its life.
    pub lifecycle: Lifecycle,
    /// Its listed weight.
    pub weight: f64,
    /// Its latest start, if that is not long ago.
    pub started_at: Option<Micros>,
}

struct Known {
    name: Rc<str>,
    address: String,
    started: Option<Micros>,
}

/// Names that were forgotten and are told from new ones, by eight bytes each: several times the servers of the largest
/// fleet, all replaced. One beyond it that returns is told as new.
const FORGOTTEN_MOST: usize = 8192;

/// The names that are known.
#[derive(Default)]
pub(crate) struct Names {
    zones: Vec<String>,
    kinds: Vec<String>,
    classes: Vec<Rc<str>>,
    servers: HashMap<ServerId, Known>,
    by_name: HashMap<Rc<str>, ServerId>,
    /// The number of the next server.
    next: u32,
    forgotten: VecDeque<u64>,
}

impl Names {
    pub fn new(zones: Vec<String>, classes: Vec<String>, kinds: Vec<String>) -> Self {
        let classes = classes.into_iter().map(Rc::from).collect();
        Names {
            zones,
            kinds,
            classes,
            ..Names::default()
        }
    }

    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes
            .iter()
            .position(|class| **class == *name)
            .map(|at| ClassId(at as u8))
    }

    pub fn class_name(&self, class: usize) -> Option<Rc<str>> {
        self.classes.get(class).cloned()
    }

    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        self.zones
            .iter()
            .position(|zone| zone == name)
            .map(|at| ZoneId(at as u16))
    }

    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    pub fn zone_name(&self, zone: ZoneId) -> String {
        self.zones
            .get(usize::from(zone.0))
            .cloned()
            .unwrap_or_default()
    }

    pub fn server(&self, name: &str) -> Option<ServerId> {
        self.by_name.get(name).copied()
    }

    pub fn name(&self, server: ServerId) -> Option<Rc<str>> {
        self.servers.get(&server).map(|known| known.name.clone())
    }

    pub fn address(&self, server: ServerId) -> Option<&str> {
        self.servers
            .get(&server)
            .map(|known| known.address.as_str())
    }

    /// The latest start of the server, as far as the list told it.
    pub fn started(&self, server: ServerId) -> Option<Micros> {
        self.servers.get(&server).and_then(|known| known.started)
    }

    /// Nothing names the server any more. Its number is not used again.
    pub fn forget(&mut self, server: ServerId) {
        let Some(known) = self.servers.remove(&server) else {
            return;
        };
        self.by_name.remove(&known.name);
        if self.forgotten.len() >= FORGOTTEN_MOST {
            self.forgotten.pop_front();
        }
        self.forgotten.push_back(digest(&known.name));
    }

    /// The entry as the decisions know it; a zone or kind that the settings do not name gets a further number. And whether
    /// its name had been forgotten: proxies may know it still, as one that is shut out.
    pub fn listed(&mut self, listed: &NamedEndpoint) -> (Endpoint, bool) {
        let known = self.server(&listed.name).map(|server| (server, false));
        let (server, returned) = known.unwrap_or_else(|| self.intern(&listed.name));
        if let Some(known) = self.servers.get_mut(&server) {
            known.started = listed.started_at;
            if !listed.address.is_empty() {
                known.address.clone_from(&listed.address);
            }
        }
        let entry = Endpoint {
            server,
            zone: ZoneId(position(&mut self.zones, &listed.zone) as u16),
            machine_kind: position(&mut self.kinds, &listed.machine_kind) as u32,
            cell: listed.cell,
            lifecycle: listed.lifecycle,
            weight: listed.weight,
            started_at: listed.started_at,
        };
        (entry, returned)
    }

    /// A number for a new name, and whether that had been forgotten.
    fn intern(&mut self, name: &str) -> (ServerId, bool) {
        let (id, digest, forgotten) = (ServerId(self.next), digest(name), self.forgotten.len());
        self.next += 1;
        self.forgotten.retain(|of| *of != digest);
        let returned = self.forgotten.len() < forgotten;
        let name: Rc<str> = Rc::from(name);
        self.by_name.insert(Rc::clone(&name), id);
        self.servers.insert(
            id,
            Known {
                name,
                address: String::new(),
                started: None,
            },
        );
        (id, returned)
    }
}

fn digest(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

fn position(names: &mut Vec<String>, name: &str) -> usize {
    names
        .iter()
        .position(|known| known == name)
        .unwrap_or_else(|| {
            names.push(name.to_string());
            names.len() - 1
        })
}
