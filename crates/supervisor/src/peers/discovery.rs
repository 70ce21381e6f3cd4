//! Discovery: the list of servers as a watch, or on request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use chutegrade_engine::{
    DiscoverySubscription, EndpointUpdateKind, Lifecycle, NamedEndpoint, Report,
};
use chutegrade_records::{pb, Kind};
use futures_util::TryStreamExt;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::Response;
use tokio::io::AsyncRead;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::io::StreamReader;

use crate::protocol::disconnect::Ending;
use crate::protocol::http;
use crate::protocol::lines::Lines;
use crate::protocol::messages::{self, Targets};
use crate::server::hub::Hub;

/// A watch that has brought nothing for so long is replaced: an empty line comes every 2 s, and news counts as
/// told after 6 s.
const SILENT_MOST: Duration = Duration::from_millis(3000);
/// How long opening a connection to discovery and the head of its answer may take: it is on this machine.
const ANSWER_MOST: Duration = Duration::from_millis(1000);
/// Longest list, in bytes: far beyond the largest fleet, within the memory that a supervisor has.
const LIST_MOST: usize = 16 * 1024 * 1024;
/// Waits before discovery is asked again, doubled from the first to the last.
const AGAIN: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(800));
/// A list that stays older than what is known for so long has begun to count anew: news is nowhere later than this.
const BEHIND_MOST: Duration = Duration::from_secs(6);
/// News with entries that can't be read is asked for again until it was told so many times in a row; then it holds without
/// them, as what is told in the same words for good. The waits between take a second, well within news' 6 s.
const SPOILT_MOST: u32 = 5;

/// Follows the list.
pub struct List {
    hub: Rc<Hub>,
    /// Where discovery answers; a new configuration may name another address.
    address: watch::Receiver<SocketAddr>,
    index: Option<u64>,
    /// The last word on each server that is listed.
    entries: HashMap<String, NamedEndpoint>,
    wait: Duration,
    on_request: bool,
    failing: bool,
    /// The whole list is wanted before anything else, until it has come: discovery has moved, and entries may have other
    /// addresses there, or the decisions asked for it.
    whole: bool,
    /// The last watch fell silent: the whole list is asked for once. Danger: where watches open and say nothing, one after
    /// the other, news is later than the rules allow.
    doubt: bool,
    /// Since when discovery tells what is older than what is known.
    behind: Option<Instant>,
    /// How many times in a row news came with entries that can't be read.
    spoilt: u32,
}

impl List {
    /// Follows the list from a version that is known, with its entries.
    pub fn new(
        hub: Rc<Hub>,
        address: watch::Receiver<SocketAddr>,
        known: Option<(u64, Vec<NamedEndpoint>)>,
        on_request: bool,
    ) -> Self {
        let (index, entries) = known.map_or((None, Vec::new()), |(index, entries)| {
            (Some(index), entries)
        });
        List {
            hub,
            address,
            index,
            entries: entries
                .into_iter()
                .map(|entry| (entry.name.clone(), entry))
                .collect(),
            wait: AGAIN.0,
            on_request,
            failing: false,
            whole: false,
            doubt: false,
            behind: None,
            spoilt: 0,
        }
    }

    /// Runs until the supervisor stops. Once discovery has moved, whatever was under way at the old address is left at
    /// once; the list stays as it is until the new one tells.
    pub async fn run(mut self) {
        let mut wish = self.hub.wish.subscribe();
        let mut address = self.address.clone();
        loop {
            tokio::select! {
                () = self.turn(&mut wish) => {}
                Ok(()) = address.changed() => {
                    // Another agent may lag in its own way: for how long the last one did says nothing of it.
                    (self.wait, self.whole, self.failing, self.behind) = (AGAIN.0, true, false, None);
                }
            }
        }
    }

    /// Does what is wished until it is done, fails, or something else is wished; waits before the next try.
    async fn turn(&mut self, wish: &mut watch::Receiver<DiscoverySubscription>) {
        let DiscoverySubscription { watch, fetch } = *wish.borrow_and_update();
        if !watch && !fetch {
            let _ = wish.changed().await;
            return;
        }
        if fetch {
            self.hub.take_fetch();
        }
        // Where calls are asked for one by one, one that failed is over, and the decisions hear of it.
        self.whole |= fetch && !self.on_request;
        let doubt = std::mem::take(&mut self.doubt);
        let ended = if fetch || self.whole {
            self.fetch().await
        } else if doubt {
            // That it answers does not yet say that news comes.
            self.ask_whole().await
        } else {
            self.watch(wish).await
        };
        let Err(reason) = ended else { return };
        self.doubt = reason == Ending::Silent && !self.on_request;
        if !std::mem::replace(&mut self.failing, true) {
            tracing::warn!(%reason, "discovery does not tell");
            let reason = reason.code().to_string();
            self.hub.note(Kind::Discovery(pb::Discovery {
                tells: false,
                reason,
            }));
        }
        // Where calls are asked for one by one, the decisions say when to try again.
        if self.on_request {
            self.hub.report(Report::EndpointList(
                EndpointUpdateKind::Unavailable,
                Vec::new(),
            ));
            let _ = wish.changed().await;
        }
        tokio::time::sleep(self.wait).await;
        self.wait = (self.wait * 2).min(AGAIN.1);
    }

    async fn ask(&self, path: &str) -> Result<Response<Incoming>, Ending> {
        let address = *self.address.borrow();
        let host = address.to_string();
        let mut sender = http::open(
            &self.hub,
            "discovery",
            path.to_string(),
            address,
            ANSWER_MOST,
        )
        .await?;
        let answer = timeout(ANSWER_MOST, http::get(&mut sender, &host, path)).await;
        let response = answer.unwrap_or(Err(Ending::TimedOut))?;
        if response.status().is_success() {
            Ok(response)
        } else {
            Err(Ending::Status)
        }
    }

    /// Asks for the whole list once, and takes it for a sign that discovery tells.
    async fn fetch(&mut self) -> Result<(), Ending> {
        self.ask_whole().await?;
        self.works();
        self.whole = false;
        Ok(())
    }

    async fn ask_whole(&mut self) -> Result<(), Ending> {
        let response = self.ask("/api/targets").await?;
        let body = timeout(
            SILENT_MOST,
            Limited::new(response.into_body(), LIST_MOST).collect(),
        )
        .await;
        let body = body
            .map_err(|_| Ending::TimedOut)?
            .map_err(|fault| http::cut(fault.as_ref()))?
            .to_bytes();
        let text = String::from_utf8(body.to_vec()).map_err(|_| Ending::Unreadable)?;
        self.tell(&text)
    }

    /// Follows changes until the watch ends, is no longer wanted, or the whole list is.
    async fn watch(
        &mut self,
        wish: &mut watch::Receiver<DiscoverySubscription>,
    ) -> Result<(), Ending> {
        let Some(index) = self.index else {
            return self.fetch().await;
        };
        let response = self
            .ask(&format!("/api/targets?watch=1&from={index}"))
            .await?;
        let mut lines = Lines::new(chunks(response), LIST_MOST);
        while self.index.is_some() {
            let line = tokio::select! {
                line = timeout(SILENT_MOST, lines.next()) => line.unwrap_or(Err(Ending::Silent))?,
                _ = wish.changed() => return Ok(()),
            };
            if line.is_empty() {
                self.counts_anew();
            } else {
                self.tell(&line)?;
            }
            self.works();
        }
        Ok(())
    }

    /// Discovery told something: the next failure is a new one.
    fn works(&mut self) {
        self.wait = AGAIN.0;
        if std::mem::take(&mut self.failing) {
            tracing::info!("discovery tells again");
            self.hub.note(Kind::Discovery(pb::Discovery {
                tells: true,
                reason: String::new(),
            }));
        }
    }

    /// Hands a delivery to the decisions; one that can't be read changes nothing.
    fn tell(&mut self, text: &str) -> Result<(), Ending> {
        let targets = messages::targets(text).map_err(|fault| {
            tracing::warn!(%fault, "discovery told what can't be read");
            Ending::Unreadable
        })?;
        let Targets {
            index,
            whole,
            twice,
            entries,
            unreadable,
            ..
        } = &targets;
        if *unreadable > 0 {
            tracing::warn!(unreadable, "entries of the list can't be read");
        }
        if *twice > 0 {
            tracing::warn!(
                twice,
                "the list names servers twice, the last word on each holds"
            );
        }
        tracing::debug!(index, whole, entries = entries.len(), "list");
        if self.is_behind(*index, *whole) {
            return Ok(());
        }
        let index = *index;
        self.spoilt = if *unreadable > 0 { self.spoilt + 1 } else { 0 };
        let (kind, entries) = self.delivery(targets);
        self.hub.report(Report::EndpointList(kind, entries));
        // Danger: what an entry that can't be read told, a drain perhaps, is never told again to whoever asks for what
        // came after it.
        if (1..SPOILT_MOST).contains(&self.spoilt) {
            return Err(Ending::Unreadable);
        }
        self.spoilt = 0;
        self.index = Some(index);
        Ok(())
    }

    /// What a delivery tells, kept as the last word. In a whole list, one whose entry can't be read but for its name stays
    /// as it was; where not even names can be read the rest counts as changes, so that none reads as its server's removal.
    fn delivery(&mut self, targets: Targets) -> (EndpointUpdateKind, Vec<NamedEndpoint>) {
        let Targets {
            complete,
            whole,
            mut entries,
            named,
            unreadable,
            ..
        } = targets;
        let complete = complete || (whole && named.len() == unreadable);
        if complete {
            entries.extend(
                named
                    .iter()
                    .filter_map(|name| self.entries.get(name).cloned()),
            );
            self.entries.clear();
        }
        for entry in &entries {
            if entry.lifecycle == Lifecycle::Removed {
                self.entries.remove(&entry.name);
            } else {
                self.entries.insert(entry.name.clone(), entry.clone());
            }
        }
        (
            if complete {
                EndpointUpdateKind::Snapshot
            } else {
                EndpointUpdateKind::Delta
            },
            entries,
        )
    }

    /// Whether a version is older than what is known. Danger: an agent that lags, as one at a new address may, tells of
    /// a server that drains as if it were up.
    fn is_behind(&mut self, index: u64, whole: bool) -> bool {
        if self.index.is_none_or(|known| index >= known) {
            self.behind = None;
            return false;
        }
        self.behind.get_or_insert_with(|| {
            tracing::warn!(
                index,
                known = self.index,
                "discovery is behind what it told before"
            );
            Instant::now()
        });
        !self.counts_anew() || !whole
    }

    /// Whether discovery has been behind for so long that it counts anew: then the whole list is asked for. Danger: changes
    /// alone lack those that came before them and were not believed.
    fn counts_anew(&mut self) -> bool {
        let anew = self
            .behind
            .is_some_and(|since| since.elapsed() >= BEHIND_MOST);
        if anew {
            (self.behind, self.index) = (None, None);
        }
        anew
    }
}

/// The body of an answer as bytes to read.
fn chunks(response: Response<Incoming>) -> impl AsyncRead + Unpin {
    StreamReader::new(
        response
            .into_body()
            .into_data_stream()
            .map_err(std::io::Error::other),
    )
}
