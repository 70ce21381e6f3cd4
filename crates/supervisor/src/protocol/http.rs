//! HTTP/1 client connections to peers, each driven by a separate task and logged when it ends.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::protocol::disconnect::{ConnectionLog, DisconnectReason};
use crate::protocol::peer_kind::PeerKind;
use crate::shared::shutdown::Shutdown;

/// Sends requests without a body on one connection.
pub type RequestSender = SendRequest<Empty<Bytes>>;

/// The future that performs the I/O of a connection.
type ClientConnection = Connection<TokioIo<TcpStream>, Empty<Bytes>>;

/// A peer to connect to, and its name in the log.
pub struct Destination {
    /// Kind of the peer, for the log.
    pub peer_kind: PeerKind,
    /// Name of the peer, or the requested path, for the log.
    pub peer_name: String,
    /// Address at which the peer listens.
    pub address: SocketAddr,
}

/// Opens a connection. A separate task drives it until it ends or the supervisor shuts down, and then logs it. A connection
/// that cannot be opened is not logged.
///
/// # Errors
///
/// If the connection cannot be established within the timeout.
pub async fn connect(
    shutdown: &Shutdown,
    destination: Destination,
    connect_timeout: Duration,
) -> Result<RequestSender, DisconnectReason> {
    let stream = open_stream(destination.address, connect_timeout).await?;
    let log = ConnectionLog::open(destination.peer_kind, destination.peer_name);
    // If this fails, requests are only slower.
    let _ = stream.set_nodelay(true);
    let (sender, connection) = match http1::handshake(TokioIo::new(stream)).await {
        Ok(opened) => opened,
        Err(error) => {
            let reason = disconnect_reason(&error);
            log.close(reason);
            return Err(reason);
        }
    };
    shutdown.spawn_connection(drive(connection, shutdown.clone(), log));
    Ok(sender)
}

async fn open_stream(
    address: SocketAddr,
    connect_timeout: Duration,
) -> Result<TcpStream, DisconnectReason> {
    match timeout(connect_timeout, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => Err(connect_failure(error.kind())),
        Err(_) => Err(DisconnectReason::TimedOut),
    }
}

/// Drives a connection until it ends or the supervisor shuts down, then logs it.
async fn drive(connection: ClientConnection, shutdown: Shutdown, log: ConnectionLog) {
    let reason = tokio::select! {
        biased;
        () = shutdown.requested() => DisconnectReason::ShuttingDown,
        result = connection => match result {
            Ok(()) => DisconnectReason::Closed,
            Err(error) => disconnect_reason(&error),
        },
    };
    log.close(reason);
}

/// Returns why a connection could not be opened. An error that is not specific to the peer or the network counts as a
/// resource shortage on this machine, so that it does not count as a failure of the peer.
fn connect_failure(kind: ErrorKind) -> DisconnectReason {
    match kind {
        ErrorKind::TimedOut => DisconnectReason::TimedOut,
        ErrorKind::ConnectionRefused
        | ErrorKind::ConnectionReset
        | ErrorKind::ConnectionAborted
        | ErrorKind::HostUnreachable
        | ErrorKind::NetworkUnreachable => DisconnectReason::Refused,
        _ => DisconnectReason::ResourcesExhausted,
    }
}

/// Requests a path and waits for the head of the response.
///
/// # Errors
///
/// If the connection ends before the response, or the response cannot be parsed.
pub async fn get(
    sender: &mut RequestSender,
    host: &str,
    path: &str,
) -> Result<Response<Incoming>, DisconnectReason> {
    let request = Request::get(path)
        .header("host", host)
        .body(Empty::new())
        .map_err(|_| DisconnectReason::Malformed)?;
    sender.ready().await.map_err(|_| DisconnectReason::Closed)?;
    sender
        .send_request(request)
        .await
        .map_err(|error| disconnect_reason(&error))
}

/// Returns why a body of limited length was not received completely: its connection failed, or it is longer than allowed.
pub fn incomplete_body_reason(
    error: &(dyn std::error::Error + Send + Sync + 'static),
) -> DisconnectReason {
    match error.downcast_ref::<hyper::Error>() {
        Some(error) => disconnect_reason(error),
        None => DisconnectReason::TooLong,
    }
}

/// Returns the disconnect reason for an error of the connection.
fn disconnect_reason(error: &hyper::Error) -> DisconnectReason {
    if error.is_parse() {
        DisconnectReason::Malformed
    } else if error.is_incomplete_message() {
        DisconnectReason::Truncated
    } else {
        DisconnectReason::Reset
    }
}

#[cfg(test)]
mod tests;
