//! Harness that starts the program with a configuration, sends it signals, and reads its log.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

use crate::discovery::Discovery;
use crate::peer::Peer;
use crate::wait::{until, wait_for};

/// Path of the program, and how it is started.
#[derive(Clone, Debug)]
pub struct Program {
    path: PathBuf,
    config_directory: PathBuf,
    operator: Option<PathBuf>,
    working_directory: Option<PathBuf>,
}

/// The program blocked while it reads its configuration from a pipe that the test has not written to yet.
pub struct PausedProgram {
    child: Child,
    path: String,
    pipe: File,
}

/// A running program and its log.
pub struct Supervisor {
    child: Child,
    /// Its listening address, as logged at the start.
    pub address: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
    path: String,
}

static NEXT_CONFIG_NUMBER: AtomicUsize = AtomicUsize::new(0);

/// Returns a configuration with `known` as the cached list of endpoints and a limit of `max_sockets` descriptors.
pub fn config(discovery: &Discovery, known: Option<Value>, max_sockets: usize) -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": max_sockets}, "known": known,
        "settings": {
            "peersTotal": 1, "locality": 0, "zones": ["a", "b"], "kinds": ["m"], "tickMs": 2.0,
            "discovery": "automatic", "weights": "nominal",
            "classes": [
                {"name": "lookup", "aimMs": 600.0, "hardLimitMs": 2000.0, "worth": 1.0, "effect": "read_like"},
                {"name": "order", "aimMs": 600.0, "hardLimitMs": 2000.0, "worth": 2.0, "effect": "non_idempotent"}],
            "report": {"source": "piggyback", "fields": ["queue", "latency_ms"]},
            "limits": {"probes": true, "connectTimeoutMs": 250.0, "idleCloseMs": 15000.0},
            "guarantees": {"drainGraceMs": 2000.0, "coldMs": 8000.0, "coldFrom": 0.3, "fallMultiple": 3.0,
                           "overloadForMs": 3000.0},
            "familyInfo": {"proxies": 8, "levelKind": "fraction", "backlog": 9000.0, "linesPerS": 6000.0,
                           "fixedCost": 3.0, "cycleMs": 200.0, "pushDelayMaxMs": 500.0, "unservedMaxMs": 5000.0},
        },
    })
}

impl Program {
    /// Creates a harness for the program at `path`, whose configuration files are written to a directory.
    pub fn new(path: impl AsRef<Path>, config_directory: impl AsRef<Path>) -> Self {
        let (path, config_directory) = (
            path.as_ref().to_path_buf(),
            config_directory.as_ref().to_path_buf(),
        );
        Program {
            path,
            config_directory,
            operator: None,
            working_directory: None,
        }
    }

    /// Returns a copy that starts the program with an operator configuration.
    #[must_use]
    pub fn with_operator(&self, file: impl AsRef<Path>) -> Self {
        Program {
            operator: Some(file.as_ref().to_path_buf()),
            ..self.clone()
        }
    }

    /// Returns a copy that starts the program in this directory, which is also its directory for temporary files.
    #[must_use]
    pub fn with_working_directory(&self, directory: impl AsRef<Path>) -> Self {
        Program {
            working_directory: Some(directory.as_ref().to_path_buf()),
            ..self.clone()
        }
    }

    /// Starts the program, which blocks while it reads its configuration: the file is a pipe from then on.
    pub async fn start_paused(&self) -> PausedProgram {
        let (mut command, path) = self.command(&Value::Null);
        std::fs::remove_file(&path).expect("its configuration file");
        let mkfifo_status = Command::new("mkfifo")
            .arg(&path)
            .status()
            .await
            .expect("mkfifo");
        assert!(mkfifo_status.success());
        let child = command.spawn().expect("the program");
        let pipe = open_for_writing(&path).await;
        PausedProgram { child, path, pipe }
    }

    fn command(&self, config: &Value) -> (Command, String) {
        let mut command = Command::new(&self.path);
        command.arg("serve");
        self.prepare(config, command)
    }

    /// Writes the configuration file and sets the environment of the command; returns it with the path of the file.
    fn prepare(&self, config: &Value, mut command: Command) -> (Command, String) {
        let number = NEXT_CONFIG_NUMBER.fetch_add(1, Ordering::SeqCst);
        let path = format!(
            "{}/supervisor-{}-{number}.json",
            self.config_directory.display(),
            std::process::id()
        );
        std::fs::write(&path, config.to_string()).expect("a configuration file");
        for variable in [
            "LB_NAME",
            "LB_LISTEN",
            "LB_DISCOVERY",
            "CHUTEGRADE_OPERATOR",
        ] {
            command.env_remove(variable);
        }
        if let Some(operator) = &self.operator {
            command.env("CHUTEGRADE_OPERATOR", operator);
        }
        if let Some(directory) = &self.working_directory {
            command.env("TMPDIR", directory).current_dir(directory);
        }
        command
            .env("LB_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        command.kill_on_drop(true);
        (command, path)
    }

    /// Starts the program with a configuration that it rejects, and waits until it exits; returns its exit code and its log.
    pub async fn run_until_exit(&self, config: &Value) -> (Option<i32>, String) {
        let output = wait_for("the program to exit", self.command(config).0.output())
            .await
            .expect("the program");
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stderr).into_owned(),
        )
    }

    /// Runs a subcommand; returns its exit code, standard output and standard error.
    pub async fn run_command(&self, arguments: &[&str]) -> (Option<i32>, String, String) {
        let mut command = Command::new(&self.path);
        command
            .args(arguments)
            .stdin(Stdio::null())
            .kill_on_drop(true);
        command
            .env_remove("LB_CONFIG")
            .env_remove("CHUTEGRADE_OPERATOR");
        let output = wait_for("the command to exit", command.output())
            .await
            .expect("the program");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (
            output.status.code(),
            text(&output.stdout),
            text(&output.stderr),
        )
    }

    /// Starts the program and waits until it serves.
    pub async fn start(&self, config: &Value) -> Supervisor {
        Supervisor::spawn(self.command(config)).await
    }

    /// Starts the program with a system limit on its file descriptors.
    pub async fn start_with_descriptor_limit(
        &self,
        config: &Value,
        descriptors: usize,
    ) -> Supervisor {
        let mut shell = Command::new("/bin/sh");
        shell
            .args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\"")])
            .arg(&self.path);
        Supervisor::spawn(self.prepare(config, shell)).await
    }

    /// Starts the program with the address of discovery also in its environment, as in production.
    pub async fn start_with_discovery_env(&self, config: &Value) -> Supervisor {
        let (mut command, path) = self.command(config);
        command.env(
            "LB_DISCOVERY",
            config["discovery"].as_str().expect("an address"),
        );
        Supervisor::spawn((command, path)).await
    }
}

/// Opens a pipe for writing, once its reader has opened it.
async fn open_for_writing(path: &str) -> File {
    let path = path.to_string();
    let opening = tokio::task::spawn_blocking(move || OpenOptions::new().write(true).open(path));
    wait_for("a reader of the pipe", opening)
        .await
        .expect("no panic")
        .expect("a pipe")
}

async fn send_signals(child: &Child, signals: &[&str]) {
    let id = child.id().expect("it is running").to_string();
    for signal in signals {
        let kill_status = Command::new("kill")
            .args([signal, id.as_str()])
            .status()
            .await
            .expect("kill");
        assert!(kill_status.success());
    }
}

impl PausedProgram {
    /// Sends signals in this order.
    pub async fn send_signals(&self, names: &[&str]) {
        send_signals(&self.child, names).await;
    }

    /// Writes the configuration to the pipe, and waits until the program serves.
    pub async fn resume_with_config(self, config: &Value) -> Supervisor {
        let PausedProgram {
            child,
            path,
            mut pipe,
        } = self;
        pipe.write_all(config.to_string().as_bytes())
            .expect("a reader");
        drop(pipe);
        Supervisor::wait_until_serving(child, path).await
    }

    /// Writes the configuration to the pipe, and waits until the program exits; returns its exit code and its log.
    pub async fn resume_until_exit(self, config: &Value) -> (Option<i32>, String) {
        let PausedProgram {
            child, mut pipe, ..
        } = self;
        let _ = pipe.write_all(config.to_string().as_bytes());
        drop(pipe);
        let output = wait_for("the program to exit", child.wait_with_output())
            .await
            .expect("its output");
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stderr).into_owned(),
        )
    }
}

impl Supervisor {
    async fn spawn((mut command, path): (Command, String)) -> Self {
        Supervisor::wait_until_serving(command.spawn().expect("the program"), path).await
    }

    async fn wait_until_serving(mut child: Child, path: String) -> Self {
        let mut lines = BufReader::new(child.stderr.take().expect("its standard error")).lines();
        let log = Arc::new(Mutex::new(Vec::new()));
        let collected = log.clone();
        tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                collected.lock().expect("no panic while locked").push(line);
            }
        });
        let listen_address = |log: &Mutex<Vec<String>>| {
            let log = log.lock().expect("no panic while locked");
            let line = log.iter().find(|line| line.contains(" started "))?;
            line.split("listen=")
                .nth(1)?
                .split(' ')
                .next()?
                .parse::<SocketAddr>()
                .ok()
        };
        until("the start to be logged", || listen_address(&log).is_some()).await;
        let address = listen_address(&log).expect("checked above");
        Supervisor {
            child,
            address,
            log,
            path,
        }
    }

    /// Returns the number of log lines that contain all of these words.
    pub fn count_log_lines(&self, words: &[&str]) -> usize {
        let log = self.log.lock().expect("no panic while locked");
        log.iter()
            .filter(|line| words.iter().all(|word| line.contains(word)))
            .count()
    }

    /// Waits for `times` log lines that contain all of these words, and asserts that there are no more.
    pub async fn expect_log_lines(&self, times: usize, words: &[&str]) {
        until(&format!("{times} log lines with {words:?}"), || {
            self.count_log_lines(words) >= times
        })
        .await;
        assert_eq!(
            self.count_log_lines(words),
            times,
            "log lines with {words:?}"
        );
    }

    async fn signal(&self, name: &str) {
        send_signals(&self.child, &[name]).await;
    }

    /// Stops the process, so that all events until it resumes arrive at the same time.
    pub async fn pause(&self) {
        self.signal("-STOP").await;
        let stat = format!("/proc/{}/stat", self.child.id().expect("it is running"));
        let is_stopped = || {
            std::fs::read_to_string(&stat)
                .expect("its state")
                .contains(") T ")
        };
        until("the process to stop", is_stopped).await;
    }

    /// Resumes the process, after sending these signals in this order while it is stopped.
    pub async fn resume(&self, signals: &[&str]) {
        send_signals(&self.child, signals).await;
        self.signal("-CONT").await;
    }

    /// Writes the configuration for the next reload, if it is read from a pipe.
    pub async fn write_config_to_pipe(&self, config: &Value) {
        let mut pipe = open_for_writing(&self.path).await;
        pipe.write_all(config.to_string().as_bytes())
            .expect("a reader");
    }

    /// Waits until the process exits; returns its exit code.
    pub async fn wait_for_exit(&mut self) -> Option<i32> {
        wait_for("the process to exit", self.child.wait())
            .await
            .expect("its status")
            .code()
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub async fn reload(&self, config: &str) {
        std::fs::write(&self.path, config).expect("a configuration file");
        self.signal("-HUP").await;
    }

    /// Sends SIGHUP without changing the configuration file.
    pub async fn send_sighup(&self) {
        self.signal("-HUP").await;
    }

    /// Sends SIGTERM and waits until the process exits; returns its exit code.
    pub async fn terminate(&mut self) -> Option<i32> {
        self.signal("-TERM").await;
        self.wait_for_exit().await
    }

    /// Sends SIGKILL and waits until the process exits.
    pub async fn kill(mut self) {
        self.child.kill().await.expect("the process to exit");
    }

    /// Whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("its status").is_none()
    }

    /// Whether it answers `probe` on a new connection.
    pub async fn is_responsive(&self) -> bool {
        let mut peer = Peer::connect(self.address).await;
        peer.send("probe").await;
        wait_for("the answer to probe", peer.line())
            .await
            .as_deref()
            == Some("alive")
    }
}
