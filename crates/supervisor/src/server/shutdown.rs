//! The shutdown of the server: connections end and are logged, and the last records are written.

use std::time::{Duration, Instant};

use chutegrade_records::{pb, Kind};

use crate::shared::event_recorder::EventRecorder;
use crate::shared::shutdown::Shutdown;

/// How long connections may take to end and log it once the supervisor stops.
const CONNECTION_DRAIN_TIMEOUT: Duration = Duration::from_millis(250);
/// How long the shutdown may take in total, including the last records: SIGKILL follows no sooner than 0.7 s after SIGTERM.
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
