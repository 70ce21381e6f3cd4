//! Carries the engine's discovery subscription from the tick loop to the discovery client.

use chutegrade_engine::DiscoverySubscription;
use tokio::sync::watch;

/// The current subscription; a requested fetch stays pending until it is acknowledged.
#[derive(Debug, Default)]
pub struct SubscriptionChannel {
    requested: watch::Sender<DiscoverySubscription>,
}

impl SubscriptionChannel {
    /// Replaces the subscription. Receivers are notified of a fetch and of a change of the watch.
    pub fn request(&self, subscription: DiscoverySubscription) {
        self.requested.send_if_modified(|requested| {
            let modified = subscription.fetch || subscription.watch != requested.watch;
            *requested = DiscoverySubscription {
                watch: subscription.watch,
                fetch: requested.fetch || subscription.fetch,
            };
            modified
        });
    }

    /// Clears the pending fetch, which is about to start, without notifying receivers.
    pub fn acknowledge_fetch(&self) {
        self.requested.send_if_modified(|requested| {
            requested.fetch = false;
            false
        });
    }

    /// Returns a receiver that is notified of requests.
    pub fn subscribe(&self) -> watch::Receiver<DiscoverySubscription> {
        self.requested.subscribe()
    }
}
