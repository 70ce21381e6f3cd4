//! Waits for events, under a limit that only a hang reaches.

use std::future::Future;
use std::time::Duration;

use tokio::time::{sleep, timeout};

/// No test comes near it unless something hangs.
const LIMIT: Duration = Duration::from_secs(60);

/// Waits for an event.
pub async fn wait_for<T>(what: &str, event: impl Future<Output = T>) -> T {
    timeout(LIMIT, event)
        .await
        .unwrap_or_else(|_| panic!("never came: {what}"))
}

/// Waits until something holds.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let holding = async {
        while !holds() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    wait_for(what, holding).await;
}
