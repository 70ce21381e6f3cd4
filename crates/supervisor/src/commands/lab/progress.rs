//! A progress bar on the terminal.

use std::io::IsTerminal as _;

use indicatif::{ProgressBar, ProgressStyle};

const TEMPLATE: &str = "{msg} [{bar:30}] {pos}/{len} runs, {eta} left";

/// Returns a progress bar with the remaining time, hidden unless the error output is a terminal.
pub fn new_bar() -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template(TEMPLATE);
    let bar = ProgressBar::new(0);
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar
}
