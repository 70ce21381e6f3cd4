//! Sets up logging to standard error.

use chutegrade_operator_config::LogFormat;
use tracing::Level;

/// Starts logging in this format, at the level that `LB_LOG` names; the default is `info`.
pub fn init(format: LogFormat) {
    let log = tracing_subscriber::fmt()
        .with_max_level(level_from_env())
        .with_ansi(false)
        .with_target(false)
        .with_writer(std::io::stderr);
    match format {
        LogFormat::Plain => log.init(),
        LogFormat::Json => log
            .json()
            .flatten_event(true)
            .with_current_span(false)
            .init(),
    }
}

fn level_from_env() -> Level {
    std::env::var("LB_LOG")
        .ok()
        .and_then(|level| level.parse().ok())
        .unwrap_or(Level::INFO)
}
