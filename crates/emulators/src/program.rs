//! The program itself: started with a configuration, spoken to by signals, and asked what it logged.

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

/// The program's file, and where its configurations are written.
#[derive(Clone, Debug)]
pub struct Program {
    path: PathBuf,
    scratch: PathBuf,
    operator: Option<PathBuf>,
    temporary: Option<PathBuf>,
}

/// The program while it reads its configuration, out of a pipe that the test has not written to yet.
pub struct PausedProgram {
    child: Child,
    path: String,
    pipe: File,
}

/// The program as started, and what it has logged.
pub struct Supervisor {
    child: Child,
    /// Where it listens.
    pub address: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
    path: String,
}

static CONFIGS: AtomicUsize = AtomicUsize::new(0);

/// A configuration: `known` as the list last had, and so many descriptors.
pub fn config(discovery: &Discovery, known: Option<Value>, sockets: usize) -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "known": known,
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
    /// The program in a file; what it is told goes into a directory.
    pub fn new(path: impl AsRef<Path>, scratch: impl AsRef<Path>) -> Self {
        let (path, scratch) = (path.as_ref().to_path_buf(), scratch.as_ref().to_path_buf());
        Program {
            path,
            scratch,
            operator: None,
            temporary: None,
        }
    }

    /// The same with an operators' file.
    #[must_use]
    pub fn with_operator(&self, file: impl AsRef<Path>) -> Self {
        Program {
            operator: Some(file.as_ref().to_path_buf()),
            ..self.clone()
        }
    }

    /// The same with a directory of its own for what it writes, which is also where it starts.
    #[must_use]
    pub fn with_scratch(&self, directory: impl AsRef<Path>) -> Self {
        Program {
            temporary: Some(directory.as_ref().to_path_buf()),
            ..self.clone()
        }
    }

    /// Starts the program and holds it while it reads its configuration, whose file is a pipe from then on.
    pub async fn start_paused(&self) -> PausedProgram {
        let (mut command, path) = self.command(&Value::Null);
        std::fs::remove_file(&path).expect("its file");
        let made = Command::new("mkfifo")
            .arg(&path)
            .status()
            .await
            .expect("mkfifo");
        assert!(made.success());
        let child = command.spawn().expect("the program");
        let pipe = opened(&path).await;
        PausedProgram { child, path, pipe }
    }

    fn command(&self, config: &Value) -> (Command, String) {
        let mut command = Command::new(&self.path);
        command.arg("serve");
        self.prepared(config, command)
    }

    /// The command with its environment, and where its configuration is.
    fn prepared(&self, config: &Value, mut command: Command) -> (Command, String) {
        let number = CONFIGS.fetch_add(1, Ordering::SeqCst);
        let path = format!(
            "{}/supervisor-{}-{number}.json",
            self.scratch.display(),
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
        if let Some(directory) = &self.temporary {
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

    /// Starts it with a configuration that it can't run with; its exit code and what it said.
    pub async fn run_until_exit(&self, config: &Value) -> (Option<i32>, String) {
        let output = wait_for("the end of the program", self.command(config).0.output())
            .await
            .expect("the program");
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stderr).into_owned(),
        )
    }

    /// Runs one of its other commands; its exit code, and what it wrote to either side.
    pub async fn run_command(&self, arguments: &[&str]) -> (Option<i32>, String, String) {
        let mut command = Command::new(&self.path);
        command
            .args(arguments)
            .stdin(Stdio::null())
            .kill_on_drop(true);
        command
            .env_remove("LB_CONFIG")
            .env_remove("CHUTEGRADE_OPERATOR");
        let output = wait_for("the end of the tool", command.output())
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
        Supervisor::started(self.command(config)).await
    }

    /// Starts the program where the system gives it no more than so many descriptors.
    pub async fn start_with_descriptor_limit(
        &self,
        config: &Value,
        descriptors: usize,
    ) -> Supervisor {
        let mut shell = Command::new("/bin/sh");
        shell
            .args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\"")])
            .arg(&self.path);
        Supervisor::started(self.prepared(config, shell)).await
    }

    /// Starts the program with the address of discovery in its environment too, as the operators do.
    pub async fn start_with_discovery_env(&self, config: &Value) -> Supervisor {
        let (mut command, path) = self.command(config);
        command.env(
            "LB_DISCOVERY",
            config["discovery"].as_str().expect("an address"),
        );
        Supervisor::started((command, path)).await
    }
}

/// A pipe, once its reader has opened it.
async fn opened(path: &str) -> File {
    let path = path.to_string();
    let opening = tokio::task::spawn_blocking(move || OpenOptions::new().write(true).open(path));
    wait_for("a reader of the pipe", opening)
        .await
        .expect("no panic")
        .expect("a pipe")
}

async fn kill(child: &Child, signals: &[&str]) {
    let id = child.id().expect("it runs").to_string();
    for signal in signals {
        let sent = Command::new("kill")
            .args([signal, id.as_str()])
            .status()
            .await
            .expect("kill");
        assert!(sent.success());
    }
}

impl PausedProgram {
    /// Sends signals, one after another.
    pub async fn signals(&self, names: &[&str]) {
        kill(&self.child, names).await;
    }

    /// Gives it its configuration, and waits until it serves.
    pub async fn resume_with_config(self, config: &Value) -> Supervisor {
        let PausedProgram {
            child,
            path,
            mut pipe,
        } = self;
        pipe.write_all(config.to_string().as_bytes())
            .expect("a reader");
        drop(pipe);
        Supervisor::watched(child, path).await
    }

    /// Gives it its configuration, and waits until it ends; its exit code and what it said.
    pub async fn ends(self, config: &Value) -> (Option<i32>, String) {
        let PausedProgram {
            child, mut pipe, ..
        } = self;
        let _ = pipe.write_all(config.to_string().as_bytes());
        drop(pipe);
        let output = wait_for("the end of the program", child.wait_with_output())
            .await
            .expect("its output");
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stderr).into_owned(),
        )
    }
}

impl Supervisor {
    async fn started((mut command, path): (Command, String)) -> Self {
        Supervisor::watched(command.spawn().expect("the program"), path).await
    }

    async fn watched(mut child: Child, path: String) -> Self {
        let mut lines = BufReader::new(child.stderr.take().expect("its log")).lines();
        let log = Arc::new(Mutex::new(Vec::new()));
        let kept = log.clone();
        tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                kept.lock().expect("no panic while held").push(line);
            }
        });
        let listens = |log: &Mutex<Vec<String>>| {
            let log = log.lock().expect("no panic while held");
            let line = log.iter().find(|line| line.contains(" started "))?;
            line.split("listen=")
                .nth(1)?
                .split(' ')
                .next()?
                .parse::<SocketAddr>()
                .ok()
        };
        until("the start", || listens(&log).is_some()).await;
        let address = listens(&log).expect("checked above");
        Supervisor {
            child,
            address,
            log,
            path,
        }
    }

    /// Lines that hold all of these words.
    pub fn count_log_lines(&self, words: &[&str]) -> usize {
        let log = self.log.lock().expect("no panic while held");
        log.iter()
            .filter(|line| words.iter().all(|word| line.contains(word)))
            .count()
    }

    /// Waits for so many such lines.
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
        kill(&self.child, &[name]).await;
    }

    /// Stops the process where it is: all that comes until it goes on comes at once.
    pub async fn pause(&self) {
        self.signal("-STOP").await;
        let stat = format!("/proc/{}/stat", self.child.id().expect("it runs"));
        let stopped = || {
            std::fs::read_to_string(&stat)
                .expect("its state")
                .contains(") T ")
        };
        until("the process to stand still", stopped).await;
    }

    /// Goes on, with these signals sent meanwhile, in this order.
    pub async fn resume(&self, signals: &[&str]) {
        kill(&self.child, signals).await;
        self.signal("-CONT").await;
    }

    /// Gives the next reload its configuration, where that is read out of a pipe.
    pub async fn write_config_to_pipe(&self, config: &Value) {
        let mut pipe = opened(&self.path).await;
        pipe.write_all(config.to_string().as_bytes())
            .expect("a reader");
    }

    /// Waits for its end; its exit code.
    pub async fn wait_for_exit(&mut self) -> Option<i32> {
        wait_for("its end", self.child.wait())
            .await
            .expect("its status")
            .code()
    }

    /// Replaces its configuration file and sends SIGHUP.
    pub async fn reload(&self, config: &str) {
        std::fs::write(&self.path, config).expect("a configuration file");
        self.signal("-HUP").await;
    }

    /// Sends SIGHUP.
    pub async fn send_sighup(&self) {
        self.signal("-HUP").await;
    }

    /// Sends SIGTERM; its exit code.
    pub async fn terminate(&mut self) -> Option<i32> {
        self.signal("-TERM").await;
        self.wait_for_exit().await
    }

    /// Kills it outright.
    pub async fn kill(mut self) {
        self.child.kill().await.expect("its end");
    }

    /// Whether it has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("its status").is_none()
    }

    /// Asks `probe` on a connection of its own.
    pub async fn is_responsive(&self) -> bool {
        let mut peer = Peer::connect(self.address).await;
        peer.send("probe").await;
        wait_for("the answer to probe", peer.line())
            .await
            .as_deref()
            == Some("alive")
    }
}
