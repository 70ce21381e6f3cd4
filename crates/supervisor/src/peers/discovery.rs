//! Discovery client: follows the endpoint list with a watch, or makes the calls that the engine requests one by one.

mod endpoint_cache;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chutegrade_engine::{DiscoverySubscription, EndpointUpdateKind, Report};
use chutegrade_records::{pb, Kind};
use futures_util::TryStreamExt;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::Response;
use tokio::io::AsyncRead;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::io::StreamReader;

use crate::protocol::disconnect::DisconnectReason;
use crate::protocol::endpoint_delivery::{decode_delivery, CachedEndpointList, EndpointDelivery};
use crate::protocol::http::{self, Destination};
use crate::protocol::line_reader::LineReader;
use crate::protocol::peer_kind::PeerKind;
use crate::shared::engine_handle::EngineHandle;
use crate::shared::event_recorder::EventRecorder;
use crate::shared::shutdown::Shutdown;
use crate::shared::subscription_channel::SubscriptionChannel;

use endpoint_cache::EndpointCache;

/// Idle timeout of a watch: agents send an empty line every 2 s, and changes have to arrive within 6 s.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_millis(3000);
/// Timeout for the body of the complete list.
const BODY_TIMEOUT: Duration = Duration::from_millis(3000);
/// Timeout for opening a connection to discovery, and for the head of its response: the agent is on the same machine.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum length of an endpoint list, in bytes: far beyond the largest fleet, and within the memory of a supervisor.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;
/// Backoff after the first failed call; it doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Dependencies of the discovery client.
pub struct DiscoveryContext {
    /// Receives endpoint lists.
    pub engine: EngineHandle,
    /// Ends connections at shutdown.
    pub shutdown: Shutdown,
    /// Records when discovery becomes unavailable or available.
    pub recorder: EventRecorder,
    /// The discovery subscription that the engine requests.
    pub subscriptions: Rc<SubscriptionChannel>,
}

/// Follows the endpoint list and reports it to the engine.
pub struct DiscoveryClient {
    context: DiscoveryContext,
    /// Address of the discovery agent, which a reload may change.
    address: watch::Receiver<SocketAddr>,
    /// Whether the engine requests each call separately.
    is_on_request: bool,
    cache: EndpointCache,
    backoff: Duration,
    is_unavailable: bool,
    /// Whether the complete list has to be fetched first: the address of discovery has changed and endpoints may have other
    /// addresses there, or the engine requested a fetch.
    needs_snapshot: bool,
    /// Whether the last watch reached its idle timeout. The complete list is then fetched once: with several such watches in
    /// a row, changes would arrive later than the rules allow.
    watch_timed_out: bool,
    /// Whether the engine was notified that an answer is outstanding. It was when the client is created.
    is_answer_pending: bool,
}

/// Returns the report that discovery has yet to answer.
pub fn discovery_pending() -> Report {
    Report::EndpointList(EndpointUpdateKind::Pending, Vec::new())
}

impl DiscoveryClient {
    /// Creates a client that starts from a cached endpoint list, if there is one.
    pub fn new(
        context: DiscoveryContext,
        address: watch::Receiver<SocketAddr>,
        cached: Option<CachedEndpointList>,
        is_on_request: bool,
    ) -> Self {
        DiscoveryClient {
            context,
            address,
            is_on_request,
            cache: EndpointCache::new(cached),
            backoff: MIN_BACKOFF,
            is_unavailable: false,
            needs_snapshot: false,
            watch_timed_out: false,
            is_answer_pending: true,
        }
    }

    /// Runs until the supervisor stops. When the address of discovery changes, requests in flight are cancelled at once; the
    /// list stays unchanged until the new agent delivers.
    pub async fn run(mut self) {
        let mut subscription = self.context.subscriptions.subscribe();
        let mut address = self.address.clone();
        loop {
            tokio::select! {
                () = self.follow_subscription(&mut subscription) => {}
                Ok(()) = address.changed() => self.handle_address_change(),
            }
        }
    }

    /// Resets the state that depends on the agent.
    fn handle_address_change(&mut self) {
        self.backoff = MIN_BACKOFF;
        self.needs_snapshot = true;
        self.is_unavailable = false;
        self.cache.reset_staleness();
    }

    /// Makes the call that the engine requests, until it completes, fails or is superseded. Backs off after a failure.
    async fn follow_subscription(
        &mut self,
        subscription: &mut watch::Receiver<DiscoverySubscription>,
    ) {
        let requested = *subscription.borrow_and_update();
        if !requested.watch && !requested.fetch {
            let _ = subscription.changed().await;
            return;
        }
        if requested.fetch {
            self.context.subscriptions.acknowledge_fetch();
        }
        let Err(reason) = self.call(requested, subscription).await else {
            return;
        };
        self.watch_timed_out = reason == DisconnectReason::IdleTimeout && !self.is_on_request;
        self.mark_unavailable(reason);
        if self.is_on_request {
            // The engine decides when to retry.
            let unavailable = EndpointUpdateKind::Unavailable;
            self.context
                .engine
                .report(Report::EndpointList(unavailable, Vec::new()));
            let _ = subscription.changed().await;
        }
        sleep(self.backoff).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Makes the call that is due: a fetch, a fetch after a watch that timed out, or a watch.
    async fn call(
        &mut self,
        requested: DiscoverySubscription,
        subscription: &mut watch::Receiver<DiscoverySubscription>,
    ) -> Result<(), DisconnectReason> {
        // If the engine requests each call separately, a failed fetch is reported to it and not repeated here.
        self.needs_snapshot |= requested.fetch && !self.is_on_request;
        let watch_timed_out = std::mem::take(&mut self.watch_timed_out);
        if requested.fetch || self.needs_snapshot {
            self.fetch().await
        } else if watch_timed_out {
            // A fetched list does not show that watches deliver changes, so discovery stays marked as unavailable.
            self.fetch_list().await
        } else {
            self.watch(subscription).await
        }
    }

    /// Requests a path and waits for the head of the response.
    async fn request(&self, path: &str) -> Result<Response<Incoming>, DisconnectReason> {
        let address = *self.address.borrow();
        let host = address.to_string();
        let destination = Destination {
            peer_kind: PeerKind::Discovery,
            peer_name: path.to_string(),
            address,
        };
        let mut sender =
            http::connect(&self.context.shutdown, destination, RESPONSE_TIMEOUT).await?;
        let answer = timeout(RESPONSE_TIMEOUT, http::get(&mut sender, &host, path)).await;
        let response = answer.unwrap_or(Err(DisconnectReason::TimedOut))?;
        if response.status().is_success() {
            Ok(response)
        } else {
            Err(DisconnectReason::ErrorStatus)
        }
    }

    /// Fetches the complete list, and marks discovery as available.
    async fn fetch(&mut self) -> Result<(), DisconnectReason> {
        self.fetch_list().await?;
        self.mark_available();
        self.needs_snapshot = false;
        Ok(())
    }

    async fn fetch_list(&mut self) -> Result<(), DisconnectReason> {
        let response = self.request("/api/targets").await?;
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect();
        let body = timeout(BODY_TIMEOUT, body)
            .await
            .map_err(|_| DisconnectReason::TimedOut)?
            .map_err(|error| http::incomplete_body_reason(error.as_ref()))?
            .to_bytes();
        let text = std::str::from_utf8(&body).map_err(|_| DisconnectReason::Malformed)?;
        self.handle_delivery(text)
    }

    /// Watches for changes until the watch ends, another subscription is requested, or the complete list is needed.
    async fn watch(
        &mut self,
        subscription: &mut watch::Receiver<DiscoverySubscription>,
    ) -> Result<(), DisconnectReason> {
        let Some(version) = self.cache.watch_version() else {
            return self.fetch().await;
        };
        let path = format!("/api/targets?watch=1&from={version}");
        let response = self.request(&path).await?;
        let mut lines = LineReader::new(body_reader(response), MAX_LIST_BYTES);
        while self.cache.version().is_some() {
            let line = tokio::select! {
                line = timeout(WATCH_IDLE_TIMEOUT, lines.next_line()) => {
                    line.unwrap_or(Err(DisconnectReason::IdleTimeout))?
                }
                _ = subscription.changed() => return Ok(()),
            };
            if line.is_empty() {
                self.handle_heartbeat();
            } else {
                self.handle_delivery(&line)?;
            }
            self.mark_available();
        }
        Ok(())
    }

    /// Handles an empty line of a watch: nothing has changed since the cached version.
    fn handle_heartbeat(&mut self) {
        let has_restarted = self.cache.clear_version_if_restarted();
        if self.is_answer_pending && !has_restarted && !self.cache.is_stale() {
            self.cache.confirm_version();
            let unchanged = Report::EndpointList(EndpointUpdateKind::Delta, Vec::new());
            self.context.engine.report(unchanged);
            self.is_answer_pending = false;
        }
    }

    /// Notifies the engine that an answer is outstanding.
    fn report_pending(&mut self) {
        self.context.engine.report(discovery_pending());
        self.is_answer_pending = true;
    }

    /// Resets the backoff, and logs the recovery if discovery was unavailable.
    fn mark_available(&mut self) {
        self.backoff = MIN_BACKOFF;
        let was_unavailable = std::mem::take(&mut self.is_unavailable);
        if was_unavailable {
            tracing::info!("discovery available again");
            self.record_availability(true, String::new());
        }
    }

    /// Logs and records a failure, unless discovery was already unavailable.
    fn mark_unavailable(&mut self, reason: DisconnectReason) {
        let was_unavailable = std::mem::replace(&mut self.is_unavailable, true);
        if !was_unavailable {
            self.report_pending();
            tracing::warn!(%reason, "discovery unavailable");
            self.record_availability(false, reason.code().to_string());
        }
    }

    fn record_availability(&self, is_available: bool, reason: String) {
        self.context.recorder.record(Kind::Discovery(pb::Discovery {
            tells: is_available,
            reason,
        }));
    }

    /// Reports a delivery to the engine; a malformed one changes nothing.
    fn handle_delivery(&mut self, text: &str) -> Result<(), DisconnectReason> {
        let delivery = decode_delivery(text).map_err(|malformed| {
            tracing::warn!(fault = %malformed, "discovery delivered a malformed list");
            DisconnectReason::Malformed
        })?;
        log_delivery(&delivery);
        if self.cache.should_ignore(&delivery) {
            return Ok(());
        }
        let was_pending = std::mem::take(&mut self.is_answer_pending);
        let applied = self.cache.apply(delivery);
        self.context.engine.report(applied.report);
        if !applied.needs_repeat {
            return Ok(());
        }
        if was_pending {
            // An endpoint that could not be decoded may be draining.
            self.report_pending();
        }
        Err(DisconnectReason::Malformed)
    }
}

fn log_delivery(delivery: &EndpointDelivery) {
    if delivery.unreadable > 0 {
        let unreadable = delivery.unreadable;
        tracing::warn!(
            unreadable,
            "the endpoint list has endpoints that cannot be decoded"
        );
    }
    if delivery.duplicates > 0 {
        tracing::warn!(
            twice = delivery.duplicates,
            "the endpoint list has duplicate endpoints, the last of each name is used"
        );
    }
    tracing::debug!(
        index = delivery.version,
        whole = delivery.is_snapshot,
        entries = delivery.endpoints.len(),
        "endpoint list delivered"
    );
}

/// Returns a reader of the body of a response.
fn body_reader(response: Response<Incoming>) -> impl AsyncRead + Unpin {
    let chunks = response
        .into_body()
        .into_data_stream()
        .map_err(std::io::Error::other);
    StreamReader::new(chunks)
}
