//! Connections to those who speak HTTP: opened, driven, and logged at their end.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::protocol::disconnect::{Ending, Life};
use crate::server::hub::Hub;

/// Sends requests without a body on one connection.
pub type Sender = SendRequest<Empty<Bytes>>;

/// Opens a connection; it is driven, and leaves its log line, on its own. One that never came up leaves none.
pub async fn open(
    hub: &Rc<Hub>,
    peer: &'static str,
    name: String,
    address: SocketAddr,
    within: Duration,
) -> Result<Sender, Ending> {
    let stream = match timeout(within, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(fault)) => return Err(unopened(fault.kind())),
        Err(_) => return Err(Ending::TimedOut),
    };
    let life = Life::begin(peer, name);
    let _ = stream.set_nodelay(true);
    let (sender, connection) = match http1::handshake(TokioIo::new(stream)).await {
        Ok(opened) => opened,
        Err(fault) => {
            life.end(reason(&fault));
            return Err(reason(&fault));
        }
    };
    let driving = hub.clone();
    hub.drive(async move {
        let end = tokio::select! {
            biased;
            () = driving.stopped() => Ending::Stopping,
            end = connection => end.map_or_else(|fault| reason(&fault), |()| Ending::Closed),
        };
        life.end(end);
    });
    Ok(sender)
}

/// Why a connection could not be opened: by the peer or the way there, or else by this machine.
fn unopened(kind: ErrorKind) -> Ending {
    match kind {
        ErrorKind::TimedOut => Ending::TimedOut,
        ErrorKind::ConnectionRefused
        | ErrorKind::ConnectionReset
        | ErrorKind::ConnectionAborted
        | ErrorKind::HostUnreachable
        | ErrorKind::NetworkUnreachable => Ending::Refused,
        _ => Ending::NoRoom,
    }
}

/// Asks for a path.
pub async fn get(
    sender: &mut Sender,
    host: &str,
    path: &str,
) -> Result<Response<Incoming>, Ending> {
    let request = Request::get(path)
        .header("host", host)
        .body(Empty::new())
        .map_err(|_| Ending::Unreadable)?;
    sender.ready().await.map_err(|_| Ending::Closed)?;
    sender
        .send_request(request)
        .await
        .map_err(|fault| reason(&fault))
}

/// What it means that a body did not come whole: its connection broke, or it is longer than allowed.
pub fn cut(fault: &(dyn std::error::Error + Send + Sync + 'static)) -> Ending {
    fault
        .downcast_ref::<hyper::Error>()
        .map_or(Ending::TooLong, reason)
}

/// What an error of the connection means for whoever waits for an answer.
pub fn reason(fault: &hyper::Error) -> Ending {
    if fault.is_parse() {
        Ending::Unreadable
    } else if fault.is_incomplete_message() {
        Ending::CutShort
    } else {
        Ending::Reset
    }
}

#[cfg(test)]
mod tests;
