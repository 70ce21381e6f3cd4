//! Scripted days of the small fleet: one with every trouble that the report must tell of, and one for a first look, with
//! small troubles of its own now and then.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde_json::{json, Value};
use tokio::time::sleep;

use crate::fleet::{Fleet, ZONES};
use crate::program::{config, Program, Supervisor};
use crate::truth::{GroundTruthLog, InjectedEvent};

/// Names of the supervisors.
pub const SUPERVISORS: [&str; 2] = ["n0", "n1"];
/// Servers a zone, front ends in all, and requests a second at each: a third of what the fleet can do.
const SIZE: (usize, u32, f64) = (5, 8, 40.0);

/// A fleet with its supervisors.
pub struct EmulatedDeployment {
    /// The fleet.
    pub fleet: Arc<Fleet>,
    /// What is done to it.
    pub ground_truth: GroundTruthLog,
    /// Where everything that is kept goes.
    pub directory: PathBuf,
    program: Program,
    probes: bool,
    supervisors: Vec<Option<Supervisor>>,
}

fn configuration_of(fleet: &Fleet, name: &str, probes: bool) -> Value {
    let mut configuration = config(&fleet.discovery, Some(fleet.discovery.list()), 1024);
    configuration["name"] = json!(name);
    configuration["settings"]["peersTotal"] = json!(SUPERVISORS.len());
    configuration["settings"]["zones"] = json!(ZONES);
    configuration["settings"]["guarantees"]["coldMs"] = json!(4000.0);
    // As the fleet's collectors and servers do it: sums each second, load with the results of probes alone.
    configuration["settings"]["familyInfo"]["cycleMs"] = json!(1000.0);
    configuration["settings"]["familyInfo"]["firstWait"] = json!(1.0);
    configuration["settings"]["report"]["source"] = json!("pull");
    configuration["settings"]["limits"]["probes"] = json!(probes);
    configuration["settings"]["prices"] = json!({"probe": 0.02, "crossZone": 0.01});
    configuration
}

impl EmulatedDeployment {
    /// Starts fleet and supervisors, whose records go below the directory.
    pub async fn start(program: &Path, directory: &Path, seed: u64) -> Self {
        EmulatedDeployment::start_with_operator_config(program, directory, seed, "").await
    }

    /// The same with more in the operators' file.
    pub async fn start_with_operator_config(
        program: &Path,
        directory: &Path,
        seed: u64,
        more: &str,
    ) -> Self {
        EmulatedDeployment::start_with_size(program, directory, SIZE, seed, more).await
    }

    /// The same where servers may not be probed: what probes take on a machine that others use too then says nothing.
    pub async fn start_without_health_checks(
        program: &Path,
        directory: &Path,
        seed: u64,
        more: &str,
    ) -> Self {
        EmulatedDeployment::start_configured(program, directory, SIZE, (seed, false), more).await
    }

    /// The same with so many servers a zone, so many front ends, and so many requests a second at each.
    pub async fn start_with_size(
        program: &Path,
        directory: &Path,
        size: (usize, u32, f64),
        seed: u64,
        more: &str,
    ) -> Self {
        EmulatedDeployment::start_configured(program, directory, size, (seed, true), more).await
    }

    async fn start_configured(
        program: &Path,
        directory: &Path,
        size: (usize, u32, f64),
        (seed, probes): (u64, bool),
        more: &str,
    ) -> Self {
        let records = directory.join("records");
        std::fs::create_dir_all(&records).expect("a directory");
        let operator = directory.join("operator.txtpb");
        let absolute = std::fs::canonicalize(&records).expect("the directory just made");
        let text = format!(
            "records {{ directory: {:?} }}\n{more}\n",
            absolute.display().to_string()
        );
        std::fs::write(&operator, text).expect("an operators' file");
        let fleet = Fleet::start(size.0, size.1, size.2, seed).await;
        let mut stage = EmulatedDeployment {
            fleet,
            ground_truth: GroundTruthLog::default(),
            directory: directory.to_path_buf(),
            program: Program::new(program, directory).with_operator(operator),
            probes,
            supervisors: Vec::new(),
        };
        for at in 0..SUPERVISORS.len() {
            stage.supervisors.push(None);
            stage.start_supervisor(at).await;
        }
        stage.fleet.start_traffic(SUPERVISORS.len());
        stage.fleet.wait_for_tables().await;
        stage
    }

    /// Where the records are.
    pub fn records(&self) -> PathBuf {
        self.directory.join("records")
    }

    /// Starts a supervisor that was killed.
    pub async fn restart_supervisor(&mut self, at: usize) {
        self.start_supervisor(at).await;
    }

    async fn start_supervisor(&mut self, at: usize) {
        self.ground_truth.record(InjectedEvent::Begun {
            supervisor: SUPERVISORS[at].to_string(),
        });
        let supervisor = self
            .program
            .start(&configuration_of(&self.fleet, SUPERVISORS[at], self.probes))
            .await;
        self.fleet.addresses.set(at, Some(supervisor.address));
        self.supervisors[at] = Some(supervisor);
    }

    /// Kills a supervisor; `again` starts it anew.
    pub async fn kill_supervisor(&mut self, at: usize) {
        let Some(supervisor) = self.supervisors[at].take() else {
            return;
        };
        self.ground_truth.record(InjectedEvent::Killed {
            supervisor: SUPERVISORS[at].to_string(),
        });
        self.fleet.addresses.set(at, None);
        supervisor.kill().await;
    }

    /// Sends SIGHUP to all supervisors.
    pub async fn reload(&self) {
        for supervisor in self.supervisors.iter().flatten() {
            supervisor.send_sighup().await;
        }
    }

    /// Whether every supervisor answers `probe`.
    pub async fn is_responsive(&self) -> bool {
        for supervisor in self.supervisors.iter().flatten() {
            if !supervisor.is_responsive().await {
                return false;
            }
        }
        true
    }

    /// Waits until all supervisors have logged these words so many times.
    pub async fn wait_for_log_lines(&self, times: usize, words: &[&str]) {
        for supervisor in self.supervisors.iter().flatten() {
            let what = format!("{times} log lines with {words:?}");
            crate::wait::until(&what, || supervisor.count_log_lines(words) >= times).await;
        }
    }

    /// Asks all supervisors to end, one after the other; their exit codes.
    pub async fn terminate(&mut self) -> Vec<Option<i32>> {
        let mut codes = Vec::new();
        for (at, supervisor) in self.supervisors.iter_mut().enumerate() {
            if let Some(mut supervisor) = supervisor.take() {
                self.ground_truth.record(InjectedEvent::Ended {
                    supervisor: SUPERVISORS[at].to_string(),
                });
                self.fleet.addresses.set(at, None);
                codes.push(supervisor.terminate().await);
            }
        }
        codes
    }

    /// Plays a day with every trouble, some 75 seconds. Ends the supervisors, and writes down what was done.
    pub async fn run_incident(&mut self) -> Vec<Option<i32>> {
        let seconds = |n| sleep(Duration::from_secs(n));
        let (drained, failing, cut) = ("s-a1", "s-b2", "b");
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
            zone: cut.into(),
            on: true,
        });
        self.fleet.set_partitioned(cut, true);
        seconds(7).await;
        self.ground_truth.record(InjectedEvent::Cut {
            zone: cut.into(),
            on: false,
        });
        self.fleet.set_partitioned(cut, false);
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

    /// Small troubles in turn, for as long as it is polled.
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
