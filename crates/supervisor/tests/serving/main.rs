//! The program over sockets: it is started, spoken to as by its peers, and asked what it logged.

mod connections;
mod discovery;
mod health_checks;
mod lifecycle;
mod malformed_input;
mod streams;

#[path = "../common/mod.rs"]
mod common;
