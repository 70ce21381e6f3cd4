//! Discovery: the list of servers as a watch, or on request.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use chutegrade_engine::{ListKind, ListWish, Report};
use chutegrade_records::{pb, Kind};
use futures_util::TryStreamExt;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::Response;
use tokio::io::AsyncRead;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::io::StreamReader;

use crate::ending::Ending;
use crate::http;
use crate::hub::Hub;
use crate::lines::Lines;
use crate::wire::{self, Targets};

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

/// Follows the list.
pub struct List {
    hub: Rc<Hub>,
    /// Where discovery answers; a new configuration may name another address.
    address: watch::Receiver<SocketAddr>,
    index: Option<u64>,
    wait: Duration,
    on_request: bool,
    failing: bool,
    /// Discovery has moved: entries may have other addresses there, so the whole list is asked for first.
    moved: bool,
    /// Since when discovery tells what is older than what is known.
    behind: Option<Instant>,
}

impl List {
    /// Follows the list from a version that is known.
    pub fn new(
        hub: Rc<Hub>,
        address: watch::Receiver<SocketAddr>,
        index: Option<u64>,
        on_request: bool,
    ) -> Self {
        let (wait, failing, moved, behind) = (AGAIN.0, false, false, None);
        List { hub, address, index, wait, on_request, failing, moved, behind }
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
                    (self.wait, self.moved, self.failing) = (AGAIN.0, true, false);
                }
            }
        }
    }

    /// Does what is wished until it is done, fails, or something else is wished; waits before the next try.
    async fn turn(&mut self, wish: &mut watch::Receiver<ListWish>) {
        let ListWish { watch, fetch } = *wish.borrow_and_update();
        if !watch && !fetch {
            let _ = wish.changed().await;
            return;
        }
        if fetch {
            self.hub.take_fetch();
        }
        let ended = if fetch || self.moved { self.fetch().await } else { self.watch(wish).await };
        let Err(reason) = ended else { return };
        if !std::mem::replace(&mut self.failing, true) {
            tracing::warn!(%reason, "discovery does not tell");
            let reason = reason.code().to_string();
            self.hub.note(Kind::Discovery(pb::Discovery { tells: false, reason }));
        }
        // Where calls are asked for one by one, the decisions say when to try again.
        if self.on_request {
            self.hub.report(Report::List(ListKind::Lost, Vec::new()));
            let _ = wish.changed().await;
        }
        tokio::time::sleep(self.wait).await;
        self.wait = (self.wait * 2).min(AGAIN.1);
    }

    async fn ask(&self, path: &str) -> Result<Response<Incoming>, Ending> {
        let address = *self.address.borrow();
        let host = address.to_string();
        let mut sender = http::open("discovery", path.to_string(), address, ANSWER_MOST).await?;
        let answer = timeout(ANSWER_MOST, http::get(&mut sender, &host, path)).await;
        let response = answer.unwrap_or(Err(Ending::TimedOut))?;
        if response.status().is_success() {
            Ok(response)
        } else {
            Err(Ending::Status)
        }
    }

    /// Asks for the whole list once.
    async fn fetch(&mut self) -> Result<(), Ending> {
        let response = self.ask("/api/targets").await?;
        let body = timeout(SILENT_MOST, Limited::new(response.into_body(), LIST_MOST).collect()).await;
        let body = body.map_err(|_| Ending::TimedOut)?.map_err(|_| Ending::CutShort)?.to_bytes();
        let text = String::from_utf8(body.to_vec()).map_err(|_| Ending::Unreadable)?;
        self.tell(&text)?;
        self.works();
        self.moved = false;
        Ok(())
    }

    /// Follows changes until the watch ends or is no longer wanted.
    async fn watch(&mut self, wish: &mut watch::Receiver<ListWish>) -> Result<(), Ending> {
        let Some(index) = self.index else { return self.fetch().await };
        let response = self.ask(&format!("/api/targets?watch=1&from={index}")).await?;
        let mut lines = Lines::new(chunks(response), LIST_MOST);
        loop {
            let line = tokio::select! {
                line = timeout(SILENT_MOST, lines.next()) => line.unwrap_or(Err(Ending::Silent))?,
                _ = wish.changed() => return Ok(()),
            };
            self.works();
            if !line.is_empty() {
                self.tell(&line)?;
            }
            if self.behind.is_some_and(|since| since.elapsed() >= BEHIND_MOST) {
                return Ok(());
            }
        }
    }

    /// Discovery told something: the next failure is a new one.
    fn works(&mut self) {
        self.wait = AGAIN.0;
        if std::mem::take(&mut self.failing) {
            tracing::info!("discovery tells again");
            self.hub.note(Kind::Discovery(pb::Discovery { tells: true, reason: String::new() }));
        }
    }

    /// Hands a delivery to the decisions; one that can't be read changes nothing.
    fn tell(&mut self, text: &str) -> Result<(), Ending> {
        let targets = wire::targets(text).map_err(|fault| {
            tracing::warn!(%fault, "discovery told what can't be read");
            Ending::Unreadable
        })?;
        let Targets { index, complete, entries, unreadable, twice } = targets;
        if unreadable > 0 {
            tracing::warn!(unreadable, "entries of the list can't be read");
        }
        if twice > 0 {
            tracing::warn!(twice, "the list names servers twice, the last word on each holds");
        }
        tracing::debug!(index, complete, entries = entries.len(), "list");
        if self.is_behind(index) {
            return Ok(());
        }
        self.index = Some(index);
        let kind = if complete { ListKind::Complete } else { ListKind::Changes };
        self.hub.report(Report::List(kind, entries));
        Ok(())
    }

    /// Whether a version is older than what is known. Danger: an agent that lags, as one at a new address may, tells of
    /// a server that drains as if it were up.
    fn is_behind(&mut self, index: u64) -> bool {
        if self.index.is_none_or(|known| index >= known) {
            self.behind = None;
            return false;
        }
        let since = self.behind.get_or_insert_with(|| {
            tracing::warn!(index, known = self.index, "discovery is behind what it told before");
            Instant::now()
        });
        let anew = since.elapsed() >= BEHIND_MOST;
        if anew {
            self.behind = None;
        }
        !anew
    }
}

/// The body of an answer as bytes to read.
fn chunks(response: Response<Incoming>) -> impl AsyncRead + Unpin {
    StreamReader::new(response.into_body().into_data_stream().map_err(std::io::Error::other))
}
