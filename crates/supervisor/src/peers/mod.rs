//! The supervisor's peers: one module for each kind, and the listener that accepts those that connect.

mod collector_stream;
mod connection;
mod connection_slots;
pub mod discovery;
pub mod health_check;
mod identification;
pub mod listener;
mod malformed_counter;
pub mod proxy_stream;
