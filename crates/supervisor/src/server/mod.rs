//! The supervisor's server: wires the components on one thread, ticks the engine, and shuts down at SIGTERM.

mod errors;
mod fleet_series;
mod handles;
mod logging;
mod overload_control;
mod parameters;
mod plugins;
mod reload;
mod shutdown;
mod signals;
mod startup;
mod tasks;
mod tick_loop;

pub use startup::run;
