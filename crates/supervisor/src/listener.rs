//! The supervisor's own address: accepts connections, learns who is there, and keeps strangers from taking the
//! descriptors that proxies, collectors, discovery and probes need.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::clients;
use crate::collectors::Collectors;
use crate::ending::{End, Ending, Life};
use crate::hub::Hub;
use crate::lines::{send, Lines};
use crate::wire::{self, Message};

/// Connections that the system holds until they are accepted: all proxies of a fleet may dial at once.
const BACKLOG: u32 = 1024;
/// Longest first message, in bytes: `hello` with the longest names has a fraction of it.
const FIRST_LINE_MOST: usize = 1024;
/// Longest line from whoever has said who it is, in bytes: no message has a form that comes near it, and a thousand
/// such buffers fit the memory that a supervisor has.
const LINE_MOST: usize = 64 * 1024;
/// How long a connection may go without saying who it is: several times what a slow link needs for one line.
const UNNAMED_MOST: Duration = Duration::from_secs(10);
/// Share of the descriptors that connections which have not said who they are may hold, and collectors may: one
/// in so many each. Proxies, servers and discovery keep the rest.
const SHARE: usize = 8;
/// Wait before accepting again when no descriptor is left: long enough not to spin, short for a proxy.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);

/// The connections that have not said who they are, oldest first.
struct Strangers {
    most: usize,
    waiting: RefCell<VecDeque<Rc<Notify>>>,
}

impl Strangers {
    /// Takes one in; the oldest goes when there are too many.
    fn enter(&self) -> Rc<Notify> {
        let place = Rc::new(Notify::new());
        let mut waiting = self.waiting.borrow_mut();
        waiting.push_back(Rc::clone(&place));
        if waiting.len() > self.most {
            if let Some(oldest) = waiting.pop_front() {
                oldest.notify_one();
            }
        }
        place
    }

    fn leave(&self, place: &Rc<Notify>) {
        self.waiting.borrow_mut().retain(|other| !Rc::ptr_eq(other, place));
    }
}

/// Where a connection goes once it has said who it is, and until then.
struct Doors {
    strangers: Strangers,
    collectors: Collectors,
    silence: Duration,
}

/// Binds the address.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections, with so many descriptors in all and that limit on a proxy's silence, until the supervisor stops.
pub async fn serve(hub: Rc<Hub>, listener: TcpListener, sockets: usize, silence: Duration) {
    let share = (sockets / SHARE).max(1);
    let doors = Rc::new(Doors {
        strangers: Strangers { most: share, waiting: RefCell::default() },
        collectors: Collectors::new(share),
        silence,
    });
    let mut failing = false;
    loop {
        match listener.accept().await {
            Ok((stream, remote)) => {
                failing = false;
                let (hub, doors) = (hub.clone(), doors.clone());
                tokio::task::spawn_local(async move { connection(&hub, &doors, stream, remote).await });
            }
            Err(fault) => {
                if !std::mem::replace(&mut failing, true) {
                    tracing::warn!(%fault, "no connection can be accepted now");
                }
                tokio::time::sleep(ACCEPT_AGAIN).await;
            }
        }
    }
}

/// One connection, from its first message to its end.
async fn connection(hub: &Hub, doors: &Doors, stream: TcpStream, remote: SocketAddr) {
    let Doors { strangers, collectors, silence } = doors;
    let mut life = Life::begin("stranger", remote.to_string());
    // An order is a message of its own and must not wait for the next one.
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let mut lines = Lines::new(read, FIRST_LINE_MOST);
    let served = async {
        let place = strangers.enter();
        let first = tokio::select! {
            first = named(&mut lines, &mut write) => first,
            () = place.notified() => Err(Ending::Crowded.into()),
        };
        strangers.leave(&place);
        lines.allow(LINE_MOST);
        match first? {
            Message::Hello(hello) => {
                life.named("proxy", format!("{}@{}", hello.id, hello.site));
                clients::serve(hub, lines, write, hello, *silence).await
            }
            Message::Agent { site } => {
                life.named("collector", site);
                collectors.serve(hub, lines, write).await
            }
            Message::Spoilt(fault) => Err(Ending::Unreadable.because(fault)),
            _ => Err(Ending::Unreadable.because("first message names nobody")),
        }
    };
    let Err(end) = tokio::select! {
        end = served => end,
        () = hub.stopped() => Err(Ending::Stopping.into()),
    };
    life.end(end);
}

/// Waits for the message that says who is there; `probe` may come any number of times before. Whoever can ask finds the
/// decisions begun, see `run` in `main.rs`.
async fn named(lines: &mut Lines<OwnedReadHalf>, write: &mut OwnedWriteHalf) -> Result<Message, End> {
    loop {
        let message = timeout(UNNAMED_MOST, lines.message()).await;
        match message.unwrap_or(Err(Ending::Unnamed.into()))? {
            Message::Probe => send(write, wire::ALIVE).await?,
            message => return Ok(message),
        }
    }
}
