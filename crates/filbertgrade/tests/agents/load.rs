//! Callers that keep asking every VM, and what the backend servers ran.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertgrade_standins::backend::BackendServer;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::task::JoinHandle;

use crate::fleet::{Fleet, send};

/// Time between two requests of one caller.
const PERIOD: Duration = Duration::from_millis(40);

/// One caller per VM that sends a request every 40 ms, on one connection as
/// long as it stays open.
pub(crate) struct Load {
    tasks: Vec<JoinHandle<()>>,
    /// Every answer of each VM.
    answers: Vec<Arc<Mutex<Vec<Answer>>>>,
}

#[derive(Clone, Debug)]
pub(crate) struct Answer {
    /// 0 without an answer.
    pub(crate) status: u16,
    pub(crate) cause: String,
}

impl Load {
    /// Sends `<service>` requests with `key` to each VM; the request ids are
    /// `<prefix>/<VM>/<number>`.
    pub(crate) fn start(fleet: &Fleet, service: &str, key: Option<&str>, prefix: &str) -> Self {
        let mut load = Self {
            tasks: Vec::new(),
            answers: Vec::new(),
        };
        for vm in &fleet.vms {
            let answers = Arc::new(Mutex::new(Vec::new()));
            load.answers.push(Arc::clone(&answers));
            let (address, service) = (vm.caller_address(), service.to_owned());
            let key = key.map(ToOwned::to_owned);
            let prefix = format!("{prefix}/{}", vm.name);
            load.tasks.push(tokio::spawn(async move {
                let mut open = None;
                for n in 0_u64.. {
                    let req = request(&service, key.as_deref(), &format!("{prefix}/{n}"));
                    let answer = call(&mut open, address, req).await;
                    answers.lock().unwrap().push(answer);
                    tokio::time::sleep(PERIOD).await;
                }
            }));
        }
        load
    }

    /// All answers of VM `n`, counted from 0.
    pub(crate) fn answers(&self, n: usize) -> Vec<Answer> {
        self.answers[n].lock().unwrap().clone()
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// A read from `service` that the backend servers record under `id`.
pub(crate) fn request(service: &str, key: Option<&str>, id: &str) -> Request<Full<Bytes>> {
    let mut req = Request::get(format!("/{service}/hand?bytes=100"))
        .header("host", service)
        .header("x-request-id", id);
    if let Some(key) = key {
        req = req.header("authorization", format!("Bearer {key}"));
    }
    req.body(Full::default()).unwrap()
}

/// Whether the VM serves a chart with the key.
pub(crate) async fn serves(vm: SocketAddr, key: &str) -> bool {
    let req = request("chart", Some(key), "probe");
    send(vm, req)
        .await
        .is_ok_and(|answer| answer.status() == 200)
}

/// When the backend servers started the requests whose ids start with
/// `prefix`, in order.
pub(crate) fn runs(fleet: &Fleet, prefix: &str) -> Vec<Instant> {
    let records = fleet.backends.iter().map(BackendServer::records);
    let mut runs: Vec<Instant> = records
        .flat_map(|records| records.runs)
        .filter(|run| run.request_id.starts_with(prefix))
        .map(|run| run.started)
        .collect();
    runs.sort();
    runs
}

async fn call(
    open: &mut Option<SendRequest<Full<Bytes>>>,
    address: SocketAddr,
    req: Request<Full<Bytes>>,
) -> Answer {
    let answer = async {
        if open.as_ref().is_none_or(SendRequest::is_closed) {
            let stream = tokio::net::TcpStream::connect(address).await.ok()?;
            let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
                .await
                .ok()?;
            tokio::spawn(connection);
            *open = Some(sender);
        }
        let sender = open.as_mut()?;
        let (parts, body) = sender.send_request(req).await.ok()?.into_parts();
        body.collect().await.ok()?;
        let cause = parts.headers.get("filbertgrade-cause");
        let cause = cause.map(|cause| cause.to_str().unwrap().to_owned());
        Some((parts.status.as_u16(), cause.unwrap_or_default()))
    };
    let ended = answer.await;
    if ended.is_none() {
        *open = None;
    }
    let (status, cause) = ended.unwrap_or((0, "no answer".to_owned()));
    Answer { status, cause }
}
