//! The decision module of another build, whose adapter runs as a child process and is called over the simulator's wire
//! protocol. For comparison on the fleet model only.

use std::io::{self, BufRead as _, BufReader, Write as _};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::{Arc, Mutex};

use chutegrade_engine::DecisionPolicy;
use chutegrade_policy::{Action, Event, Micros, Settings};
use chutegrade_settings::{to_json, DeploymentNames};

use crate::codec::{decode_action, encode_event, encode_time};

/// Start of the last line of a reply.
const REPLY_END_PREFIX: &str = "end\t";

/// Maximum number of characters of an invalid reply in an error message.
const MAX_SHOWN_REPLY: usize = 80;

/// Why a call of the child process failed.
#[derive(Debug, thiserror::Error)]
enum RemoteError {
    /// The process did not start or has ended.
    #[error("remote decision module: {0}")]
    Io(#[from] io::Error),
    /// The reply contains a line that is not an action.
    #[error("remote decision module sent an invalid reply: {0:?}")]
    InvalidReply(String),
}

/// The first error of the child processes that share this value; `None` if there was none.
pub type FirstError = Arc<Mutex<Option<String>>>;

/// The command and the inputs of a child process.
pub struct RemotePolicyConfig<'a> {
    /// The program and its arguments, separated by whitespace.
    pub command: &'a str,
    /// Settings of the instance.
    pub settings: &'a Settings,
    /// Names of the deployment, which are part of the settings on the wire.
    pub names: &'a DeploymentNames,
    /// Seed of the decision module in the child process.
    pub seed: u64,
}

/// Starts a child process that speaks the wire protocol on its standard input and output.
///
/// If it does not start or fails later, the policy returns no actions, and the error is stored unless `first_error`
/// already contains one.
pub fn spawn(config: &RemotePolicyConfig, first_error: &FirstError) -> Box<dyn DecisionPolicy> {
    match RemotePolicy::spawn(config, Arc::clone(first_error)) {
        Ok(policy) => Box::new(policy),
        Err(error) => {
            store_first_error(first_error, &error);
            Box::new(NoopPolicy)
        }
    }
}

fn store_first_error(first_error: &FirstError, error: &RemoteError) {
    if let Ok(mut stored) = first_error.lock() {
        stored.get_or_insert(error.to_string());
    }
}

/// One instance of the decision module in a child process.
struct RemotePolicy {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    batch_number: u64,
    /// Number of the last event, also used as the number of an endpoint list.
    list_number: u64,
    /// The line that starts the instance; `None` once it was written.
    start_line: Option<String>,
    first_error: FirstError,
}

impl RemotePolicy {
    fn spawn(config: &RemotePolicyConfig, first_error: FirstError) -> Result<Self, RemoteError> {
        let mut arguments = config.command.split_whitespace();
        let program = arguments.next().unwrap_or_default();
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let input = child.stdin.take().ok_or_else(missing_pipe)?;
        let output = child.stdout.take().ok_or_else(missing_pipe)?;
        let settings = to_json(config.settings, config.names);
        let seed = config.seed;
        Ok(RemotePolicy {
            child,
            input,
            output: BufReader::new(output),
            batch_number: 0,
            list_number: 0,
            start_line: Some(format!("begin\tnonce64={seed}\tenv={settings}\n")),
            first_error,
        })
    }

    fn exchange(&mut self, now: Micros, events: &[Event]) -> Result<Vec<Action>, RemoteError> {
        let batch = self.encode_batch(now, events);
        self.input.write_all(batch.as_bytes())?;
        self.input.flush()?;
        self.read_reply()
    }

    fn encode_batch(&mut self, now: Micros, events: &[Event]) -> String {
        self.batch_number += 1;
        let mut batch = format!(
            "frame\tatTimeMs={}\tframe={}\nat\tsupervisor=0\n",
            encode_time(now),
            self.batch_number
        );
        if let Some(start_line) = self.start_line.take() {
            batch.push_str(&start_line);
        }
        for event in events {
            self.list_number += 1;
            batch.push_str(&encode_event(event, self.list_number));
        }
        batch.push_str("your_turn\n");
        batch
    }

    fn read_reply(&mut self) -> Result<Vec<Action>, RemoteError> {
        let mut actions = Vec::new();
        let mut buffer = String::new();
        loop {
            buffer.clear();
            if self.output.read_line(&mut buffer)? == 0 {
                return Err(io::Error::other("process exited").into());
            }
            let line = buffer.trim_end();
            if line.starts_with(REPLY_END_PREFIX) {
                return Ok(actions);
            }
            let action = decode_action(line).map_err(|_| invalid_reply(line))?;
            actions.extend(action);
        }
    }
}

fn missing_pipe() -> io::Error {
    io::Error::other("process has no standard input or output")
}

fn invalid_reply(line: &str) -> RemoteError {
    RemoteError::InvalidReply(line.chars().take(MAX_SHOWN_REPLY).collect())
}

impl DecisionPolicy for RemotePolicy {
    fn handle_events(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        match self.exchange(now, events) {
            Ok(actions) => actions,
            Err(error) => {
                store_first_error(&self.first_error, &error);
                Vec::new()
            }
        }
    }
}

impl Drop for RemotePolicy {
    fn drop(&mut self) {
        // Waiting alone could block: a hanging process does not end with its input.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Replaces a process that did not start; returns no actions.
struct NoopPolicy;

impl DecisionPolicy for NoopPolicy {
    fn handle_events(&mut self, _: Micros, _: &[Event]) -> Vec<Action> {
        Vec::new()
    }
}
