//! `levels show`: prints the service levels with their conditions.

use std::io::Write;

use chutegrade_limits::service_levels::ServiceLevel;
use chutegrade_records::text::duration;

use super::source::load;
use crate::commands::arguments::LevelsSource;
use crate::commands::CommandError;

/// Writes all levels, the mildest first, and how missing signals are handled.
///
/// # Errors
///
/// If the levels cannot be read.
pub fn run(source: &LevelsSource, output: &mut impl Write) -> Result<(), CommandError> {
    let levels = load(source)?;
    for (number, level) in (1..).zip(&levels.levels) {
        write_level(number, level, output)?;
    }
    writeln!(
        output,
        "signals older than {} count as missing; without signals a level lasts {}; signals that depend on the endpoint list are \
         overruled after {} of recovery",
        duration(levels.max_signal_age_us),
        duration(levels.signal_loss_timeout_us),
        duration(levels.endpoint_list_timeout_us)
    )?;
    Ok(())
}

fn write_level(
    number: usize,
    level: &ServiceLevel,
    output: &mut impl Write,
) -> std::io::Result<()> {
    let admitted: Vec<String> = level
        .admitted_shares
        .iter()
        .map(|admitted| format!("{:.0} % of {}", 100.0 * admitted.share, admitted.class))
        .collect();
    let (name, admitted) = (&level.name, admitted.join(", "));
    writeln!(output, "{number} {name}: keeps {admitted}")?;
    writeln!(output, "    entered when {}", level.enter)?;
    let (leave, min_duration) = (&level.leave, duration(level.min_duration_us));
    writeln!(
        output,
        "    left when {leave}, after at least {min_duration}"
    )?;
    if !level.notify.is_empty() {
        writeln!(output, "    notifies: {}", level.notify.join(", "))?;
    }
    Ok(())
}
