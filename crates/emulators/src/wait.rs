//! Waits for events with a timeout that only a hang reaches.

use std::future::Future;
use std::time::Duration;

use tokio::time::{sleep, timeout};

/// Far longer than any wait in a test that does not hang.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Waits for an event; panics with its description after the timeout.
pub async fn wait_for<T>(description: &str, event: impl Future<Output = T>) -> T {
    timeout(TIMEOUT, event)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting for {description}"))
}

/// Waits until a condition is met; panics with its description after the timeout.
pub async fn until(description: &str, mut is_met: impl FnMut() -> bool) {
    let condition = async {
        while !is_met() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    wait_for(description, condition).await;
}
