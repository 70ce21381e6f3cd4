//! Fault scripts for the small fleet: an incident with every kind of fault that the report must show, and recurring
//! small faults for the demo.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde_json::{json, Value};
use tokio::time::sleep;

use crate::fleet::{Fleet, ZONES};
use crate::program::{config, Program, Supervisor};
use crate::truth::{GroundTruthLog, InjectedEvent};

/// Names of the supervisors, as in their records.
pub const SUPERVISORS: [&str; 2] = ["n0", "n1"];
/// Servers in each zone.
const SERVERS_PER_ZONE: usize = 5;
/// Proxies in both zones together.
const PROXIES: u32 = 8;
/// Requests per second at each proxy; in total a third of the fleet's capacity.
const REQUESTS_PER_S: f64 = 40.0;

/// An emulated fleet with its supervisors.
pub struct EmulatedDeployment {
    /// Its discovery agent, servers, proxies and collectors.
    pub fleet: Arc<Fleet>,
    /// Records the injected events.
    pub ground_truth: GroundTruthLog,
    /// Directory for the records, the operator configuration and the ground truth.
    pub directory: PathBuf,
    program: Program,
    uses_health_checks: bool,
    supervisors: Vec<Option<Supervisor>>,
}

fn configuration_of(fleet: &Fleet, name: &str, uses_health_checks: bool) -> Value {
    let mut configuration = config(&fleet.discovery, Some(fleet.discovery.list()), 1024);
    configuration["name"] = json!(name);
    configuration["settings"]["peersTotal"] = json!(SUPERVISORS.len());
    configuration["settings"]["zones"] = json!(ZONES);
    configuration["settings"]["guarantees"]["coldMs"] = json!(4000.0);
    // Matches the emulators: collectors send sums every second, and servers report load only in health checks.
    configuration["settings"]["familyInfo"]["cycleMs"] = json!(1000.0);
    configuration["settings"]["familyInfo"]["firstWait"] = json!(1.0);
    configuration["settings"]["report"]["source"] = json!("pull");
    configuration["settings"]["limits"]["probes"] = json!(uses_health_checks);
    configuration["settings"]["prices"] = json!({"probe": 0.02, "crossZone": 0.01});
    configuration
}

impl EmulatedDeployment {
    /// Starts the fleet and the supervisors, with records below the directory.
    pub async fn start(program: &Path, directory: &Path, seed: u64) -> Self {
        EmulatedDeployment::start_with_operator_config(program, directory, seed, "").await
    }

    /// Starts a deployment with additional text in the operator configuration.
    pub async fn start_with_operator_config(
        program: &Path,
        directory: &Path,
        seed: u64,
        operator_config: &str,
    ) -> Self {
        EmulatedDeployment::start_with_size(
            program,
            directory,
            (SERVERS_PER_ZONE, PROXIES, REQUESTS_PER_S),
            seed,
            operator_config,
        )
        .await
    }

    /// Starts a deployment without health checks, whose latency on a shared machine would be noise.
    pub async fn start_without_health_checks(
        program: &Path,
        directory: &Path,
        seed: u64,
        operator_config: &str,
    ) -> Self {
        EmulatedDeployment::start_configured(
            program,
            directory,
            (SERVERS_PER_ZONE, PROXIES, REQUESTS_PER_S),
            (seed, false),
            operator_config,
        )
        .await
    }

    /// Starts a deployment of this size: servers in each zone, proxies in total, requests per second at each proxy.
    pub async fn start_with_size(
        program: &Path,
        directory: &Path,
        size: (usize, u32, f64),
        seed: u64,
        operator_config: &str,
    ) -> Self {
        EmulatedDeployment::start_configured(
            program,
            directory,
            size,
            (seed, true),
            operator_config,
        )
        .await
    }

    async fn start_configured(
        program: &Path,
        directory: &Path,
        size: (usize, u32, f64),
        (seed, uses_health_checks): (u64, bool),
        operator_config: &str,
    ) -> Self {
        let records = directory.join("records");
        std::fs::create_dir_all(&records).expect("a directory");
        let operator_file = directory.join("operator.txtpb");
        let records_path = std::fs::canonicalize(&records).expect("the directory just made");
        let text = format!(
            "records {{ directory: {:?} }}\n{operator_config}\n",
            records_path.display().to_string()
        );
        std::fs::write(&operator_file, text).expect("an operator configuration");
        let fleet = Fleet::start(size.0, size.1, size.2, seed).await;
        let mut deployment = EmulatedDeployment {
            fleet,
            ground_truth: GroundTruthLog::default(),
            directory: directory.to_path_buf(),
            program: Program::new(program, directory).with_operator(operator_file),
            uses_health_checks,
            supervisors: Vec::new(),
        };
        for index in 0..SUPERVISORS.len() {
            deployment.supervisors.push(None);
            deployment.start_supervisor(index).await;
        }
        deployment.fleet.start_traffic(SUPERVISORS.len());
        deployment.fleet.wait_for_tables().await;
        deployment
    }

    /// Returns the directory of the records.
    pub fn records(&self) -> PathBuf {
        self.directory.join("records")
    }

    /// Starts a supervisor after [`Self::kill_supervisor`].
    pub async fn restart_supervisor(&mut self, index: usize) {
        self.start_supervisor(index).await;
    }

    async fn start_supervisor(&mut self, index: usize) {
        self.ground_truth.record(InjectedEvent::Begun {
            supervisor: SUPERVISORS[index].to_string(),
        });
        let supervisor = self
            .program
            .start(&configuration_of(
                &self.fleet,
                SUPERVISORS[index],
                self.uses_health_checks,
            ))
            .await;
        self.fleet.addresses.set(index, Some(supervisor.address));
        self.supervisors[index] = Some(supervisor);
    }

    /// Kills a supervisor, if it runs.
    pub async fn kill_supervisor(&mut self, index: usize) {
        let Some(supervisor) = self.supervisors[index].take() else {
            return;
        };
        self.ground_truth.record(InjectedEvent::Killed {
            supervisor: SUPERVISORS[index].to_string(),
        });
        self.fleet.addresses.set(index, None);
        supervisor.kill().await;
    }

    /// Sends SIGHUP to all supervisors.
    pub async fn reload(&self) {
        for supervisor in self.supervisors.iter().flatten() {
            supervisor.send_sighup().await;
        }
    }

    /// Whether every running supervisor answers `probe`.
    pub async fn is_responsive(&self) -> bool {
        for supervisor in self.supervisors.iter().flatten() {
            if !supervisor.is_responsive().await {
                return false;
            }
        }
        true
    }

    /// Waits until each supervisor has logged `times` lines that contain all of these words.
    pub async fn wait_for_log_lines(&self, times: usize, words: &[&str]) {
        for supervisor in self.supervisors.iter().flatten() {
            let description = format!("{times} log lines with {words:?}");
            crate::wait::until(&description, || supervisor.count_log_lines(words) >= times).await;
        }
    }

    /// Sends SIGTERM to the supervisors one after the other; returns their exit codes.
    pub async fn terminate(&mut self) -> Vec<Option<i32>> {
        let mut codes = Vec::new();
        for (index, supervisor) in self.supervisors.iter_mut().enumerate() {
            if let Some(mut supervisor) = supervisor.take() {
                self.ground_truth.record(InjectedEvent::Ended {
                    supervisor: SUPERVISORS[index].to_string(),
                });
                self.fleet.addresses.set(index, None);
                codes.push(supervisor.terminate().await);
            }
        }
        codes
    }

    /// Runs an incident with every kind of fault, about 80 s long. Terminates the supervisors, saves the ground truth,
    /// and returns the exit codes.
    pub async fn run_incident(&mut self) -> Vec<Option<i32>> {
        let seconds = |n| sleep(Duration::from_secs(n));
        let (drained, failing, partitioned_zone) = ("s-a1", "s-b2", "b");
        seconds(6).await;
        self.ground_truth.record(InjectedEvent::Drains {
            server: drained.into(),
        });
        self.fleet.drain(drained);
        seconds(3).await;
        self.ground_truth.record(InjectedEvent::Removed {
            server: drained.into(),
        });
        self.fleet.remove(drained);
        seconds(2).await;
        self.ground_truth.record(InjectedEvent::Fails {
            server: failing.into(),
            on: true,
        });
        self.fleet.set_failing(failing, true);
        seconds(7).await;
        self.ground_truth.record(InjectedEvent::Fails {
            server: failing.into(),
            on: false,
        });
        self.fleet.set_failing(failing, false);
        seconds(3).await;
        self.ground_truth.record(InjectedEvent::Late {
            zone: "a".into(),
            ms: 3000,
        });
        self.fleet.set_report_delay("a", Duration::from_secs(3));
        seconds(1).await;
        self.ground_truth.record(InjectedEvent::Cut {
            zone: partitioned_zone.into(),
            on: true,
        });
        self.fleet.set_partitioned(partitioned_zone, true);
        seconds(7).await;
        self.ground_truth.record(InjectedEvent::Cut {
            zone: partitioned_zone.into(),
            on: false,
        });
        self.fleet.set_partitioned(partitioned_zone, false);
        seconds(6).await;
        self.ground_truth.record(InjectedEvent::Late {
            zone: "a".into(),
            ms: 0,
        });
        self.fleet.set_report_delay("a", Duration::ZERO);
        for proxy in [2, 4, 6] {
            self.ground_truth.record(InjectedEvent::Broken { proxy });
            self.fleet.break_stream(proxy);
        }
        seconds(3).await;
        self.kill_supervisor(1).await;
        seconds(6).await;
        self.start_supervisor(1).await;
        seconds(5).await;
        self.ground_truth.record(InjectedEvent::Started {
            server: drained.into(),
        });
        self.fleet.restart(drained);
        seconds(6).await;
        self.ground_truth.record(InjectedEvent::Mute { on: true });
        self.fleet.discovery.set_silent(true);
        seconds(5).await;
        self.ground_truth.record(InjectedEvent::Mute { on: false });
        self.fleet.discovery.set_silent(false);
        seconds(3).await;
        self.ground_truth
            .record(InjectedEvent::Demand { factor: 6.0 });
        self.fleet.set_demand_factor(6.0);
        seconds(8).await;
        self.ground_truth
            .record(InjectedEvent::Demand { factor: 1.0 });
        self.fleet.set_demand_factor(1.0);
        seconds(8).await;
        let codes = self.terminate().await;
        self.ground_truth
            .save(&self.directory.join("truth.jsonl"))
            .expect("the ground truth");
        codes
    }

    /// Injects small faults in turn until the future is dropped.
    pub async fn inject_recurring_faults(&mut self) {
        let servers = ["s-b3", "s-a4", "s-b1", "s-a2"];
        let seconds = |n| sleep(Duration::from_secs(n));
        for server in servers.iter().cycle() {
            seconds(5).await;
            self.ground_truth.record(InjectedEvent::Fails {
                server: server.to_string(),
                on: true,
            });
            self.fleet.set_failing(server, true);
            seconds(6).await;
            self.ground_truth.record(InjectedEvent::Fails {
                server: server.to_string(),
                on: false,
            });
            self.fleet.set_failing(server, false);
            seconds(6).await;
            self.ground_truth
                .record(InjectedEvent::Demand { factor: 5.0 });
            self.fleet.set_demand_factor(5.0);
            seconds(5).await;
            self.ground_truth
                .record(InjectedEvent::Demand { factor: 1.0 });
            self.fleet.set_demand_factor(1.0);
            seconds(8).await;
            self.ground_truth.record(InjectedEvent::Drains {
                server: server.to_string(),
            });
            self.fleet.drain(server);
            seconds(4).await;
            self.ground_truth.record(InjectedEvent::Removed {
                server: server.to_string(),
            });
            self.fleet.remove(server);
            seconds(2).await;
            self.ground_truth.record(InjectedEvent::Started {
                server: server.to_string(),
            });
            self.fleet.restart(server);
            seconds(6).await;
        }
    }
}
