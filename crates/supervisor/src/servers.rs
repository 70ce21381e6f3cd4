//! Probes of the servers, over connections that are kept.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use chutegrade_engine::{Load, Probe, ProbeEnd, Report};
use http_body_util::{BodyExt, Limited};
use hyper::StatusCode;
use tokio::time::timeout;

use crate::ending::Ending;
use crate::http::{self, Sender};
use crate::hub::{micros, Hub};
use crate::wire;

/// An answer to a probe is awaited for so long: one that waits behind requests comes far later than that, or
/// never.
const ANSWER_MOST: Duration = Duration::from_millis(300);
/// Longest body of an answer, in bytes: a load report is one short line.
const BODY_MOST: usize = 16 * 1024;
/// A server that took no connection and was not tried again for so long is gone: many times the pause between probes.
const TRIED_WITHIN: Duration = Duration::from_secs(60);
/// Probes under way at most, each a task made when it is due: the decisions ask a server once at a time, so that a list
/// four times the largest fleet never has as many. What is due beyond is answered as an ending that says nothing of the server.
const UNDER_WAY_MOST: usize = 4096;

/// Asks servers how they are.
pub struct Servers {
    path: &'static str,
    connect_most: Duration,
    keep: Duration,
    kept: RefCell<HashMap<SocketAddr, (Sender, Instant)>>,
    /// Those that took no connection, and when that was last tried.
    closed: RefCell<HashMap<SocketAddr, Instant>>,
    under_way: Cell<usize>,
}

impl Servers {
    /// Probes by load report, where servers have them, else by health.
    pub fn new(reports: bool, connect_most: Duration, keep: Duration) -> Rc<Self> {
        let path = if reports { "/-/load" } else { "/-/healthy" };
        Rc::new(Servers {
            path,
            connect_most,
            keep,
            kept: RefCell::default(),
            closed: RefCell::default(),
            under_way: Cell::new(0),
        })
    }

    /// Starts one probe; its result is reported.
    pub fn probe(self: &Rc<Self>, hub: &Rc<Hub>, probe: Probe) {
        let (servers, hub) = (self.clone(), hub.clone());
        if self.under_way.get() >= UNDER_WAY_MOST {
            let other = Report::Probed {
                probe,
                end: ProbeEnd::Other,
                took: micros(Duration::ZERO),
                load: Load::default(),
            };
            hub.report(other);
            return;
        }
        self.under_way.set(self.under_way.get() + 1);
        tokio::task::spawn_local(async move {
            let sent = Instant::now();
            let (end, load) = servers.ask(&probe.address).await;
            let took = micros(sent.elapsed());
            servers.under_way.set(servers.under_way.get().saturating_sub(1));
            hub.report(Report::Probed { probe, end, took, load });
        });
    }

    async fn ask(&self, name: &str) -> (ProbeEnd, Load) {
        let Ok(address) = name.parse::<SocketAddr>() else {
            return (ProbeEnd::Other, Load::default());
        };
        let answer = timeout(self.connect_most + ANSWER_MOST, self.answer(address, name)).await;
        match answer.unwrap_or(Err(Ending::TimedOut)) {
            Ok((status, load)) if status.is_success() => (ProbeEnd::Done, load),
            // What a server says that drains or has too many probes; it lives.
            Ok((StatusCode::SERVICE_UNAVAILABLE, load)) => (ProbeEnd::Busy, load),
            Ok((_, load)) => (ProbeEnd::Error, load),
            Err(Ending::TimedOut) => (ProbeEnd::TimedOut, Load::default()),
            Err(Ending::NoRoom) => (ProbeEnd::Other, Load::default()),
            Err(Ending::Unreadable | Ending::TooLong) => (ProbeEnd::Error, Load::default()),
            Err(_) => (ProbeEnd::Unreachable, Load::default()),
        }
    }

    async fn answer(&self, address: SocketAddr, name: &str) -> Result<(StatusCode, Load), Ending> {
        if let Some(kept) = self.take(address) {
            // A server may close a kept connection just as the next probe is sent: that says nothing of the server,
            // and a new connection does.
            match self.answer_on(kept, address, name).await {
                Err(Ending::Closed | Ending::CutShort | Ending::Reset) => {}
                answer => return answer,
            }
        }
        let sender = self.open(address, name).await?;
        self.answer_on(sender, address, name).await
    }

    async fn answer_on(
        &self,
        mut sender: Sender,
        address: SocketAddr,
        name: &str,
    ) -> Result<(StatusCode, Load), Ending> {
        let ask = async {
            let response = http::get(&mut sender, name, self.path).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), BODY_MOST).collect().await;
            let body = body.map_err(|_| Ending::TooLong)?.to_bytes();
            Ok((status, wire::load_report(&String::from_utf8_lossy(&body))))
        };
        let answer = timeout(ANSWER_MOST, ask).await.unwrap_or(Err(Ending::TimedOut))?;
        self.kept.borrow_mut().insert(address, (sender, Instant::now()));
        Ok(answer)
    }

    /// Opens a connection; of a server that takes none, only the first try leaves a line. One that is not tried any more,
    /// as after its removal, is forgotten.
    async fn open(&self, address: SocketAddr, name: &str) -> Result<Sender, Ending> {
        let opened = http::open("server", name.to_string(), address, self.connect_most).await;
        let mut closed = self.closed.borrow_mut();
        match &opened {
            Ok(_) => {
                closed.remove(&address);
            }
            Err(reason) => {
                closed.retain(|_, tried| tried.elapsed() < TRIED_WITHIN);
                if closed.insert(address, Instant::now()).is_none() {
                    tracing::info!(server = name, %reason, "server takes no connection");
                }
            }
        }
        opened
    }

    /// The kept connection to an address; those not used for long are let go.
    fn take(&self, address: SocketAddr) -> Option<Sender> {
        let mut kept = self.kept.borrow_mut();
        kept.retain(|_, (sender, used)| !sender.is_closed() && used.elapsed() < self.keep);
        kept.remove(&address).map(|(sender, _)| sender)
    }
}

#[cfg(test)]
mod tests;
