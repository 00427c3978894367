//! Load for the scenarios: callers that send requests to every VM, and the
//! requests that the backend servers ran.

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
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// One caller per VM, which sends a request every 40 ms. It uses one connection
/// until the VM closes it, and then opens another.
pub(crate) struct Load {
    tasks: Vec<JoinHandle<()>>,
    /// All responses of each VM, in order.
    responses: Vec<Arc<Mutex<Vec<CallerResponse>>>>,
}

/// Response to one request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerResponse {
    /// Status code; 0 without a response.
    pub(crate) status: u16,
    /// Cause of the refusal, from the header `filbertgrade-cause`; empty without
    /// the header.
    pub(crate) cause: String,
}

impl Load {
    /// Starts sending requests for `service` with `key` to each VM. The request
    /// ids are `<prefix>/<VM>/<number>`.
    pub(crate) fn start(fleet: &Fleet, service: &str, key: Option<&str>, prefix: &str) -> Self {
        let mut load = Self {
            tasks: Vec::new(),
            responses: Vec::new(),
        };
        for vm in &fleet.vms {
            let responses = Arc::new(Mutex::new(Vec::new()));
            load.responses.push(Arc::clone(&responses));
            let (address, service) = (vm.caller_address(), service.to_owned());
            let key = key.map(ToOwned::to_owned);
            let prefix = format!("{prefix}/{}", vm.name);
            load.tasks.push(tokio::spawn(async move {
                let mut open = None;
                for n in 0_u64.. {
                    let req = request(&service, key.as_deref(), &format!("{prefix}/{n}"));
                    let response = call(&mut open, address, req).await;
                    responses.lock().unwrap().push(response);
                    tokio::time::sleep(REQUEST_INTERVAL).await;
                }
            }));
        }
        load
    }

    /// All responses so far of the VM with index `n`, counted from 0.
    pub(crate) fn responses(&self, n: usize) -> Vec<CallerResponse> {
        self.responses[n].lock().unwrap().clone()
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// A read request for `service`. The backend servers record it under `id`.
pub(crate) fn request(service: &str, key: Option<&str>, id: &str) -> Request<Full<Bytes>> {
    let mut req = Request::get(format!("/{service}/hand?bytes=100"))
        .header("host", service)
        .header("x-request-id", id);
    if let Some(key) = key {
        req = req.header("authorization", format!("Bearer {key}"));
    }
    req.body(Full::default()).unwrap()
}

/// Whether the VM serves a request for the service `chart` with `key`.
pub(crate) async fn serves(vm: SocketAddr, key: &str) -> bool {
    let req = request("chart", Some(key), "probe");
    send(vm, req)
        .await
        .is_ok_and(|response| response.status() == 200)
}

/// Times at which the backend servers started requests whose ids start with
/// `prefix`, in ascending order.
pub(crate) fn run_starts(fleet: &Fleet, prefix: &str) -> Vec<Instant> {
    let records = fleet.backends.iter().map(BackendServer::records);
    let mut runs: Vec<Instant> = records
        .flat_map(|records| records.runs)
        .filter(|run| run.request_id.starts_with(prefix))
        .map(|run| run.started)
        .collect();
    runs.sort();
    runs
}

/// Sends a request on the connection in `open`, which is opened first when there
/// is none or it is closed.
async fn call(
    open: &mut Option<SendRequest<Full<Bytes>>>,
    address: SocketAddr,
    req: Request<Full<Bytes>>,
) -> CallerResponse {
    let exchange = async {
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
    let outcome = exchange.await;
    if outcome.is_none() {
        *open = None;
    }
    let (status, cause) = outcome.unwrap_or((0, "no response".to_owned()));
    CallerResponse { status, cause }
}
