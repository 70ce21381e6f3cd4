//! The supervisor's own address: accepts connections, learns who is there, and keeps strangers from taking the
//! descriptors that proxies, collectors, discovery and probes need.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chutegrade_engine::DeploymentSize;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::peers::collector_stream::{Collectors, PER_ZONE};
use crate::peers::health_check::Servers;
use crate::peers::proxy_stream;
use crate::protocol::disconnect::{End, Ending, Life};
use crate::protocol::lines::{send, Lines};
use crate::protocol::messages::{self, Hello, Message};
use crate::server::hub::Hub;

/// The least connections that the system holds until they are accepted: all proxies of a fleet may dial at once, and
/// as many strangers. It is a bound for the system, which reserves nothing.
const BACKLOG_LEAST: usize = 1024;
/// Longest first message, in bytes: `hello` with the longest names has a fraction of it.
const FIRST_LINE_MOST: usize = 1024;
/// Longest line from whoever has said who it is, in bytes: no message has a form that comes near it, and a thousand
/// such buffers fit the memory that a supervisor has.
const LINE_MOST: usize = 64 * 1024;
/// How long a connection may go without saying who it is, from when it was accepted and whatever it asks meanwhile: a
/// peer has 1 s for it, and who is none must hear of its end within 3 s.
const UNNAMED_MOST: Duration = Duration::from_millis(1500);
/// How long, and for how many bytes, one that is turned away is still read: what stays unread turns a close into a reset,
/// and the last word is lost with it.
const LAST_READ: (Duration, usize) = (Duration::from_millis(200), 64 * 1024);
/// Descriptors that are not for peers: the runtime's own, standard streams, the listener, the watch of discovery and the
/// one that takes its place, one to accept with.
const OWN_DESCRIPTORS: usize = 16;
/// The least connections that may be there without having said who they are, however few descriptors there are.
const STRANGERS_LEAST: usize = 8;
/// Wait before accepting again when no descriptor is left: long enough not to spin, short for a proxy.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);

/// Places for connections of one sort, oldest first; when there are too many, the oldest has to go.
pub struct Places {
    most: usize,
    taken: RefCell<VecDeque<Rc<Notify>>>,
}

/// One connection's place, until it is dropped.
pub struct Place<'a> {
    places: &'a Places,
    needed: Rc<Notify>,
}

impl Places {
    /// So many places.
    pub fn new(most: usize) -> Self {
        Places {
            most,
            taken: RefCell::default(),
        }
    }

    /// Takes one; the oldest is told when there are too many.
    pub fn take(&self) -> Place<'_> {
        let needed = Rc::new(Notify::new());
        let mut taken = self.taken.borrow_mut();
        taken.push_back(Rc::clone(&needed));
        if taken.len() > self.most {
            if let Some(oldest) = taken.pop_front() {
                oldest.notify_one();
            }
        }
        Place {
            places: self,
            needed,
        }
    }
}

impl Place<'_> {
    /// Waits until the place is needed for another.
    pub async fn needed(&self) {
        self.needed.notified().await;
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.places
            .taken
            .borrow_mut()
            .retain(|other| !Rc::ptr_eq(other, &self.needed));
    }
}

/// How many may be there without having said who they are: half of what remains once each proxy and collector that the
/// settings hold has its descriptor; the other half is for servers, whose number only the list tells.
fn strangers(sockets: usize, proxies: usize, zones: usize) -> usize {
    let peers = OWN_DESCRIPTORS + proxies + zones * PER_ZONE;
    (sockets.saturating_sub(peers) / 2).max(STRANGERS_LEAST)
}

/// Where a connection goes once it has said who it is, and until then.
struct Doors {
    strangers: Places,
    collectors: Collectors,
    silence: Duration,
}

/// Binds the address, for so many proxies.
pub fn bind(address: SocketAddr, proxies: usize) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(u32::try_from(proxies.saturating_mul(2).max(BACKLOG_LEAST)).unwrap_or(u32::MAX))
}

/// Accepts connections, with so many descriptors in all and that limit on a proxy's silence, until the supervisor stops.
/// Where none is left, kept connections to servers are let go. Danger: these come back each second, and a proxy that dials
/// would find none for good.
pub async fn serve(
    hub: Rc<Hub>,
    listener: TcpListener,
    servers: Rc<Servers>,
    sockets: usize,
    silence: Duration,
) {
    let DeploymentSize { proxies, zones } = hub.engine().deployment_size();
    let doors = Rc::new(Doors {
        strangers: Places::new(strangers(sockets, proxies, zones)),
        collectors: Collectors::default(),
        silence,
    });
    let mut failing = false;
    loop {
        match listener.accept().await {
            Ok((stream, remote)) => {
                failing = false;
                let (serving, doors) = (hub.clone(), doors.clone());
                hub.drive(async move { connection(&serving, &doors, stream, remote).await });
            }
            Err(fault) => {
                if !std::mem::replace(&mut failing, true) {
                    tracing::warn!(%fault, "no connection can be accepted now");
                }
                servers.let_go();
                tokio::time::sleep(ACCEPT_AGAIN).await;
            }
        }
    }
}

/// One connection, from its first message to its end.
async fn connection(hub: &Hub, doors: &Doors, stream: TcpStream, remote: SocketAddr) {
    let mut life = Life::begin("stranger", remote.to_string());
    // An order is a message of its own and must not wait for the next one.
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let mut lines = Lines::new(read, FIRST_LINE_MOST);
    let served = async {
        let place = doors.strangers.take();
        let end = tokio::select! {
            named = timeout(UNNAMED_MOST, named(hub, &mut lines, &mut write)) => {
                match named.unwrap_or(Err(Ending::Unnamed.into())) {
                    Ok(peer) => {
                        drop(place);
                        return peer.serve(hub, doors, lines, write, &mut life).await;
                    }
                    Err(end) => end,
                }
            }
            () = place.needed() => Ending::Crowded.into(),
        };
        turn_away(lines, write, &end, &place).await;
        Err(end)
    };
    // The end first: whoever asks once the supervisor stops must not hear that it is in use.
    let Err(end) = tokio::select! {
        biased;
        () = hub.stopped() => Err(Ending::Stopping.into()),
        end = served => end,
    };
    life.end(end);
}

/// Who has said who it is.
enum Named {
    Proxy(Hello),
    Collector { site: String },
}

impl Named {
    async fn serve(
        self,
        hub: &Hub,
        doors: &Doors,
        mut lines: Lines<OwnedReadHalf>,
        write: OwnedWriteHalf,
        life: &mut Life,
    ) -> Result<Infallible, End> {
        lines.allow(LINE_MOST);
        match self {
            Named::Proxy(hello) => {
                life.named("proxy", format!("{}@{}", hello.id, hello.site));
                proxy_stream::serve(hub, lines, write, hello, doors.silence).await
            }
            Named::Collector { site } => {
                life.named("collector", site.clone());
                doors.collectors.serve(hub, lines, write, site).await
            }
        }
    }
}

/// Waits for the message that says who is there; `probe` may come any number of times before. Whoever can ask finds the
/// decisions begun, see `run` in `main.rs`.
async fn named(
    hub: &Hub,
    lines: &mut Lines<OwnedReadHalf>,
    write: &mut OwnedWriteHalf,
) -> Result<Named, End> {
    loop {
        match lines.message().await? {
            Message::Probe => send(write, messages::ALIVE).await?,
            Message::Hello(hello) => {
                hub.engine()
                    .validate_peer(&hello.site, Some(hello.id))
                    .map_err(|no| Ending::Unknown.because(no))?;
                return Ok(Named::Proxy(hello));
            }
            Message::Agent { site } => {
                hub.engine()
                    .validate_peer(&site, None)
                    .map_err(|no| Ending::Unknown.because(no))?;
                return Ok(Named::Collector { site });
            }
            Message::Spoilt(fault) => return Err(Ending::Unreadable.because(fault)),
            _ => return Err(Ending::Unreadable.because("first message names nobody")),
        }
    }
}

/// Tells one that is no peer why it has to go, and reads on for a moment so that the word arrives. Nothing waits for a
/// client that reads nothing.
async fn turn_away(
    lines: Lines<OwnedReadHalf>,
    mut write: OwnedWriteHalf,
    end: &End,
    place: &Place<'_>,
) {
    if matches!(
        end.reason,
        Ending::Closed | Ending::CutShort | Ending::Reset
    ) {
        return;
    }
    let _ = write.try_write(messages::error(end.reason.code()).as_bytes());
    if end.reason == Ending::Crowded {
        return;
    }
    tokio::select! {
        _ = timeout(LAST_READ.0, async {
            let _ = write.shutdown().await;
            lines.discard(LAST_READ.1).await;
        }) => {}
        () = place.needed() => {}
    }
}

#[cfg(test)]
mod tests;
