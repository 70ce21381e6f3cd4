//! Names to ids and back. Ids carry no meaning; a server that was once listed stays known, since tables and
//! late reports may still name it.

use std::collections::HashMap;
use std::rc::Rc;

use chutegrade_policy::interface::{ClassId, Entry, Lifecycle, Micros, ServerId, ZoneId};

/// One entry of the list of servers, by names.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listed {
    /// The server.
    pub name: String,
    /// Where it listens; the newest one listed holds.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Its life.
    pub life: Lifecycle,
    /// Its listed weight.
    pub weight: f64,
    /// Its latest start, if that is not long ago.
    pub started: Option<Micros>,
}

struct Known {
    name: Rc<str>,
    address: String,
}

/// The names that are known.
#[derive(Default)]
pub(crate) struct Names {
    zones: Vec<String>,
    kinds: Vec<String>,
    classes: Vec<Rc<str>>,
    servers: Vec<Known>,
    by_name: HashMap<Rc<str>, ServerId>,
}

impl Names {
    pub fn new(zones: Vec<String>, classes: Vec<String>, kinds: Vec<String>) -> Self {
        let classes = classes.into_iter().map(Rc::from).collect();
        Names { zones, kinds, classes, ..Names::default() }
    }

    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|class| **class == *name).map(|at| ClassId(at as u8))
    }

    pub fn class_name(&self, class: usize) -> Option<Rc<str>> {
        self.classes.get(class).cloned()
    }

    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        self.zones.iter().position(|zone| zone == name).map(|at| ZoneId(at as u16))
    }

    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    pub fn zone_name(&self, zone: ZoneId) -> String {
        self.zones.get(usize::from(zone.0)).cloned().unwrap_or_default()
    }

    pub fn server(&self, name: &str) -> Option<ServerId> {
        self.by_name.get(name).copied()
    }

    pub fn name(&self, server: ServerId) -> Option<Rc<str>> {
        self.servers.get(server.0 as usize).map(|known| known.name.clone())
    }

    pub fn address(&self, server: ServerId) -> Option<&str> {
        self.servers.get(server.0 as usize).map(|known| known.address.as_str())
    }

    /// The entry as the decisions know it; a zone or kind that the settings do not name gets a further number.
    pub fn listed(&mut self, listed: &Listed) -> Entry {
        let server = self.server(&listed.name).unwrap_or_else(|| self.intern(&listed.name));
        if let Some(known) = self.servers.get_mut(server.0 as usize).filter(|_| !listed.address.is_empty()) {
            known.address.clone_from(&listed.address);
        }
        Entry {
            server,
            zone: ZoneId(position(&mut self.zones, &listed.zone) as u16),
            kind: position(&mut self.kinds, &listed.kind) as u32,
            cell: listed.cell,
            life: listed.life,
            weight: listed.weight,
            started: listed.started,
        }
    }

    fn intern(&mut self, name: &str) -> ServerId {
        let (id, name) = (ServerId(self.servers.len() as u32), Rc::from(name));
        self.by_name.insert(Rc::clone(&name), id);
        self.servers.push(Known { name, address: String::new() });
        id
    }
}

fn position(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.to_string());
        names.len() - 1
    })
}
