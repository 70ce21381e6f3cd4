//! Probes of the servers, over connections that are kept.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use chutegrade_engine::{Class, HealthCheck, HealthCheckOutcome, LoadReport, Report};
use http_body_util::{BodyExt, Limited};
use hyper::StatusCode;
use tokio::time::{sleep, timeout};

use crate::protocol::disconnect::Ending;
use crate::protocol::http::{self, Sender};
use crate::protocol::messages;
use crate::server::hub::{micros, Hub};
use crate::server::length;

/// An answer to a probe is awaited for this share of the shortest aim of any class: a server that takes longer for so little
/// serves that class too late. And for a second at most, where aims are long or none: the next probe is due then.
const ANSWER_SHARE: f64 = 0.5;
const ANSWER_MOST: Duration = Duration::from_secs(1);
/// Longest body of an answer, in bytes: a load report is one short line.
const BODY_MOST: usize = 16 * 1024;
/// A server that took no connection and was not tried again for so long is gone: many times the pause between probes.
const TRIED_WITHIN: Duration = Duration::from_secs(60);
/// Wait before a descriptor is looked for again: other probes are answered in less.
const ROOM_AGAIN: Duration = Duration::from_millis(20);
/// Probes under way at most, each a task made when it is due: the decisions ask a server once at a time, so that a list
/// four times the largest fleet never has as many. What is due beyond is answered as an ending that says nothing of the server.
const UNDER_WAY_MOST: usize = 4096;

/// Asks servers how they are.
pub struct Servers {
    path: &'static str,
    connect_most: Duration,
    answer_most: Duration,
    keep: Duration,
    kept: RefCell<HashMap<SocketAddr, (Sender, Instant)>>,
    /// How many connections may be kept, and since when: there was no descriptor left then.
    short: Cell<Option<(usize, Instant)>>,
    /// Those that took no connection, and when that was last tried.
    closed: RefCell<HashMap<SocketAddr, Instant>>,
    under_way: Cell<usize>,
}

/// How long an answer to a probe is awaited, by the aims of the classes.
pub fn answer_most(classes: &[Class]) -> Duration {
    let shortest = classes
        .iter()
        .map(|class| length(class.latency_objective))
        .filter(|aim| !aim.is_zero())
        .min();
    shortest.map_or(ANSWER_MOST, |aim| {
        aim.mul_f64(ANSWER_SHARE).min(ANSWER_MOST)
    })
}

impl Servers {
    /// Probes by load report, where servers have them, else by health.
    pub fn new(
        reports: bool,
        (connect_most, answer_most): (Duration, Duration),
        keep: Duration,
    ) -> Rc<Self> {
        let path = if reports { "/-/load" } else { "/-/healthy" };
        Rc::new(Servers {
            path,
            connect_most,
            answer_most,
            keep,
            kept: RefCell::default(),
            short: Cell::default(),
            closed: RefCell::default(),
            under_way: Cell::new(0),
        })
    }

    /// Starts these probes, spread evenly over a time; each result is reported. Sent at once, the answers of hundreds of
    /// servers arrive together, and what the last of them wait for in this process would pass for slow servers.
    pub fn probe_spread(self: &Rc<Self>, hub: &Rc<Hub>, probes: Vec<HealthCheck>, over: Duration) {
        let pause = over / u32::try_from(probes.len().max(1)).unwrap_or(u32::MAX);
        let mut delay = Duration::ZERO;
        for probe in probes {
            self.probe(hub, probe, delay);
            delay += pause;
        }
    }

    /// Sends one probe after a delay; its result is reported.
    fn probe(self: &Rc<Self>, hub: &Rc<Hub>, probe: HealthCheck, delay: Duration) {
        let (servers, hub) = (self.clone(), hub.clone());
        if self.under_way.get() >= UNDER_WAY_MOST {
            let other = Report::HealthChecked {
                check: probe,
                outcome: HealthCheckOutcome::Inconclusive,
                elapsed: micros(Duration::ZERO),
                load: LoadReport::default(),
            };
            hub.report(other);
            return;
        }
        self.under_way.set(self.under_way.get() + 1);
        tokio::task::spawn_local(async move {
            // Nothing is asked once the supervisor stops.
            let due = timeout(delay, hub.stopped()).await.is_err();
            if due {
                let mut sent = Instant::now();
                let (end, load) = servers.asked(&hub, &probe.address, &mut sent).await;
                let took = micros(sent.elapsed());
                hub.report(Report::HealthChecked {
                    check: probe,
                    outcome: end,
                    elapsed: took,
                    load,
                });
            }
            servers
                .under_way
                .set(servers.under_way.get().saturating_sub(1));
        });
    }

    /// How a server answers, and when that was asked which it answered.
    async fn asked(
        &self,
        hub: &Rc<Hub>,
        name: &str,
        sent: &mut Instant,
    ) -> (HealthCheckOutcome, LoadReport) {
        let Ok(address) = name.parse::<SocketAddr>() else {
            return (HealthCheckOutcome::Inconclusive, LoadReport::default());
        };
        match self.answer(hub, address, name, sent).await {
            Ok((status, load)) if status.is_success() => (HealthCheckOutcome::Passed, load),
            // What a server says that drains or has too many probes; it lives.
            Ok((StatusCode::SERVICE_UNAVAILABLE, load)) => (HealthCheckOutcome::Rejected, load),
            Ok((_, load)) => (HealthCheckOutcome::Error, load),
            Err(Ending::TimedOut) => (HealthCheckOutcome::TimedOut, LoadReport::default()),
            Err(Ending::NoRoom) => (HealthCheckOutcome::Inconclusive, LoadReport::default()),
            Err(Ending::Unreadable | Ending::TooLong) => {
                (HealthCheckOutcome::Error, LoadReport::default())
            }
            Err(_) => (HealthCheckOutcome::Unreachable, LoadReport::default()),
        }
    }

    async fn answer(
        &self,
        hub: &Rc<Hub>,
        address: SocketAddr,
        name: &str,
        sent: &mut Instant,
    ) -> Result<(StatusCode, LoadReport), Ending> {
        if let Some(kept) = self.take(address) {
            // A server may close a kept connection just as the next probe is sent: that says nothing of the server,
            // and a new connection does.
            match self.answer_on(kept, address, name).await {
                Err(Ending::Closed | Ending::CutShort | Ending::Reset) => {}
                answer => return answer,
            }
        }
        // Danger: with the time that a broken connection took, a quick server would pass for a slow one.
        let sender = self.open(hub, address, name, sent).await?;
        self.answer_on(sender, address, name).await
    }

    async fn answer_on(
        &self,
        mut sender: Sender,
        address: SocketAddr,
        name: &str,
    ) -> Result<(StatusCode, LoadReport), Ending> {
        let ask = async {
            let response = http::get(&mut sender, name, self.path).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), BODY_MOST)
                .collect()
                .await;
            let body = body.map_err(|fault| http::cut(fault.as_ref()))?.to_bytes();
            Ok((
                status,
                messages::load_report(&String::from_utf8_lossy(&body)),
            ))
        };
        let answer = timeout(self.answer_most, ask)
            .await
            .unwrap_or(Err(Ending::TimedOut))?;
        self.kept
            .borrow_mut()
            .insert(address, (sender, Instant::now()));
        let short = self
            .short
            .get()
            .filter(|(_, since)| since.elapsed() < self.keep);
        short
            .into_iter()
            .for_each(|(most, _)| self.keep_at_most(most));
        Ok(answer)
    }

    /// There is no descriptor left: half of the kept connections go, and no more are kept for as long as one may be.
    pub fn let_go(&self) {
        let most = self.kept.borrow().len() / 2;
        self.short.set(Some((most, Instant::now())));
        self.keep_at_most(most);
    }

    /// Those not used for longest go first.
    fn keep_at_most(&self, most: usize) {
        let mut kept = self.kept.borrow_mut();
        while kept.len() > most {
            let oldest = kept
                .iter()
                .min_by_key(|(_, (_, used))| *used)
                .map(|(address, _)| *address);
            oldest.and_then(|address| kept.remove(&address));
        }
    }

    /// Opens a connection; of a server that takes none, only the first try leaves a line. One that is not tried any more,
    /// as after its removal, is forgotten. Where no descriptor is left, kept ones are let go, and it is tried again for as
    /// long as a connection may take. Danger: of more servers than descriptors, the same would never be asked.
    async fn open(
        &self,
        hub: &Rc<Hub>,
        address: SocketAddr,
        name: &str,
        sent: &mut Instant,
    ) -> Result<Sender, Ending> {
        let begun = Instant::now();
        let opened = loop {
            *sent = Instant::now();
            let opened =
                http::open(hub, "server", name.to_string(), address, self.connect_most).await;
            if !matches!(opened, Err(Ending::NoRoom)) || begun.elapsed() >= self.connect_most {
                break opened;
            }
            self.let_go();
            sleep(ROOM_AGAIN).await;
        };
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
