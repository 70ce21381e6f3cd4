//! Handles that the server's tasks share on their single thread. Each handle has one purpose, and does not depend on
//! `peers`, `protocol` or `server`, which use it.

pub mod clock;
pub mod engine_handle;
pub mod event_recorder;
pub mod shutdown;
pub mod stream_registry;
pub mod subscription_channel;
