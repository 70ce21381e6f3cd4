//! `records verify`: damage and missing records, for each directory.

use std::io::Write;
use std::path::PathBuf;

use chutegrade_records::timeline::{self, Supervisor, Timeline, Verdict};

use crate::commands::CommandError;

/// Verifies all directories and writes a line for each.
///
/// # Errors
///
/// If a directory cannot be read, or any is not sound.
pub fn run(directories: &[PathBuf], output: &mut impl Write) -> Result<(), CommandError> {
    let timeline = Timeline::open(directories)?;
    let mut unsound = 0;
    for supervisor in &timeline.supervisors {
        let verdict = timeline::verify(&supervisor.directory)?;
        if !verdict.sound() {
            unsound += 1;
        }
        write_verdict(supervisor, &verdict, output)?;
    }
    if unsound > 0 {
        return Err(CommandError::UnsoundRecords {
            unsound,
            directories: timeline.supervisors.len(),
        });
    }
    Ok(())
}

fn write_verdict(
    supervisor: &Supervisor,
    verdict: &Verdict,
    output: &mut impl Write,
) -> std::io::Result<()> {
    let directory = supervisor.directory.display();
    let (records, segments) = (verdict.records, verdict.segments);
    write!(
        output,
        "{directory}: {records} records in {segments} segments"
    )?;
    let counts = [
        (verdict.newer, "of a newer version"),
        (
            verdict.torn_bytes,
            "bytes of torn tails, which a crash leaves",
        ),
        (verdict.damaged_bytes, "bytes damaged"),
        (verdict.missing, "records missing"),
        (verdict.headless, "segments without a head"),
        (verdict.wrong_indexes, "indexes that do not fit"),
    ];
    for (count, label) in counts {
        if count > 0 {
            write!(output, ", {count} {label}")?;
        }
    }
    let conclusion = if verdict.sound() {
        "sound"
    } else {
        "not sound"
    };
    writeln!(output, ": {conclusion}")
}
