//! HTTP client for the tests.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Loopback address with port 0, which binds a free port.
pub(crate) const FREE_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Sends one request on a new connection and returns the response with its complete body, or `None`
/// if the connection failed first.
pub(crate) async fn send(
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
    let response = sender.send_request(req).await.ok()?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    drop(sender);
    let _ = task.await;
    Some(Response::from_parts(parts, body))
}
