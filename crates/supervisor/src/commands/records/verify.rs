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
        let report = timeline::verify(&supervisor.directory)?;
        if !report.is_valid() {
            damaged += 1;
        }
        write_report(supervisor, &report, output)?;
    }
    if damaged > 0 {
        return Err(CommandError::DamagedRecords {
            damaged,
            directories: timeline.supervisors.len(),
        });
    }
    Ok(())
}

fn write_report(
    supervisor: &Supervisor,
    report: &VerificationReport,
    output: &mut impl Write,
) -> std::io::Result<()> {
    let directory = supervisor.directory.display();
    let (records, segments) = (report.records, report.segments);
    write!(
        output,
        "{directory}: {records} records in {segments} segments"
    )?;
    let counts = [
        (report.newer, "of a newer version"),
        (report.torn_bytes, "bytes of torn tails, left by a crash"),
        (report.damaged_bytes, "bytes damaged"),
        (report.missing, "records missing"),
        (
            report.segments_without_header,
            "segments without a valid header",
        ),
        (
            report.mismatched_indexes,
            "indexes that do not match their segments",
        ),
    ];
    for (count, label) in counts {
        if count > 0 {
            write!(output, ", {count} {label}")?;
        }
    }
    let conclusion = if report.is_valid() {
        "sound"
    } else {
        "not sound"
    };
    writeln!(output, ": {conclusion}")
}
