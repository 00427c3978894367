//! A stand-in for a backend server of the platform.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::common::lock;

/// What an endpoint does with its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointBehavior {
    /// It serves them.
    Serves,
    /// It says that it did not run the request.
    Refuses,
    /// It runs the request and resets the connection.
    LosesAnswer,
    /// It runs the request and does not answer.
    Silent,
    /// Its answer names another request.
    CrossesAnswers,
    /// Its answer bears no signature.
    Unsigned,
    /// Its answer ends early.
    CutsAnswers,
    /// It runs the request, and its work fails.
    Fails,
    /// Another endpoint has its address.
    IsAnother,
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its name.
    pub id: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    behavior: Arc<Mutex<EndpointBehavior>>,
    work: Duration,
    ran: Arc<Mutex<Vec<Run>>>,
}

/// A request that an endpoint ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// Its head in lower case.
    pub head: String,
    /// When the work began.
    pub at: Instant,
}

impl Endpoint {
    /// Starts an endpoint whose work takes a given time on a free port.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start(id: &str, work: Duration) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let endpoint = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            behavior: Arc::new(Mutex::new(EndpointBehavior::Serves)),
            work,
            ran: Arc::default(),
        };
        let serving = endpoint.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let endpoint = serving.clone();
                // How a connection ended shows at the caller.
                tokio::spawn(async move { drop(endpoint.serve(stream).await) });
            }
        });
        Ok(endpoint)
    }

    /// Changes what it does with its requests.
    pub fn set_behavior(&self, behavior: EndpointBehavior) {
        *lock(&self.behavior) = behavior;
    }

    /// Heads of the requests that it ran, in lower case.
    pub fn run_heads(&self) -> Vec<String> {
        lock(&self.ran).iter().map(|run| run.head.clone()).collect()
    }

    /// The requests that it ran after the first `count`.
    pub fn runs_since(&self, count: usize) -> Vec<Run> {
        lock(&self.ran).iter().skip(count).cloned().collect()
    }

    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut buf = Vec::new();
        loop {
            let Some(head) = read_request(&mut stream, &mut buf).await? else {
                return Ok(());
            };
            let behavior = *lock(&self.behavior);
            let id = header(&head, "x-filbertgrade-request-id");
            match behavior {
                EndpointBehavior::Refuses => {
                    let answer = "HTTP/1.1 503 Busy\r\nx-filbertgrade-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
                    stream.write_all(answer.as_bytes()).await?;
                    continue;
                }
                EndpointBehavior::IsAnother => {
                    stream
                        .write_all(b"HTTP/1.1 421 Other\r\ncontent-length: 0\r\n\r\n")
                        .await?;
                    continue;
                }
                _ => {}
            }
            let at = Instant::now();
            lock(&self.ran).push(Run { head, at });
            tokio::time::sleep(self.work).await;
            match behavior {
                EndpointBehavior::LosesAnswer => return Ok(()),
                EndpointBehavior::Silent => std::future::pending().await,
                _ => {}
            }
            let status = if behavior == EndpointBehavior::Fails {
                "500 Failed"
            } else {
                "200 OK"
            };
            let echoed = if behavior == EndpointBehavior::CrossesAnswers {
                "another"
            } else {
                &id
            };
            let seal = if behavior == EndpointBehavior::Unsigned {
                "x-none"
            } else {
                "x-filbertgrade-server-seal"
            };
            let body = format!("answer of {} to {echoed}", self.id);
            let answer = format!(
                "HTTP/1.1 {status}\r\nx-filbertgrade-request-id: {echoed}\r\n{seal}: s\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all(answer.as_bytes()).await?;
            if behavior == EndpointBehavior::CutsAnswers {
                return stream.write_all(&body.as_bytes()[..5]).await;
            }
            stream.write_all(body.as_bytes()).await?;
        }
    }
}

/// The head of the next request, after its body was read.
async fn read_request(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
) -> std::io::Result<Option<String>> {
    loop {
        if let Some(end) = buf.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).to_lowercase();
            let length: usize = header(&head, "content-length").parse().unwrap_or(0);
            while buf.len() < end + 4 + length {
                if stream.read_buf(buf).await? == 0 {
                    return Ok(None);
                }
            }
            buf.drain(..end + 4 + length);
            return Ok(Some(head));
        }
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    }
}

/// The value of a header in a head in lower case; empty when it is missing.
pub fn header(head: &str, name: &str) -> String {
    let line = head
        .lines()
        .find_map(|line| line.strip_prefix(&format!("{name}: ")));
    line.unwrap_or("").to_owned()
}
