//! Conversion between names and ids.
//!
//! Ids are arbitrary and never reused. A server remains known after its removal from the endpoint list until the
//! decision module releases it, because tables and late reports may still reference it.

use std::collections::hash_map::DefaultHasher;
use std::collections::{HashMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use chutegrade_policy::{ClassId, Endpoint, Micros, ServerId, ZoneId};
use chutegrade_settings::DeploymentNames;

use crate::endpoint::NamedEndpoint;

/// Maximum number of retained hashes of removed names (8 bytes each): several times the servers of the largest fleet.
const MAX_REMOVED_NAMES: usize = 8192;

/// An entry of the endpoint list after the resolution of its names.
pub(crate) struct ResolvedEndpoint {
    /// The entry, with ids instead of names.
    pub endpoint: Endpoint,
    /// Whether the server had been removed here, so that proxies may still have it suspended.
    pub was_removed: bool,
}

/// The name, address and start of a server.
struct KnownServer {
    name: Rc<str>,
    address: String,
    started_at: Option<Micros>,
}

/// The id of a server, and whether a server of this name had been removed before.
struct ResolvedServer {
    id: ServerId,
    was_removed: bool,
}

/// The names of zones, classes, machine kinds and servers.
#[derive(Default)]
pub(crate) struct Names {
    zones: Vec<String>,
    machine_kinds: Vec<String>,
    classes: Vec<Rc<str>>,
    servers: HashMap<ServerId, KnownServer>,
    ids_by_name: HashMap<Rc<str>, ServerId>,
    next_server: u32,
    /// Hashes of the names of removed servers, oldest first.
    removed_name_hashes: VecDeque<u64>,
}

impl Names {
    /// Creates the names of a deployment, without servers.
    pub fn new(names: DeploymentNames) -> Self {
        Names {
            zones: names.zones,
            machine_kinds: names.machine_kinds,
            classes: names.classes.into_iter().map(Rc::from).collect(),
            ..Names::default()
        }
    }

    /// Returns the names of zones, classes and machine kinds, including those that only the endpoint list contains.
    pub fn deployment(&self) -> DeploymentNames {
        DeploymentNames {
            zones: self.zones.clone(),
            classes: self.classes.iter().map(ToString::to_string).collect(),
            machine_kinds: self.machine_kinds.clone(),
        }
    }

    /// Returns the id of a class.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        let position = self.classes.iter().position(|class| **class == *name)?;
        Some(ClassId(position as u8))
    }

    /// Returns the name of the class at a position.
    pub fn class_name(&self, class: usize) -> Option<Rc<str>> {
        self.classes.get(class).cloned()
    }

    /// Returns the id of a zone.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        let position = self.zones.iter().position(|zone| zone == name)?;
        Some(ZoneId(position as u16))
    }

    /// Returns the name of a zone; empty if it is unknown.
    pub fn zone_name(&self, zone: ZoneId) -> String {
        let name = self.zones.get(usize::from(zone.0));
        name.cloned().unwrap_or_default()
    }

    /// Returns the id of a server.
    pub fn server(&self, name: &str) -> Option<ServerId> {
        self.ids_by_name.get(name).copied()
    }

    /// Returns the name of a server; `None` once it was removed.
    pub fn server_name(&self, server: ServerId) -> Option<Rc<str>> {
        let known = self.servers.get(&server)?;
        Some(Rc::clone(&known.name))
    }

    /// Returns the listen address of a server: `None` if the server is unknown, empty if no entry had an address.
    pub fn address(&self, server: ServerId) -> Option<&str> {
        let known = self.servers.get(&server)?;
        Some(known.address.as_str())
    }

    /// Returns the latest start of a server; `None` if the server is unknown or its entry has no start.
    pub fn started_at(&self, server: ServerId) -> Option<Micros> {
        self.servers.get(&server)?.started_at
    }

    /// Removes a server that is no longer referenced. Its id is not reused.
    pub fn remove_server(&mut self, server: ServerId) {
        let Some(known) = self.servers.remove(&server) else {
            return;
        };
        self.ids_by_name.remove(&known.name);
        if self.removed_name_hashes.len() >= MAX_REMOVED_NAMES {
            self.removed_name_hashes.pop_front();
        }
        self.removed_name_hashes.push_back(hash(&known.name));
    }

    /// Resolves the names in an entry of the endpoint list. An unknown zone or machine kind gets the next id.
    pub fn resolve(&mut self, named: &NamedEndpoint) -> ResolvedEndpoint {
        let ResolvedServer { id, was_removed } = self.resolve_server(&named.name);
        if let Some(known) = self.servers.get_mut(&id) {
            known.started_at = named.started_at;
            if !named.address.is_empty() {
                known.address.clone_from(&named.address);
            }
        }
        let endpoint = Endpoint {
            server: id,
            zone: ZoneId(position_or_insert(&mut self.zones, &named.zone) as u16),
            machine_kind: position_or_insert(&mut self.machine_kinds, &named.machine_kind) as u32,
            cell: named.cell,
            lifecycle: named.lifecycle,
            weight: named.weight,
            started_at: named.started_at,
        };
        ResolvedEndpoint {
            endpoint,
            was_removed,
        }
    }

    fn resolve_server(&mut self, name: &str) -> ResolvedServer {
        if let Some(id) = self.server(name) {
            return ResolvedServer {
                id,
                was_removed: false,
            };
        }
        ResolvedServer {
            id: self.add_server(name),
            was_removed: self.take_removed_name(name),
        }
    }

    fn add_server(&mut self, name: &str) -> ServerId {
        let id = ServerId(self.next_server);
        self.next_server += 1;
        let name: Rc<str> = Rc::from(name);
        self.ids_by_name.insert(Rc::clone(&name), id);
        let known = KnownServer {
            name,
            address: String::new(),
            started_at: None,
        };
        self.servers.insert(id, known);
        id
    }

    /// Drops the hash of a removed name; returns whether there was one.
    fn take_removed_name(&mut self, name: &str) -> bool {
        let count_before = self.removed_name_hashes.len();
        let hash = hash(name);
        self.removed_name_hashes.retain(|removed| *removed != hash);
        self.removed_name_hashes.len() < count_before
    }
}

fn hash(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

fn position_or_insert(names: &mut Vec<String>, name: &str) -> usize {
    if let Some(position) = names.iter().position(|known| known == name) {
        return position;
    }
    names.push(name.to_string());
    names.len() - 1
}
