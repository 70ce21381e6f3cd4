//! `plugin check`: compiles plug-ins and shows every fault with its position.

use std::io::Write;
use std::path::PathBuf;

use chutegrade_plugins::{compile, Program};

use crate::commands::files::read_texts;
use crate::commands::CommandError;

/// Compiles all files.
///
/// # Errors
///
/// If a file cannot be read, or any has a fault.
pub fn run(files: &[PathBuf], output: &mut impl Write) -> Result<(), CommandError> {
    let mut fault_count = 0;
    for source in read_texts(files)? {
        match compile(&source.text) {
            Ok(program) => write_summary(&source.name, &program, output)?,
            Err(diagnostics) => {
                fault_count += diagnostics.len();
                for diagnostic in diagnostics {
                    let rendered = diagnostic.render(&source.name, &source.text);
                    write!(output, "{rendered}")?;
                }
            }
        }
    }
    if fault_count > 0 {
        return Err(CommandError::FaultsListed(fault_count));
    }
    Ok(())
}

fn write_summary(file: &str, program: &Program, output: &mut impl Write) -> std::io::Result<()> {
    let functions = program.functions.iter();
    let operations: usize = functions.map(|function| function.code.len()).sum();
    let (name, version) = (&program.name, program.version);
    writeln!(
        output,
        "{file}: {name} version {version}, {operations} operations, valid"
    )
}
