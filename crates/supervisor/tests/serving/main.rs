//! The program over sockets: tests start it, act as its peers, and check its log.

mod connections;
mod discovery;
mod health_checks;
mod lifecycle;
mod malformed_input;
mod streams;

#[path = "../common/mod.rs"]
mod common;
