//! Keeps the instances and hands each batch to them. Instances in one process share nothing.

use std::collections::BTreeMap;

use chutegrade_policy::Policy;
use chutegrade_policy::{Action, Endpoint, EndpointUpdateKind, Event, Micros};

use crate::codec::{self, Fault, Message};
use crate::limits::Service;

struct Instance {
    policy: Policy,
    service: Option<Service>,
    events: Vec<Event>,
}

struct OpenList {
    instance: u32,
    kind: EndpointUpdateKind,
    missing: usize,
    entries: Vec<Endpoint>,
}

/// All instances of this process, fed line by line.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    now: Micros,
    frame: u64,
    at: Option<u32>,
    list: Option<OpenList>,
    limits: Option<chutegrade_limits::pb::Limits>,
}

impl Host {
    /// One whose instances limit service as the operators wrote.
    pub fn limited(limits: Option<chutegrade_limits::pb::Limits>) -> Self {
        Host {
            limits,
            ..Host::default()
        }
    }

    /// Takes one line in; the last line of a batch gives the whole reply.
    pub fn line(&mut self, line: &str) -> Result<Option<String>, Fault> {
        if line.is_empty() {
            return Ok(None);
        }
        let message = codec::parse(line);
        if let Ok(Message::Row(entry)) = message {
            if let Some(list) = self.list.as_mut().filter(|list| list.missing > 0) {
                list.entries.push(entry);
                list.missing -= 1;
            }
            return Ok(None);
        }
        if message.is_err() && line.starts_with("row\t") {
            // The row stays missing: a complete list without it must not read as the server's removal.
            return message.map(|_| None);
        }
        self.close_list();
        match message? {
            Message::Frame(now, frame) => {
                (self.now, self.frame, self.at) = (now, frame, None);
                self.instances
                    .values_mut()
                    .for_each(|instance| instance.events.clear());
            }
            Message::Turn => return Ok(Some(self.reply())),
            Message::At(instance) => self.at = Some(instance),
            Message::Begin(seed, settings) => {
                if let Some(at) = self.at {
                    let service = self.limits.as_ref().and_then(|limits| {
                        let faults = |all: Vec<_>| {
                            all.iter()
                                .for_each(|fault| eprintln!("chutegrade-adapter: {fault}"))
                        };
                        Service::new(limits, &settings).map_err(faults).ok()
                    });
                    let policy = Policy::new(*settings, seed);
                    self.instances.insert(
                        at,
                        Instance {
                            policy,
                            service,
                            events: Vec::new(),
                        },
                    );
                }
            }
            Message::Teardown => {
                self.at.and_then(|at| self.instances.remove(&at));
            }
            Message::List(kind, rows) => {
                self.list = self.at.map(|instance| OpenList {
                    instance,
                    kind,
                    missing: rows,
                    entries: Vec::new(),
                });
                if rows == 0 {
                    self.close_list();
                }
            }
            Message::Event(event) => self.push(self.at, event),
            Message::Row(_) | Message::Unknown => {}
        }
        Ok(None)
    }

    fn push(&mut self, at: Option<u32>, event: Event) {
        if let Some(instance) = at.and_then(|at| self.instances.get_mut(&at)) {
            instance.events.push(event);
        }
    }

    /// Ends a list: one that lost rows on the way is no longer complete, only news of the rows that
    /// arrived.
    fn close_list(&mut self) {
        if let Some(list) = self.list.take() {
            let kind = if list.missing > 0 {
                EndpointUpdateKind::Delta
            } else {
                list.kind
            };
            self.push(Some(list.instance), Event::EndpointList(kind, list.entries));
        }
    }

    fn reply(&mut self) -> String {
        let mut reply = String::new();
        for (id, instance) in &mut self.instances {
            if instance.events.is_empty() {
                continue;
            }
            let said = instance
                .service
                .as_mut()
                .and_then(|service| service.turn(self.now, &instance.events, &instance.policy));
            instance.events.extend(said);
            let actions = instance.policy.handle_events(self.now, &instance.events);
            instance.events.clear();
            if !actions.is_empty() {
                reply.push_str(&format!("source\tsupervisor={id}\n"));
            }
            // The wire keeps every server known, and its proxies bring no withdrawals: nothing is said of either.
            let unsaid =
                |action: &Action| matches!(action, Action::ForgetServer(_) | Action::Reconcile(_));
            for action in actions.into_iter().filter(|action| !unsaid(action)) {
                match codec::write(&action) {
                    Ok(line) => {
                        reply.push_str(&line);
                        reply.push('\n');
                    }
                    Err(fault) => eprintln!("chutegrade-adapter: {fault}"),
                }
            }
        }
        reply.push_str(&format!("end\tframe={}\n", self.frame));
        reply
    }
}
