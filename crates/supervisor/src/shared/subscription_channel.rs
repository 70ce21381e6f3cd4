//! Carries the engine's discovery subscription from the tick loop to the discovery client.

use chutegrade_engine::DiscoverySubscription;
use tokio::sync::watch;

/// The subscription that is wanted now; a requested fetch stays until it is acknowledged.
#[derive(Debug, Default)]
pub struct SubscriptionChannel {
    wanted: watch::Sender<DiscoverySubscription>,
}

impl SubscriptionChannel {
    /// Sets the subscription that is wanted from now on. Receivers are notified of a fetch and of a change of the watch.
    pub fn request(&self, subscription: DiscoverySubscription) {
        self.wanted.send_if_modified(|wanted| {
            let modified = subscription.fetch || subscription.watch != wanted.watch;
            *wanted = DiscoverySubscription {
                watch: subscription.watch,
                fetch: wanted.fetch || subscription.fetch,
            };
            modified
        });
    }

    /// The requested fetch is being carried out: forgets it without notifying receivers.
    pub fn acknowledge_fetch(&self) {
        self.wanted.send_if_modified(|wanted| {
            wanted.fetch = false;
            false
        });
    }

    /// A receiver that is notified of requests.
    pub fn subscribe(&self) -> watch::Receiver<DiscoverySubscription> {
        self.wanted.subscribe()
    }
}
