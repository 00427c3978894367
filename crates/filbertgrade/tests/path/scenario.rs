//! Runs the scenarios of `tests/path/scenarios/`, one test for each file.
//!
//! Commands; `n` counts from 1:
//! - `request ID [vm=n] [method=M] [service=S] [query=Q] [body=BYTES] [idem=KEY]
//!   [deadline=MS]`: sends a request and prints its result. `whole` means that
//!   the response body is exactly the one that follows from the request id and
//!   body.
//! - `start ID ...`: like `request`, but in the background; `await ID` prints the
//!   result, `abandon ID` closes the connection.
//! - `ran ID`: prints how often the backend servers ran the request.
//!   `cancelled n` and `deadline_exceeded n`: print how many requests ended that
//!   way at a backend server.
//! - `backend n FAULT=VALUE`, `proxy n FAULT=VALUE`, `platform FAULT=VALUE`: sets
//!   a fault. `proxy n gone=true` closes the proxy's address; the proxies after
//!   it are renumbered.
//! - `record KEY`: prints the state and status of an idempotency key that the
//!   platform stores.
//! - `occupy n requests=N ms=MS`: occupies slots of a backend server directly.
//! - `connect n`: opens a caller's connection and leaves it idle.
//! - `sleep MS`: waits.
//! - `signal n [name=INT]`: sends a signal to an entry process, SIGTERM by
//!   default.
//! - `exit n`: waits for an entry process to exit and prints its exit status.
//! - `names n vm=m`: prints whether the lookup response of VM `n` names VM `m`.

use std::collections::HashMap;
use std::error::Error;
use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertgrade_standins::backend::expected_response;
use filbertgrade_standins::proxy::{Direction, Fault};
use goldenscript::{Command, Context, Runner};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use rstest::rstest;
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;

use crate::fleet::{Fleet, send};

#[rstest]
fn scenario(#[files("tests/path/scenarios/*")] path: PathBuf) {
    let runtime = Runtime::new().unwrap();
    let (fleet, secret) = runtime.block_on(ready_fleet(2));
    let mut runner = ScenarioRunner {
        runtime,
        fleet,
        secret,
        running: HashMap::new(),
        idle: Vec::new(),
    };
    goldenscript::run(&mut runner, path).unwrap();
}

/// Starts a fleet and waits until every VM serves requests with the returned
/// key.
pub(crate) async fn ready_fleet(vms: u8) -> (Fleet, String) {
    let fleet = Fleet::start(vms).await;
    fleet.apply().await;
    let secret = fleet.create_key("atelier").await;
    let probe = |vm| {
        let req = Request::get("/chart/probe")
            .header("host", "chart")
            .header("authorization", format!("Bearer {secret}"))
            .body(Full::default())
            .unwrap();
        async move { send(vm, req).await.is_ok_and(|a| a.status() == 200) }
    };
    fleet.wait_until(Duration::from_secs(10), probe).await;
    (fleet, secret)
}

struct ScenarioRunner {
    runtime: Runtime,
    fleet: Fleet,
    secret: String,
    running: HashMap<String, JoinHandle<String>>,
    /// Idle connections of callers.
    idle: Vec<std::net::TcpStream>,
}

/// A request and the response body that is expected for it.
struct TestRequest {
    vm: SocketAddr,
    req: Request<Full<Bytes>>,
    expected: Bytes,
}

impl Runner for ScenarioRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let mut first = || args.next_pos().unwrap_or_default().to_owned();
        Ok(match command.name.as_str() {
            "request" => {
                let test_request = self.test_request(command)?;
                self.runtime.block_on(send_and_describe(test_request))
            }
            "start" => {
                let id = first();
                let test_request = self.test_request(command)?;
                let task = self.runtime.spawn(send_and_describe(test_request));
                self.running.insert(id, task);
                String::new()
            }
            "await" => {
                let task = self.running.remove(&first()).ok_or("not started")?;
                self.runtime.block_on(task)?
            }
            "abandon" => {
                let task = self.running.remove(&first()).ok_or("not started")?;
                task.abort();
                String::new()
            }
            "ran" => {
                let id = first();
                let ran: u64 = self.fleet.backends.iter().map(|b| b.run_count(&id)).sum();
                ran.to_string()
            }
            "cancelled" => {
                let n: usize = first().parse()?;
                self.fleet.backends[n - 1].records().cancelled.to_string()
            }
            "deadline_exceeded" => {
                let n: usize = first().parse()?;
                let records = self.fleet.backends[n - 1].records();
                records.deadline_exceeded.to_string()
            }
            "backend" => self.backend(command)?,
            "proxy" => self.proxy(command)?,
            "platform" => self.platform(command)?,
            "record" => self.record(&first()),
            "occupy" => self.occupy(command)?,
            "sleep" => {
                std::thread::sleep(Duration::from_millis(first().parse()?));
                String::new()
            }
            "signal" => {
                let n: usize = first().parse()?;
                let id = self.fleet.vms[n - 1].entry.id().to_string();
                let name = args.take_key("name").unwrap_or("TERM");
                std::process::Command::new("kill")
                    .args([&format!("-{name}"), &id])
                    .status()?;
                String::new()
            }
            "connect" => {
                let n: usize = first().parse()?;
                let callers = self.fleet.vms[n - 1].caller_address();
                let mut stream = std::net::TcpStream::connect(callers)?;
                stream.write_all(b"GET /v1/lookup HTTP/1.1\r\nhost: x\r\n\r\n")?;
                stream.read_exact(&mut [0])?;
                self.idle.push(stream);
                String::new()
            }
            "exit" => self.exit(first().parse()?)?,
            "names" => self.lookup_response_names(command)?,
            name => return Err(format!("unknown command {name}").into()),
        })
    }

    // Without this, goldenscript prints an empty line, which would look like a
    // command without effect.
    fn end_command(&mut self, _: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        Ok(String::new())
    }
}

impl ScenarioRunner {
    fn test_request(&self, command: &Command) -> Result<TestRequest, Box<dyn Error>> {
        let mut args = command.consume_args();
        let id = args.next_pos().ok_or("no request id")?;
        let vm: usize = args.take_key("vm").unwrap_or("1").parse()?;
        let service = args.take_key("service").unwrap_or("chart");
        let query = args.take_key("query").unwrap_or("bytes=2000");
        let body: usize = args.take_key("body").unwrap_or("0").parse()?;
        let body = Bytes::from(vec![b'x'; body]);
        let mut req = Request::builder()
            .method(args.take_key("method").unwrap_or("GET"))
            .uri(format!("/{service}/item?{query}"))
            .header("host", service)
            .header("x-request-id", id)
            .header("authorization", format!("Bearer {}", self.secret));
        if let Some(key) = args.take_key("idem") {
            req = req.header("idempotency-key", key);
        }
        if let Some(deadline) = args.take_key("deadline") {
            req = req.header("x-deadline-ms", deadline);
        }
        args.reject_next()?;
        let size = query
            .split('&')
            .find_map(|part| part.strip_prefix("bytes="))
            .unwrap_or("64")
            .parse()?;
        Ok(TestRequest {
            vm: self.fleet.vms[vm - 1].caller_address(),
            expected: expected_response(id, &body, size),
            req: req.body(Full::new(body))?,
        })
    }

    fn backend(&self, command: &Command) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let n: usize = args.next_pos().ok_or("no backend server")?.parse()?;
        let backend = &self.fleet.backends[n - 1];
        let truncate_after = args.take_key("after").unwrap_or("0").parse()?;
        while let Some((fault, value)) = args.next_key() {
            match fault {
                "swallow" => backend.withhold_next_responses(value.parse()?),
                "cut" => backend.truncate_next_responses(value.parse()?, truncate_after),
                "close_unread" => backend.close_next_unread(value.parse()?),
                "draining" => backend.set_draining(value.parse()?),
                "silence_open" => backend.freeze_open_connections(),
                _ => return Err(format!("unknown fault {fault}").into()),
            }
        }
        args.reject_next()?;
        Ok(String::new())
    }

    fn proxy(&mut self, command: &Command) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let n: usize = args.next_pos().ok_or("no proxy")?.parse()?;
        if args.take_key("gone").is_some() {
            self.fleet.proxies.remove(n - 1);
            return Ok(String::new());
        }
        let proxy = &self.fleet.proxies[n - 1];
        while let Some((fault, value)) = args.next_key() {
            let truncate_after = Some(value.parse().unwrap_or(0));
            let stalled = Fault {
                stalled: true,
                ..Fault::default()
            };
            let truncate = Fault {
                truncate_after,
                ..Fault::default()
            };
            match (fault, value) {
                ("refuse", _) => proxy.set_refuse(value.parse()?),
                ("open", "cut") => proxy.reset_open(),
                ("open", "freeze") => proxy.freeze_open(),
                ("silent", "to_server") => proxy.set_fault(Direction::ToServer, stalled),
                ("silent", "to_client") => proxy.set_fault(Direction::ToClient, stalled),
                ("truncate_to_client", _) => proxy.set_fault(Direction::ToClient, truncate),
                ("truncate_to_server", _) => proxy.set_fault(Direction::ToServer, truncate),
                ("faults", "clear") => proxy.clear_faults(),
                _ => return Err(format!("unknown fault {fault}={value}").into()),
            }
        }
        args.reject_next()?;
        Ok(String::new())
    }

    fn platform(&self, command: &Command) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        while let Some((fault, value)) = args.next_key() {
            match fault {
                "down" => self.fleet.platform.set_down(value.parse()?),
                "unresponsive" => self.fleet.platform.set_unresponsive(value.parse()?),
                "lose_answers" => self.fleet.platform.drop_next_responses(value.parse()?),
                _ => return Err(format!("unknown fault {fault}").into()),
            }
        }
        args.reject_next()?;
        Ok(String::new())
    }

    /// Waits briefly before reading, because the result of an attempt is
    /// recorded after its response.
    fn record(&self, key: &str) -> String {
        use sha2::Digest;
        let digest = sha2::Sha256::digest(key.as_bytes());
        let digest = digest.iter().fold(String::new(), |mut text, byte| {
            let _ = write!(text, "{byte:02x}");
            text
        });
        std::thread::sleep(Duration::from_millis(300));
        let name = format!("attempts/atelier/{digest}");
        let Some((_, value)) = self.fleet.platform.get(&name) else {
            return "absent".to_owned();
        };
        let record: serde_json::Value = serde_json::from_slice(&value).unwrap();
        format!("{} {}", record["state"], record["status"]).replace('"', "")
    }

    /// Returns once the slots are occupied.
    fn occupy(&self, command: &Command) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let n: usize = args.next_pos().ok_or("no backend server")?.parse()?;
        let requests: usize = args.take_key("requests").ok_or("no requests")?.parse()?;
        let ms = args.take_key("ms").ok_or("no ms")?;
        let backend = &self.fleet.backends[n - 1];
        for _ in 0..requests {
            let req = Request::get(format!("/chart/occupy?service_ms={ms}"))
                .header("host", "chart")
                .body(Full::default())?;
            let address = backend.addr();
            self.runtime
                .spawn(async move { send(address, req).await.is_ok() });
        }
        let start = Instant::now();
        while backend.busy() < requests && start.elapsed() < Duration::from_secs(5) {
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(String::new())
    }

    fn exit(&mut self, n: usize) -> Result<String, Box<dyn Error>> {
        let entry = &mut self.fleet.vms[n - 1].entry;
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(15) {
            if let Some(status) = entry.try_wait()? {
                return Ok(status.to_string());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok("still running".to_owned())
    }

    fn lookup_response_names(&self, command: &Command) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let n: usize = args.next_pos().ok_or("no VM")?.parse()?;
        let vm_name = format!("vm-{}", args.take_key("vm").ok_or("no named VM")?);
        let req = Request::get("/v1/lookup?client=10.1.0.1")
            .header("host", "lookup")
            .body(Full::default())?;
        let response = self
            .runtime
            .block_on(send(self.fleet.vms[n - 1].caller_address(), req))
            .map_err(|e| e.to_string())?;
        let response: serde_json::Value = serde_json::from_slice(response.body())?;
        let vms = response["vms"].as_array().ok_or("no VMs")?;
        Ok(vms.iter().any(|vm| vm["vm"] == vm_name).to_string())
    }
}

/// Sends a request on a new connection and returns a description of the result.
async fn send_and_describe(test_request: TestRequest) -> String {
    let Ok(stream) = tokio::net::TcpStream::connect(test_request.vm).await else {
        return "no connection".to_owned();
    };
    let Ok((mut sender, connection)) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await
    else {
        return "no connection".to_owned();
    };
    // Both run in this task, so that aborting the task closes the connection.
    let response = async move {
        let response = sender.send_request(test_request.req).await;
        match response {
            Ok(response) => describe(response, &test_request.expected).await,
            Err(_) => "no answer".to_owned(),
        }
    };
    let (response, _) = tokio::join!(response, connection);
    response
}

async fn describe(response: Response<hyper::body::Incoming>, expected: &Bytes) -> String {
    let (parts, body) = response.into_parts();
    let header = |name| parts.headers.get(name).and_then(|v| v.to_str().ok());
    let mut text = parts.status.as_u16().to_string();
    if let (Some(cause), Some(outcome)) =
        (header("filbertgrade-cause"), header("filbertgrade-outcome"))
    {
        let _ = write!(text, " {cause} {outcome}");
        if let Some(status) = header("filbertgrade-attempt-status") {
            let _ = write!(text, " first={status}");
        }
        return text;
    }
    text + match body
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
    {
        Ok(body) if body == *expected => " whole",
        Ok(_) => " another answer",
        Err(_) => " aborted",
    }
}
