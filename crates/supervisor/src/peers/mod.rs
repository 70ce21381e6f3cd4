//! The supervisor's peers: one module for each kind, and the listener that accepts those that connect.

pub mod collector_stream;
pub mod discovery;
pub mod health_check;
pub mod listener;
pub mod proxy_stream;
