//! HTTP server of the emulated discovery agent and servers.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

pub(crate) type Body = BoxBody<Bytes, Infallible>;

pub(crate) async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Serves HTTP on a listener in the background, and counts the connections.
pub(crate) fn serve<F, R>(listener: TcpListener, connections: Arc<AtomicUsize>, handler: F)
where
    F: Fn(Request<hyper::body::Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            connections.fetch_add(1, Ordering::SeqCst);
            let handler = handler.clone();
            let service = service_fn(move |request| {
                let response = handler(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let connection = hyper::server::conn::http1::Builder::new();
            tokio::spawn(async move {
                connection
                    .serve_connection(TokioIo::new(stream), service)
                    .await
            });
        }
    });
}

pub(crate) fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(text.into()).boxed());
    *response.status_mut() = status;
    response
}
