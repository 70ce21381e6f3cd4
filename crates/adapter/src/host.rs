//! Runs instances of the decision module and passes each batch to them. Instances in one process share no state.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use chutegrade_limits::pb;
use chutegrade_policy::{Action, Endpoint, EndpointUpdateKind, Event, Micros, Policy, Settings};

use crate::codec::{decode_message, encode_action, CodecError, Message};
use crate::overload::OverloadController;

/// Start of a line that contains an entry of an endpoint list.
const ENDPOINT_LINE_PREFIX: &str = "row\t";

/// One instance of the decision module.
struct Instance {
    policy: Policy,
    overload: Option<OverloadController>,
    /// Events of the current batch.
    events: Vec<Event>,
}

/// An endpoint list that is being received.
struct IncomingList {
    instance: u32,
    kind: EndpointUpdateKind,
    missing_entries: usize,
    entries: Vec<Endpoint>,
}

/// The instances of this process; processes the input line by line.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    now: Micros,
    batch_number: u64,
    selected: Option<u32>,
    incoming_list: Option<IncomingList>,
    limits: Option<pb::Limits>,
}

impl Host {
    /// Creates a host. With `limits`, the operators' declaration, each instance runs an overload manager.
    pub fn with_limits(limits: Option<pb::Limits>) -> Self {
        Host {
            limits,
            ..Host::default()
        }
    }

    /// Handles one line. Returns the complete reply after the last line of a batch.
    ///
    /// # Errors
    ///
    /// The line is malformed. It is skipped, and the batch continues.
    pub fn handle_line(&mut self, line: &str) -> Result<Option<String>, CodecError> {
        if line.is_empty() {
            return Ok(None);
        }
        let message = decode_message(line);
        if message.is_err() && line.starts_with(ENDPOINT_LINE_PREFIX) {
            // The entry counts as missing: a complete list without it must not be taken for the server's removal.
            return message.map(|_| None);
        }
        if let Ok(Message::EndpointListEntry(endpoint)) = message {
            self.add_list_entry(endpoint);
            return Ok(None);
        }
        self.finish_list();
        Ok(self.handle_message(message?))
    }

    fn handle_message(&mut self, message: Message) -> Option<String> {
        match message {
            Message::BatchStart { now, number } => self.start_batch(now, number),
            Message::BatchEnd => return Some(self.reply()),
            Message::SelectInstance(instance) => self.selected = Some(instance),
            Message::StartInstance { seed, settings } => self.start_instance(seed, *settings),
            Message::StopInstance => self.stop_instance(),
            Message::EndpointListStart { kind, entries } => self.start_list(kind, entries),
            Message::Event(event) => self.push_event(self.selected, event),
            Message::EndpointListEntry(_) | Message::Unknown => {}
        }
        None
    }

    fn start_batch(&mut self, now: Micros, number: u64) {
        self.now = now;
        self.batch_number = number;
        self.selected = None;
        for instance in self.instances.values_mut() {
            instance.events.clear();
        }
    }

    fn start_instance(&mut self, seed: u64, settings: Settings) {
        let Some(selected) = self.selected else {
            return;
        };
        let overload = self
            .limits
            .as_ref()
            .and_then(|limits| overload_controller(limits, &settings));
        let instance = Instance {
            policy: Policy::new(settings, seed),
            overload,
            events: Vec::new(),
        };
        self.instances.insert(selected, instance);
    }

    fn stop_instance(&mut self) {
        if let Some(selected) = self.selected {
            self.instances.remove(&selected);
        }
    }

    fn push_event(&mut self, instance: Option<u32>, event: Event) {
        let instance = instance.and_then(|id| self.instances.get_mut(&id));
        if let Some(instance) = instance {
            instance.events.push(event);
        }
    }

    fn start_list(&mut self, kind: EndpointUpdateKind, entries: usize) {
        self.incoming_list = self.selected.map(|instance| IncomingList {
            instance,
            kind,
            missing_entries: entries,
            entries: Vec::new(),
        });
        if entries == 0 {
            self.finish_list();
        }
    }

    fn add_list_entry(&mut self, endpoint: Endpoint) {
        let Some(list) = &mut self.incoming_list else {
            return;
        };
        if list.missing_entries > 0 {
            list.entries.push(endpoint);
            list.missing_entries -= 1;
        }
    }

    /// Ends an endpoint list. If entries are missing, the received ones are handled as a delta, regardless of its kind.
    fn finish_list(&mut self) {
        let Some(list) = self.incoming_list.take() else {
            return;
        };
        let kind = if list.missing_entries > 0 {
            EndpointUpdateKind::Delta
        } else {
            list.kind
        };
        let event = Event::EndpointList(kind, list.entries);
        self.push_event(Some(list.instance), event);
    }

    /// Passes the batch to all instances that have events; returns the reply.
    fn reply(&mut self) -> String {
        let mut reply = String::new();
        for (id, instance) in &mut self.instances {
            if instance.events.is_empty() {
                continue;
            }
            let actions = instance.handle_batch(self.now);
            if !actions.is_empty() {
                let _ = writeln!(reply, "source\tsupervisor={id}");
            }
            for action in actions.iter().filter(|action| is_encodable(action)) {
                write_action(action, &mut reply);
            }
        }
        let _ = writeln!(reply, "end\tframe={}", self.batch_number);
        reply
    }
}

impl Instance {
    fn handle_batch(&mut self, now: Micros) -> Vec<Action> {
        if let Some(overload) = &mut self.overload {
            let limits = overload.handle_batch(now, &self.events, &self.policy);
            self.events.extend(limits.map(Event::Limits));
        }
        let actions = self.policy.handle_events(now, &self.events);
        self.events.clear();
        actions
    }
}

/// Creates a controller from the operators' declaration. If it is invalid, prints the errors and returns `None`.
fn overload_controller(limits: &pb::Limits, settings: &Settings) -> Option<OverloadController> {
    match OverloadController::new(limits, settings) {
        Ok(controller) => Some(controller),
        Err(errors) => {
            for error in &errors {
                eprintln!("chutegrade-adapter: {error}");
            }
            None
        }
    }
}

/// Whether the wire protocol has a line for an action. On the wire, servers remain known, proxies have no earlier
/// suspensions and streams are not checked, so it has no [`Action::DropServerState`], [`Action::Reconcile`] or
/// [`Action::CheckLiveness`].
fn is_encodable(action: &Action) -> bool {
    !matches!(
        action,
        Action::DropServerState(_) | Action::Reconcile(_) | Action::CheckLiveness(_)
    )
}

fn write_action(action: &Action, reply: &mut String) {
    match encode_action(action) {
        Ok(line) => {
            reply.push_str(&line);
            reply.push('\n');
        }
        Err(error) => eprintln!("chutegrade-adapter: {error}"),
    }
}
