//! The supervisor's peers: a module for each kind, and the listener for those that connect to the supervisor.

mod collector_stream;
mod connection;
mod connection_slots;
pub mod discovery;
pub mod health_check;
mod identification;
pub mod listener;
mod malformed_counter;
pub mod proxy_stream;
