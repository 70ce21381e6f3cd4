//! Shuts down the server: ends and logs connections, and writes the last records.

use std::time::{Duration, Instant};

use chutegrade_records::{pb, Kind};

use crate::shared::event_recorder::EventRecorder;
use crate::shared::shutdown::Shutdown;

/// Maximum time for connections to end and be logged at shutdown.
const CONNECTION_DRAIN_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum duration of the shutdown, including the last records: SIGKILL follows no sooner than 0.7 s after SIGTERM.
const SHUTDOWN_DEADLINE: Duration = Duration::from_millis(600);

/// Ends all connections and writes the last records.
pub async fn shut_down(shutdown: &Shutdown, recorder: &EventRecorder, requested_at: Instant) {
    shutdown.request();
    shutdown.drain_connections(CONNECTION_DRAIN_TIMEOUT).await;
    recorder.record(Kind::Stopped(pb::Stopped {
        reason: "SIGTERM".to_string(),
    }));
    recorder.close(SHUTDOWN_DEADLINE.saturating_sub(requested_at.elapsed()));
}
