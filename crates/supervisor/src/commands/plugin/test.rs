//! `plugin test`: runs the test cases in plug-ins.

use std::io::Write;
use std::path::PathBuf;

use chutegrade_plugins::{cases, compile, Program};
use chutegrade_records::text::printable;

use crate::commands::files::{read_texts, SourceText};
use crate::commands::CommandError;

/// Runs the test cases of all files.
///
/// # Errors
///
/// If a file cannot be read or compiled, or a case fails.
pub fn run(files: &[PathBuf], output: &mut impl Write) -> Result<(), CommandError> {
    let mut total = 0;
    let mut failed = 0;
    for source in read_texts(files)? {
        let program = compile_source(&source)?;
        for (case, outcome) in cases::run(&program) {
            total += 1;
            if outcome.is_err() {
                failed += 1;
            }
            write_outcome(&source.name, &case, outcome, output)?;
        }
    }
    writeln!(output, "{total} cases, {failed} failed")?;
    if failed > 0 {
        return Err(CommandError::CasesFailed { failed, total });
    }
    Ok(())
}

fn compile_source(source: &SourceText) -> Result<Program, CommandError> {
    compile(&source.text).map_err(|diagnostics| match diagnostics.first() {
        Some(diagnostic) => CommandError::PluginRejected {
            file: source.name.clone(),
            diagnostic: diagnostic.to_string(),
        },
        None => CommandError::PluginUnreadable(source.name.clone()),
    })
}

fn write_outcome(
    file: &str,
    case: &str,
    outcome: Result<(), String>,
    output: &mut impl Write,
) -> std::io::Result<()> {
    let case = printable(case);
    match outcome {
        Ok(()) => writeln!(output, "{file}: {case} ... ok"),
        Err(reason) => {
            let reason = printable(&reason);
            writeln!(output, "{file}: {case} ... FAILED: {reason}")
        }
    }
}
