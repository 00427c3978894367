//! One HTTP call over a connection of its own.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Any local address with a free port.
pub(crate) const ANY: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Sends one request and returns the whole answer, or `None` if the connection broke first.
pub(crate) async fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Response<Bytes>> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .ok()?;
    let task = tokio::spawn(connection);
    let mut req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "test");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req
        .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
        .expect("a valid request");
    let answer = sender.send_request(req).await.ok()?;
    let (parts, body) = answer.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    drop(sender);
    let _ = task.await;
    Some(Response::from_parts(parts, body))
}
