//! HTTP client of the simulated callers, with connections that are kept until the VM closes them.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::promises::RequestOutcome;
use crate::node::endpoint::header;

/// Time after which a caller gives up on a request. It is sent as the deadline of the request.
pub(super) const REQUEST_DEADLINE: Duration = Duration::from_secs(3);

/// Timeout for opening a connection, and for a whole lookup.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An open connection to a VM.
#[derive(Debug)]
pub(super) struct Connection {
    stream: TcpStream,
    /// Bytes that were received and not parsed yet.
    buf: Vec<u8>,
}

/// Body of a request.
#[derive(Clone, Copy, Debug)]
pub(super) enum CallerBody {
    /// None; the method is GET.
    None,
    /// This number of bytes, announced in the head; the method is POST.
    WithLength(usize),
    /// This number of bytes in chunks of [`CHUNK_BYTES`]; the method is POST.
    Chunked(usize),
}

/// Length of each chunk but the last.
const CHUNK_BYTES: usize = 64 * 1024;

impl CallerBody {
    fn method(self) -> &'static str {
        match self {
            Self::None => "GET",
            Self::WithLength(_) | Self::Chunked(_) => "POST",
        }
    }

    /// Header line that announces the body.
    fn header_line(self) -> String {
        match self {
            Self::None => String::new(),
            Self::WithLength(bytes) => format!("content-length: {bytes}\r\n"),
            Self::Chunked(_) => "transfer-encoding: chunked\r\n".to_owned(),
        }
    }

    /// The body as it is sent.
    fn bytes(self) -> Vec<u8> {
        match self {
            Self::None => Vec::new(),
            Self::WithLength(bytes) => vec![b'x'; bytes],
            Self::Chunked(bytes) => {
                let mut out = Vec::new();
                let mut left = bytes;
                while left > 0 {
                    let chunk = left.min(CHUNK_BYTES);
                    out.extend(format!("{chunk:x}\r\n").into_bytes());
                    out.extend(vec![b'x'; chunk]);
                    out.extend(b"\r\n");
                    left -= chunk;
                }
                out.extend(b"0\r\n\r\n");
                out
            }
        }
    }
}

/// Contents of a request.
#[derive(Clone, Debug)]
pub(super) struct CallerRequest<'a> {
    pub(super) id: &'a str,
    pub(super) path: &'a str,
    pub(super) body: CallerBody,
    /// Requests with the same affinity key should be served by the same endpoint.
    pub(super) affinity_key: u32,
    /// API key.
    pub(super) key: &'a str,
}

impl Connection {
    /// Opens a connection. Fails if that takes longer than [`CONNECT_TIMEOUT`].
    pub(super) async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        Ok(Self {
            stream,
            buf: Vec::new(),
        })
    }

    /// Sends a request and reads its response. Returns the connection if it can be used again.
    pub(super) async fn send(
        mut self,
        request: &CallerRequest<'_>,
    ) -> (RequestOutcome, Option<Self>) {
        let no_response = |is_cut| RequestOutcome {
            status: 0,
            is_valid: false,
            is_cut,
            ended_at: Instant::now(),
            announces_end: false,
        };
        match tokio::time::timeout(REQUEST_DEADLINE, self.exchange(request)).await {
            Ok(Ok((outcome, true))) => (outcome, Some(self)),
            Ok(Ok((outcome, false))) => (outcome, None),
            Ok(Err(_)) => (no_response(true), None),
            Err(_) => (no_response(false), None),
        }
    }

    /// Sends a request and reads its response. The flag is true if the connection stays open.
    async fn exchange(
        &mut self,
        request: &CallerRequest<'_>,
    ) -> io::Result<(RequestOutcome, bool)> {
        let CallerRequest {
            id,
            path,
            body,
            affinity_key,
            key,
        } = request;
        let (method, length_line) = (body.method(), body.header_line());
        let millis = REQUEST_DEADLINE.as_millis();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: shop.example\r\nx-filbertgrade-request-id: {id}\r\n\
             x-filbertgrade-affinity-key: {affinity_key}\r\nx-filbertgrade-deadline-ms: {millis}\r\n\
             authorization: Bearer {key}\r\n{length_line}\r\n"
        );
        self.stream.write_all(head.as_bytes()).await?;
        // A refusal may arrive while the body is still being sent.
        let sent = self.stream.write_all(&body.bytes()).await;
        let head = self.read_head().await?;
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
        let status: u16 = status.unwrap_or(0);
        let length: usize = header(&head, "content-length").parse().unwrap_or(0);
        while self.buf.len() < length {
            if self.stream.read_buf(&mut self.buf).await? == 0 {
                let cut = RequestOutcome {
                    status,
                    is_valid: false,
                    is_cut: true,
                    ended_at: Instant::now(),
                    announces_end: false,
                };
                return Ok((cut, false));
            }
        }
        let body = String::from_utf8_lossy(&self.buf[..length]).into_owned();
        self.buf.drain(..length);
        let has_seal = !header(&head, "x-filbertgrade-server-seal").is_empty();
        let is_valid = has_seal && body.ends_with(&format!(" to {id}"));
        let stays_open = sent.is_ok() && header(&head, "connection") != "close";
        let outcome = RequestOutcome {
            status,
            is_valid,
            is_cut: false,
            ended_at: Instant::now(),
            announces_end: header(&head, "server-leaving") == "1",
        };
        Ok((outcome, stays_open))
    }

    /// Reads a response head and returns it in lower case.
    async fn read_head(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|part| part == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buf[..end]).to_lowercase();
                self.buf.drain(..end + 4);
                return Ok(head);
            }
            if self.stream.read_buf(&mut self.buf).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// Queries the lookup listener of a VM for the addresses that callers of a region should connect
/// to.
pub(super) async fn look_up(address: SocketAddr, region: &str) -> io::Result<Vec<SocketAddr>> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        let head = format!(
            "GET /-/resolve?name=a&region={region}&zone={region}-a HTTP/1.1\r\n\
             host: a\r\nconnection: close\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await?;
        io::Result::Ok(text)
    };
    let text = tokio::time::timeout(CONNECT_TIMEOUT, exchange).await??;
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let body: serde_json::Value = serde_json::from_str(body)?;
    let addresses = body["addrs"].as_array().into_iter().flatten();
    Ok(addresses
        .filter_map(|address| address.as_str()?.parse().ok())
        .collect())
}
