//! The command line: exit codes, one line per fault, and the output.

mod lab;
mod operator_config;
mod records;
mod usage;

use std::ops::Range;
use std::path::Path;
use std::process::{Command, Output, Stdio};

use chutegrade_records::pb::{self, Record};
use chutegrade_records::store::Store;
use chutegrade_records::{frame, Kind};
use prost::Message;

const PROGRAM: &str = env!("CARGO_BIN_EXE_chutegrade");
const MICROS_PER_SECOND: i64 = 1_000_000;

/// The exit code and output of a command.
struct Outcome {
    code: Option<i32>,
    output: String,
    error: String,
}

/// Runs a command.
fn run(arguments: &[&str]) -> Outcome {
    let mut command = Command::new(PROGRAM);
    command
        .args(arguments)
        .env_remove("LB_CONFIG")
        .env_remove("CHUTEGRADE_OPERATOR")
        .stdin(Stdio::null());
    let Output {
        status,
        stdout,
        stderr,
    } = command.output().expect("the program");
    Outcome {
        code: status.code(),
        output: String::from_utf8(stdout).expect("text"),
        error: String::from_utf8(stderr).expect("text"),
    }
}

/// Writes one record for each of these seconds, learned a second later.
fn write_records(directory: &Path, supervisor: &str, seconds: Range<i64>) {
    let mut frames = Vec::new();
    for (second, seq) in seconds.zip(1..) {
        let change = pb::StateChanged {
            server: format!("s-{}", second % 3),
            zone: "a,\"b".into(),
            state: 2,
            ..pb::StateChanged::default()
        };
        let at_us = second * MICROS_PER_SECOND;
        let record = Record {
            seq,
            at_us,
            learned_us: at_us + MICROS_PER_SECOND,
            kind: Some(Kind::StateChanged(change)),
        };
        assert!(frame::put(&mut frames, &record.encode_to_vec()));
    }
    let mut store = Store::open(directory, supervisor).expect("a store");
    store.append(&frames, 1, 0).expect("an append");
}

fn utf8(path: &Path) -> &str {
    path.to_str().expect("a path in UTF-8")
}
