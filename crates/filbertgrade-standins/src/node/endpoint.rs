//! A stand-in for a backend server of the platform, with configurable faults.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use crate::common::lock;

/// Length of the body of a long refusal.
const LONG_REFUSAL_BYTES: usize = 600_000;

/// Time between a refusal and its second copy.
const SECOND_COPY_DELAY: Duration = Duration::from_millis(100);

/// How an endpoint handles its requests. Each request runs, except with those variants whose names
/// say that it refuses, and [`Self::IsAnother`]. The plan of a soak prints the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointBehavior {
    /// Responds with status 200.
    Serves,
    /// Responds with status 503 and the header that confirms that the request did not run.
    Refuses,
    /// Like [`Self::Refuses`], with a body that is longer than a node buffers.
    RefusesAtLength,
    /// Like [`Self::Refuses`], before it has read the body, and reads on afterwards.
    RefusesEarly,
    /// Like [`Self::Refuses`], and sends the refusal once more a little later.
    RefusesTwice,
    /// Closes the connection without a response.
    LosesAnswer,
    /// Never responds, but keeps the connection open.
    Silent,
    /// Responds with the id of another request, in the header and in the body.
    CrossesAnswers,
    /// Responds without the header that holds the endpoint's seal.
    Unsigned,
    /// Closes the connection after 5 bytes of the response body.
    CutsAnswers,
    /// Responds with status 500.
    Fails,
    /// Responds with the given status, and without the header that confirms that the request did
    /// not run.
    RunsAndResponds(u16),
    /// Responds with status 421, like an endpoint that took over the address of another one. The
    /// request does not run.
    IsAnother,
}

/// A running backend server. Clones share its state.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Id under which the platform registers it first.
    pub id: String,
    /// Address that it accepts requests on.
    pub address: SocketAddr,
    /// Id of the process that has the address now. Requests that are meant for another id get status
    /// 421 and do not run.
    process_id: Arc<Mutex<String>>,
    /// Time after which it sends the refusal of such a request once more.
    copy_delay: Arc<Mutex<Option<Duration>>>,
    behavior: Arc<Mutex<EndpointBehavior>>,
    /// Time for which it works on each request that names no other.
    service_time: Duration,
    runs: Arc<Mutex<Vec<Run>>>,
    /// Requests a second that it names as its limit in each response.
    rate_limit: Arc<Mutex<Option<f64>>>,
    /// It announces its end in each response.
    leaving: Arc<AtomicBool>,
    /// Time in seconds that it asks for with each refusal, as it stands in the header.
    pause: Arc<Mutex<Option<String>>>,
    /// Arrivals of all requests, also of those that it refused.
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

/// Arrival of a request at an endpoint.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Id of the request.
    pub id: String,
    /// When the head of the request had arrived.
    pub at: Instant,
    /// The endpoint refuses the request and asks for a pause.
    pub asks_for_pause: bool,
}

/// A run of a request at an endpoint.
#[derive(Clone, Debug)]
pub struct Run {
    /// Request line and headers, in lower case.
    pub head: String,
    /// When the endpoint started to run the request.
    pub at: Instant,
}

impl Endpoint {
    /// Starts an endpoint on a free port. It works on each request for `service_time`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(id: &str, service_time: Duration) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let endpoint = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            process_id: Arc::new(Mutex::new(id.to_owned())),
            copy_delay: Arc::default(),
            behavior: Arc::new(Mutex::new(EndpointBehavior::Serves)),
            service_time,
            runs: Arc::default(),
            rate_limit: Arc::default(),
            leaving: Arc::default(),
            pause: Arc::default(),
            arrivals: Arc::default(),
        };
        let serving = endpoint.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let endpoint = serving.clone();
                // The node observes how its connection ended.
                tokio::spawn(async move { drop(endpoint.serve(stream).await) });
            }
        });
        Ok(endpoint)
    }

    /// Id of the process that has the address now.
    pub fn process_id(&self) -> String {
        lock(&self.process_id).clone()
    }

    /// Lets another process take over the address, like an endpoint that has crashed and comes back
    /// under another id.
    pub fn set_process_id(&self, id: &str) {
        id.clone_into(&mut lock(&self.process_id));
    }

    /// Sets the time after which it sends the refusal of a request that is meant for another id once
    /// more.
    pub fn set_copy_delay(&self, delay: Option<Duration>) {
        *lock(&self.copy_delay) = delay;
    }

    /// Sets the behavior for requests that arrive from now on.
    pub fn set_behavior(&self, behavior: EndpointBehavior) {
        *lock(&self.behavior) = behavior;
    }

    /// Sets the limit in requests a second that it names in each response from now on.
    /// It does not enforce the limit.
    pub fn set_rate_limit(&self, per_second: Option<f64>) {
        *lock(&self.rate_limit) = per_second;
    }

    /// Announces its end in each response from now on, or not.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::SeqCst);
    }

    /// Sets the time in seconds for which it wants no requests after each refusal.
    pub fn set_pause(&self, seconds: Option<&str>) {
        *lock(&self.pause) = seconds.map(str::to_owned);
    }

    /// Returns when each request so far arrived, also those that it refused, but for requests that are
    /// meant for another id.
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.arrivals)
            .iter()
            .map(|arrival| arrival.at)
            .collect()
    }

    /// Returns all arrivals but the first `count`.
    pub fn arrivals_since(&self, count: usize) -> Vec<Arrival> {
        lock(&self.arrivals).iter().skip(count).cloned().collect()
    }

    /// Returns the header lines that say something of the endpoint itself: its limit, and that it
    /// leaves.
    fn own_lines(&self) -> String {
        let mut lines = lock(&self.rate_limit).map_or(String::new(), |limit| {
            format!("x-filbertgrade-server-limit: {limit}\r\n")
        });
        if self.leaving.load(Ordering::SeqCst) {
            lines.push_str("server-leaving: 1\r\n");
        }
        lines
    }

    /// Returns the header line that asks for a pause; empty if there is none.
    fn pause_line(&self) -> String {
        let pause = lock(&self.pause).clone();
        pause.map_or(String::new(), |time| format!("retry-after: {time}\r\n"))
    }

    /// Returns the request lines and headers of all runs so far, in lower case.
    pub fn run_heads(&self) -> Vec<String> {
        lock(&self.runs)
            .iter()
            .map(|run| run.head.clone())
            .collect()
    }

    /// Returns all runs but the first `count`.
    pub fn runs_since(&self, count: usize) -> Vec<Run> {
        lock(&self.runs).iter().skip(count).cloned().collect()
    }

    /// Handles the requests of one connection until it ends.
    async fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let (mut requests, responses) = stream.into_split();
        let responses = Arc::new(tokio::sync::Mutex::new(responses));
        let mut buf = Vec::new();
        loop {
            let Some(head) = read_head(&mut requests, &mut buf).await? else {
                return Ok(());
            };
            if self.is_meant_for_another(&head) {
                self.refuse_as_another(&head, &mut requests, &mut buf, &responses)
                    .await?;
                continue;
            }
            let behavior = *lock(&self.behavior);
            let own = self.own_lines();
            let id = header(&head, "x-filbertgrade-request-id");
            let pause = self.pause_line();
            lock(&self.arrivals).push(Arrival {
                id: id.clone(),
                at: Instant::now(),
                asks_for_pause: behavior == EndpointBehavior::Refuses && !pause.is_empty(),
            });
            let refusal = format!(
                "HTTP/1.1 503 Busy\r\nx-filbertgrade-request-id: {id}\r\nx-filbertgrade-not-executed: 1\r\n{own}{pause}content-length: 0\r\n\r\n"
            );
            if behavior == EndpointBehavior::RefusesEarly {
                write_all(&responses, refusal.as_bytes()).await?;
            }
            let length: usize = header(&head, "content-length").parse().unwrap_or(0);
            if !read_body(&mut requests, &mut buf, length).await? {
                return Ok(());
            }
            match behavior {
                EndpointBehavior::RefusesEarly => continue,
                EndpointBehavior::Refuses => {
                    write_all(&responses, refusal.as_bytes()).await?;
                    continue;
                }
                EndpointBehavior::RefusesTwice => {
                    write_all(&responses, refusal.as_bytes()).await?;
                    tokio::time::sleep(SECOND_COPY_DELAY).await;
                    write_all(&responses, refusal.as_bytes()).await?;
                    continue;
                }
                EndpointBehavior::RefusesAtLength => {
                    let head = format!(
                        "HTTP/1.1 503 Busy\r\nx-filbertgrade-request-id: {id}\r\nx-filbertgrade-not-executed: 1\r\n{own}content-length: {LONG_REFUSAL_BYTES}\r\n\r\n"
                    );
                    let refusal = head + &"x".repeat(LONG_REFUSAL_BYTES);
                    write_all(&responses, refusal.as_bytes()).await?;
                    continue;
                }
                EndpointBehavior::IsAnother => {
                    write_all(&responses, misdirected(&id).as_bytes()).await?;
                    continue;
                }
                _ => {}
            }
            let at = Instant::now();
            let work = work_named_in(&head).unwrap_or(self.service_time);
            lock(&self.runs).push(Run { head, at });
            tokio::time::sleep(work).await;
            let own = self.own_lines();
            match behavior {
                EndpointBehavior::LosesAnswer => return Ok(()),
                EndpointBehavior::Silent => std::future::pending().await,
                _ => {}
            }
            let status = match behavior {
                EndpointBehavior::Fails => "500 Failed".to_owned(),
                EndpointBehavior::RunsAndResponds(status) => format!("{status} Status"),
                _ => "200 OK".to_owned(),
            };
            let response_id = if behavior == EndpointBehavior::CrossesAnswers {
                "another"
            } else {
                &id
            };
            let seal_header = if behavior == EndpointBehavior::Unsigned {
                "x-none"
            } else {
                "x-filbertgrade-server-seal"
            };
            let body = format!("answer of {} to {response_id}", self.id);
            let sent_body = if behavior == EndpointBehavior::CutsAnswers {
                &body[..5]
            } else {
                &body
            };
            // One write, so that no copy of a refusal gets into the middle of a response.
            let response = format!(
                "HTTP/1.1 {status}\r\nx-filbertgrade-request-id: {response_id}\r\n{seal_header}: s\r\n{own}content-length: {}\r\n\r\n{sent_body}",
                body.len()
            );
            write_all(&responses, response.as_bytes()).await?;
            if behavior == EndpointBehavior::CutsAnswers {
                return Ok(());
            }
        }
    }

    fn is_meant_for_another(&self, head: &str) -> bool {
        let id = header(head, "x-filbertgrade-expected-instance");
        !id.is_empty() && id != lock(&self.process_id).to_lowercase()
    }

    /// Refuses a request that is meant for another id, and sends the refusal once more later if a time
    /// is set for that.
    async fn refuse_as_another(
        &self,
        head: &str,
        requests: &mut OwnedReadHalf,
        buf: &mut Vec<u8>,
        responses: &Arc<tokio::sync::Mutex<OwnedWriteHalf>>,
    ) -> std::io::Result<()> {
        let length: usize = header(head, "content-length").parse().unwrap_or(0);
        if !read_body(requests, buf, length).await? {
            return Ok(());
        }
        let id = header(head, "x-filbertgrade-request-id");
        let refusal = misdirected(&id);
        write_all(responses, refusal.as_bytes()).await?;
        let copy_delay = *lock(&self.copy_delay);
        if let Some(delay) = copy_delay {
            let responses = Arc::clone(responses);
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                // Fails if the node has closed the connection.
                drop(write_all(&responses, refusal.as_bytes()).await);
            });
        }
        Ok(())
    }
}

/// Response of an endpoint that has taken over the address of another one.
fn misdirected(id: &str) -> String {
    format!("HTTP/1.1 421 Other\r\nx-filbertgrade-request-id: {id}\r\ncontent-length: 0\r\n\r\n")
}

async fn write_all(
    responses: &tokio::sync::Mutex<OwnedWriteHalf>,
    bytes: &[u8],
) -> std::io::Result<()> {
    responses.lock().await.write_all(bytes).await
}

/// Time in milliseconds that the query of a request names as its work.
fn work_named_in(head: &str) -> Option<Duration> {
    let target = head.split(' ').nth(1)?;
    let (_, ms) = target.split_once("?work-ms=")?;
    ms.parse().ok().map(Duration::from_millis)
}

/// Reads the head of the next request and returns it in lower case, or `None` at the end of the
/// connection.
async fn read_head(
    stream: &mut OwnedReadHalf,
    buf: &mut Vec<u8>,
) -> std::io::Result<Option<String>> {
    loop {
        if let Some(end) = buf.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).to_lowercase();
            buf.drain(..end + 4);
            return Ok(Some(head));
        }
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    }
}

/// Reads and discards a body. Returns false if the connection ends first.
async fn read_body(
    stream: &mut OwnedReadHalf,
    buf: &mut Vec<u8>,
    length: usize,
) -> std::io::Result<bool> {
    while buf.len() < length {
        if stream.read_buf(buf).await? == 0 {
            return Ok(false);
        }
    }
    buf.drain(..length);
    Ok(true)
}

/// Returns the value of a header in a head that is in lower case, or an empty string if it is
/// missing.
pub fn header(head: &str, name: &str) -> String {
    let line = head
        .lines()
        .find_map(|line| line.strip_prefix(&format!("{name}: ")));
    line.unwrap_or("").to_owned()
}
