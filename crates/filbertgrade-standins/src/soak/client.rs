//! A caller that keeps its connection until the other side ends it.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::promises::Ended;
use crate::node::endpoint::header;

/// Time that a caller gives a request.
pub(super) const DEADLINE: Duration = Duration::from_secs(3);

/// Time for a connection.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// An open connection to a VM.
#[derive(Debug)]
pub(super) struct Connection {
    stream: TcpStream,
    buf: Vec<u8>,
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub(super) struct Question<'a> {
    pub(super) id: &'a str,
    pub(super) path: &'a str,
    pub(super) object: u32,
    pub(super) key: &'a str,
}

impl Connection {
    pub(super) async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = tokio::time::timeout(CONNECT_TIME, TcpStream::connect(address)).await??;
        Ok(Self {
            stream,
            buf: Vec::new(),
        })
    }

    /// Sends a request and reads its answer. The connection can be used again
    /// when it is handed back.
    pub(super) async fn ask(mut self, question: &Question<'_>) -> (Ended, Option<Self>) {
        let none = Ended {
            status: 0,
            own: false,
        };
        match tokio::time::timeout(DEADLINE, self.exchange(question)).await {
            Ok(Ok((ended, true))) => (ended, Some(self)),
            Ok(Ok((ended, false))) => (ended, None),
            Ok(Err(_)) | Err(_) => (none, None),
        }
    }

    async fn exchange(&mut self, question: &Question<'_>) -> io::Result<(Ended, bool)> {
        let Question {
            id,
            path,
            object,
            key,
        } = question;
        let millis = DEADLINE.as_millis();
        let head = format!(
            "GET {path} HTTP/1.1\r\nhost: shop.example\r\nx-filbertgrade-request-id: {id}\r\n\
             x-filbertgrade-affinity-key: {object}\r\nx-filbertgrade-deadline-ms: {millis}\r\n\
             authorization: Bearer {key}\r\n\r\n"
        );
        self.stream.write_all(head.as_bytes()).await?;
        let head = self.read_head().await?;
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
        let status: u16 = status.unwrap_or(0);
        let length: usize = header(&head, "content-length").parse().unwrap_or(0);
        while self.buf.len() < length {
            if self.stream.read_buf(&mut self.buf).await? == 0 {
                return Ok((Ended { status, own: false }, false));
            }
        }
        let body = String::from_utf8_lossy(&self.buf[..length]).into_owned();
        self.buf.drain(..length);
        let signed = !header(&head, "x-filbertgrade-server-seal").is_empty();
        let own = signed && body.ends_with(&format!(" to {id}"));
        let open = header(&head, "connection") != "close";
        Ok((Ended { status, own }, open))
    }

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

/// Asks a VM where callers of a region should connect.
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
    let text = tokio::time::timeout(CONNECT_TIME, exchange).await??;
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let body: serde_json::Value = serde_json::from_str(body)?;
    let list = body["addrs"].as_array().into_iter().flatten();
    Ok(list
        .filter_map(|address| address.as_str()?.parse().ok())
        .collect())
}
