//! `records verify`: reports damaged and missing records, for each directory.

use std::io::Write;
use std::path::PathBuf;

use chutegrade_records::timeline::{self, Supervisor, Timeline, VerificationReport};

use crate::commands::CommandError;

/// Verifies all directories and writes one line for each.
///
/// # Errors
///
/// If a directory cannot be read, or one is damaged or incomplete.
pub fn run(directories: &[PathBuf], output: &mut impl Write) -> Result<(), CommandError> {
    let timeline = Timeline::open(directories)?;
    let mut damaged = 0;
    for supervisor in &timeline.supervisors {
        let verdict = timeline::verify(&supervisor.directory)?;
        if !verdict.is_valid() {
            damaged += 1;
        }
        write_verdict(supervisor, &verdict, output)?;
    }
    if damaged > 0 {
        return Err(CommandError::DamagedRecords {
            damaged,
            directories: timeline.supervisors.len(),
        });
    }
    Ok(())
}

fn write_verdict(
    supervisor: &Supervisor,
    verdict: &VerificationReport,
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
        (verdict.torn_bytes, "bytes of torn tails, left by a crash"),
        (verdict.damaged_bytes, "bytes damaged"),
        (verdict.missing, "records missing"),
        (
            verdict.segments_without_header,
            "segments without a valid header",
        ),
        (
            verdict.mismatched_indexes,
            "indexes that do not match their segments",
        ),
    ];
    for (count, label) in counts {
        if count > 0 {
            write!(output, ", {count} {label}")?;
        }
    }
    let conclusion = if verdict.is_valid() {
        "sound"
    } else {
        "not sound"
    };
    writeln!(output, ": {conclusion}")
}
