//! Handles that the server's tasks share on their one thread. Each handle has one job and knows nothing of peers,
//! protocols or the server's wiring, which stand above it.

pub mod clock;
pub mod engine_handle;
pub mod event_recorder;
pub mod shutdown;
pub mod stream_registry;
pub mod subscription_channel;
