//! Scripted days of the small fleet: one with every trouble that the report must tell of, and one for a first look, with
//! small troubles of its own now and then.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde_json::{json, Value};
use tokio::time::sleep;

use crate::fleet::{Fleet, ZONES};
use crate::program::{config, Program, Supervisor};
use crate::truth::{Deed, Diary};

/// Names of the supervisors.
pub const SUPERVISORS: [&str; 2] = ["n0", "n1"];
/// Servers a zone, front ends in all, and requests a second at each: a third of what the fleet can do.
const SIZE: (usize, u32, f64) = (5, 8, 40.0);

/// A fleet with its supervisors.
pub struct Stage {
    /// The fleet.
    pub fleet: Arc<Fleet>,
    /// What is done to it.
    pub diary: Diary,
    /// Where everything that is kept goes.
    pub directory: PathBuf,
    program: Program,
    probes: bool,
    supervisors: Vec<Option<Supervisor>>,
}

fn told(fleet: &Fleet, name: &str, probes: bool) -> Value {
    let mut told = config(&fleet.discovery, Some(fleet.discovery.list()), 1024);
    told["name"] = json!(name);
    told["settings"]["peersTotal"] = json!(SUPERVISORS.len());
    told["settings"]["zones"] = json!(ZONES);
    told["settings"]["guarantees"]["coldMs"] = json!(4000.0);
    // As the fleet's collectors and servers do it: sums each second, load with the results of probes alone.
    told["settings"]["familyInfo"]["cycleMs"] = json!(1000.0);
    told["settings"]["familyInfo"]["firstWait"] = json!(1.0);
    told["settings"]["report"]["source"] = json!("pull");
    told["settings"]["limits"]["probes"] = json!(probes);
    told["settings"]["prices"] = json!({"probe": 0.02, "crossZone": 0.01});
    told
}

impl Stage {
    /// Starts fleet and supervisors, whose records go below the directory.
    pub async fn set(program: &Path, directory: &Path, seed: u64) -> Self {
        Stage::set_with(program, directory, seed, "").await
    }

    /// The same with more in the operators' file.
    pub async fn set_with(program: &Path, directory: &Path, seed: u64, more: &str) -> Self {
        Stage::sized(program, directory, SIZE, seed, more).await
    }

    /// The same where servers may not be probed: what probes take on a machine that others use too then says nothing.
    pub async fn unprobed(program: &Path, directory: &Path, seed: u64, more: &str) -> Self {
        Stage::made(program, directory, SIZE, (seed, false), more).await
    }

    /// The same with so many servers a zone, so many front ends, and so many requests a second at each.
    pub async fn sized(
        program: &Path,
        directory: &Path,
        size: (usize, u32, f64),
        seed: u64,
        more: &str,
    ) -> Self {
        Stage::made(program, directory, size, (seed, true), more).await
    }

    async fn made(
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
        let mut stage = Stage {
            fleet,
            diary: Diary::default(),
            directory: directory.to_path_buf(),
            program: Program::new(program, directory).with_operator(operator),
            probes,
            supervisors: Vec::new(),
        };
        for at in 0..SUPERVISORS.len() {
            stage.supervisors.push(None);
            stage.begin(at).await;
        }
        stage.fleet.work(SUPERVISORS.len());
        stage.fleet.tables().await;
        stage
    }

    /// Where the records are.
    pub fn records(&self) -> PathBuf {
        self.directory.join("records")
    }

    /// Starts a supervisor that was killed.
    pub async fn again(&mut self, at: usize) {
        self.begin(at).await;
    }

    async fn begin(&mut self, at: usize) {
        self.diary.note(Deed::Begun {
            supervisor: SUPERVISORS[at].to_string(),
        });
        let supervisor = self
            .program
            .start(&told(&self.fleet, SUPERVISORS[at], self.probes))
            .await;
        self.fleet.addresses.set(at, Some(supervisor.address));
        self.supervisors[at] = Some(supervisor);
    }

    /// Kills a supervisor; `again` starts it anew.
    pub async fn kill(&mut self, at: usize) {
        let Some(supervisor) = self.supervisors[at].take() else {
            return;
        };
        self.diary.note(Deed::Killed {
            supervisor: SUPERVISORS[at].to_string(),
        });
        self.fleet.addresses.set(at, None);
        supervisor.kill().await;
    }

    /// Sends SIGHUP to all supervisors.
    pub async fn reload(&self) {
        for supervisor in self.supervisors.iter().flatten() {
            supervisor.hang_up().await;
        }
    }

    /// Whether every supervisor answers `probe`.
    pub async fn alive(&self) -> bool {
        for supervisor in self.supervisors.iter().flatten() {
            if !supervisor.alive().await {
                return false;
            }
        }
        true
    }

    /// Waits until all supervisors have logged these words so many times.
    pub async fn logs(&self, times: usize, words: &[&str]) {
        for supervisor in self.supervisors.iter().flatten() {
            let what = format!("{times} log lines with {words:?}");
            crate::wait::until(&what, || supervisor.logged(words) >= times).await;
        }
    }

    /// Asks all supervisors to end, one after the other; their exit codes.
    pub async fn end(&mut self) -> Vec<Option<i32>> {
        let mut codes = Vec::new();
        for (at, supervisor) in self.supervisors.iter_mut().enumerate() {
            if let Some(mut supervisor) = supervisor.take() {
                self.diary.note(Deed::Ended {
                    supervisor: SUPERVISORS[at].to_string(),
                });
                self.fleet.addresses.set(at, None);
                codes.push(supervisor.terminate().await);
            }
        }
        codes
    }

    /// Plays a day with every trouble, some 75 seconds. Ends the supervisors, and writes down what was done.
    pub async fn incident(&mut self) -> Vec<Option<i32>> {
        let seconds = |n| sleep(Duration::from_secs(n));
        let (drained, failing, cut) = ("s-a1", "s-b2", "b");
        seconds(6).await;
        self.diary.note(Deed::Drains {
            server: drained.into(),
        });
        self.fleet.drain(drained);
        seconds(3).await;
        self.diary.note(Deed::Removed {
            server: drained.into(),
        });
        self.fleet.remove(drained);
        seconds(2).await;
        self.diary.note(Deed::Fails {
            server: failing.into(),
            on: true,
        });
        self.fleet.fail(failing, true);
        seconds(7).await;
        self.diary.note(Deed::Fails {
            server: failing.into(),
            on: false,
        });
        self.fleet.fail(failing, false);
        seconds(3).await;
        self.diary.note(Deed::Late {
            zone: "a".into(),
            ms: 3000,
        });
        self.fleet.late("a", Duration::from_secs(3));
        seconds(1).await;
        self.diary.note(Deed::Cut {
            zone: cut.into(),
            on: true,
        });
        self.fleet.cut(cut, true);
        seconds(7).await;
        self.diary.note(Deed::Cut {
            zone: cut.into(),
            on: false,
        });
        self.fleet.cut(cut, false);
        seconds(6).await;
        self.diary.note(Deed::Late {
            zone: "a".into(),
            ms: 0,
        });
        self.fleet.late("a", Duration::ZERO);
        for proxy in [2, 4, 6] {
            self.diary.note(Deed::Broken { proxy });
            self.fleet.break_stream(proxy);
        }
        seconds(3).await;
        self.kill(1).await;
        seconds(6).await;
        self.begin(1).await;
        seconds(5).await;
        self.diary.note(Deed::Started {
            server: drained.into(),
        });
        self.fleet.restart(drained);
        seconds(6).await;
        self.diary.note(Deed::Mute { on: true });
        self.fleet.discovery.mute(true);
        seconds(5).await;
        self.diary.note(Deed::Mute { on: false });
        self.fleet.discovery.mute(false);
        seconds(3).await;
        self.diary.note(Deed::Demand { factor: 6.0 });
        self.fleet.demand(6.0);
        seconds(8).await;
        self.diary.note(Deed::Demand { factor: 1.0 });
        self.fleet.demand(1.0);
        seconds(8).await;
        let codes = self.end().await;
        self.diary
            .save(&self.directory.join("truth.jsonl"))
            .expect("the ground truth");
        codes
    }

    /// Small troubles in turn, for as long as it is polled.
    pub async fn trouble(&mut self) {
        let servers = ["s-b3", "s-a4", "s-b1", "s-a2"];
        let seconds = |n| sleep(Duration::from_secs(n));
        for server in servers.iter().cycle() {
            seconds(5).await;
            self.diary.note(Deed::Fails {
                server: server.to_string(),
                on: true,
            });
            self.fleet.fail(server, true);
            seconds(6).await;
            self.diary.note(Deed::Fails {
                server: server.to_string(),
                on: false,
            });
            self.fleet.fail(server, false);
            seconds(6).await;
            self.diary.note(Deed::Demand { factor: 5.0 });
            self.fleet.demand(5.0);
            seconds(5).await;
            self.diary.note(Deed::Demand { factor: 1.0 });
            self.fleet.demand(1.0);
            seconds(8).await;
            self.diary.note(Deed::Drains {
                server: server.to_string(),
            });
            self.fleet.drain(server);
            seconds(4).await;
            self.diary.note(Deed::Removed {
                server: server.to_string(),
            });
            self.fleet.remove(server);
            seconds(2).await;
            self.diary.note(Deed::Started {
                server: server.to_string(),
            });
            self.fleet.restart(server);
            seconds(6).await;
        }
    }
}
