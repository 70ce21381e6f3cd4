//! `records verify`: damage and missing records, for each directory.

use std::io::Write;
use std::path::PathBuf;

use chutegrade_records::timeline::{self, Supervisor, Timeline, VerificationReport};

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
        if !verdict.is_valid() {
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
        (
            verdict.torn_bytes,
            "bytes of torn tails, which a crash leaves",
        ),
        (verdict.damaged_bytes, "bytes damaged"),
        (verdict.missing, "records missing"),
        (verdict.segments_without_header, "segments without a head"),
        (verdict.mismatched_indexes, "indexes that do not fit"),
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
