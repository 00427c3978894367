//! Large bodies in bounded memory, and two VMs with one idempotency key.

use std::time::Duration;

use bytes::Bytes;
use filbertgrade_standins::backend::BackendServer;
use futures::stream::{self, StreamExt};
use http::{Request, Response};
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;

use crate::fleet::{Fleet, Vm, send};
use crate::scenario::ready_fleet;

/// Size in bytes of the parts of a streamed body.
const PART: usize = 64 * 1024;

/// Memory in bytes that one upload or answer may add to an entry.
const MEMORY_BOUND: u64 = 24 * 1024 * 1024;

/// Guards against an upload that is kept in memory.
#[tokio::test(flavor = "multi_thread")]
async fn upload_of_200_mb_stays_in_bounded_memory() {
    let (fleet, secret) = ready_fleet(1).await;
    let parts = 200 * 1024 * 1024 / PART;
    let before = resident(&fleet.vms[0]);

    let body = stream::iter(0..parts).map(|_| part(b'u'));
    let answer = stream_to(&fleet, &secret, "upload", body).await.unwrap();
    assert_eq!(answer.status(), 200);
    answer.collect().await.unwrap();

    let grown = peak(&fleet.vms[0]).saturating_sub(before);
    assert!(grown < MEMORY_BOUND, "the entry grew by {grown} bytes");
    let bytes = run_of(&fleet, "upload").map(|run| run.body_bytes);
    assert_eq!(bytes, Some((parts * PART) as u64));
}

/// Guards against an answer that piles up while its caller does not read.
#[tokio::test(flavor = "multi_thread")]
async fn answer_to_a_caller_that_does_not_read_waits_at_the_backend_server() {
    let (fleet, secret) = ready_fleet(1).await;
    let before = resident(&fleet.vms[0]);
    let req = request(&secret, "/chart/big?bytes=100000000", "big")
        .body(Full::<Bytes>::default())
        .unwrap();
    let stream = tokio::net::TcpStream::connect(fleet.vms[0].callers())
        .await
        .unwrap();
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .unwrap();
    tokio::spawn(connection);
    let answer = sender.send_request(req).await.unwrap();

    tokio::time::sleep(Duration::from_secs(1)).await;
    let grown = peak(&fleet.vms[0]).saturating_sub(before);
    assert!(grown < MEMORY_BOUND, "the entry grew by {grown} bytes");
    // The weights of the service choose the region of its backend server.
    let busy: usize = fleet.backends.iter().map(BackendServer::busy).sum();
    assert!(busy == 1, "the answer is still running");
    let whole = answer.into_body().collect().await.unwrap().to_bytes();
    assert_eq!(whole.len(), 100_000_000);
}

/// Guards against a caller that holds a slot beyond its deadline by not
/// reading its answer.
#[tokio::test(flavor = "multi_thread")]
async fn slot_of_an_answer_that_is_not_read_is_free_after_the_deadline() {
    let (fleet, secret) = ready_fleet(1).await;
    let req = request(&secret, "/chart/big?bytes=100000000", "unread")
        .header("x-deadline-ms", "800")
        .body(Full::<Bytes>::default())
        .unwrap();
    let stream = tokio::net::TcpStream::connect(fleet.vms[0].callers())
        .await
        .unwrap();
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .unwrap();
    tokio::spawn(connection);
    let answer = sender.send_request(req).await.unwrap();
    assert_eq!(answer.status(), 200);
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert!(fleet.backends.iter().all(|b| b.busy() == 0));
    assert!(answer.into_body().collect().await.is_err());
}

/// Guards against a refusal that an upload's caller cannot read, because the
/// entry closes the connection under the rest of the upload.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_an_upload_reaches_its_caller() {
    let (fleet, _) = ready_fleet(1).await;
    for n in 0..10 {
        let body = stream::iter(0..400).map(|_| part(b'u'));
        let answer = stream_to(&fleet, "no-key", &format!("refused-{n}"), body).await;
        let answer = answer.unwrap();
        assert_eq!(answer.status(), 401);
        answer.collect().await.unwrap();
    }
}

/// Guards against an upload that looks complete after its caller went away.
#[tokio::test(flavor = "multi_thread")]
async fn upload_that_the_caller_cuts_does_not_run() {
    let (fleet, secret) = ready_fleet(1).await;
    let body = stream::iter(0..100).map(|n| {
        if n < 50 {
            part(b'u')
        } else {
            Err(std::io::Error::other("the caller goes away"))
        }
    });
    let answer = stream_to(&fleet, &secret, "cut-upload", body).await;
    assert!(answer.is_err());
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(run_of(&fleet, "cut-upload").is_none());
    assert!(fleet.backends.iter().all(|b| b.busy() == 0));
}

/// Guards against an order that runs twice because two VMs got it at once.
#[tokio::test(flavor = "multi_thread")]
async fn one_idempotency_key_on_two_vms_runs_at_most_once() {
    let (fleet, secret) = ready_fleet(2).await;
    for round in 0..20 {
        let id = format!("order-{round}");
        let attempts = (0..4).map(|n| {
            let req = request(&secret, "/chart/order", &id)
                .method("POST")
                .header("idempotency-key", &id)
                .body(Full::from("leather"))
                .unwrap();
            send(fleet.vms[n % 2].callers(), req)
        });
        let answers = futures::future::join_all(attempts).await;
        let ran: u64 = fleet.backends.iter().map(|b| b.run_count(&id)).sum();
        assert_eq!(ran, 1, "{id}: {answers:?}");
        let served = answers.iter().flatten().filter(|a| a.status() == 200);
        assert_eq!(served.count(), 1, "{id}: {answers:?}");
    }
}

fn request(secret: &str, target: &str, id: &str) -> http::request::Builder {
    Request::builder()
        .uri(target)
        .header("host", "chart")
        .header("x-request-id", id)
        .header("authorization", format!("Bearer {secret}"))
}

async fn stream_to<S>(
    fleet: &Fleet,
    secret: &str,
    id: &str,
    body: S,
) -> Result<Response<Incoming>, hyper::Error>
where
    S: futures::Stream<Item = Result<Bytes, std::io::Error>> + Send + 'static,
{
    let req = request(secret, "/chart/scan", id)
        .method("POST")
        .body(StreamBody::new(
            body.map(|part| part.map(Frame::data)).boxed(),
        ))
        .unwrap();
    let stream = tokio::net::TcpStream::connect(fleet.vms[0].callers())
        .await
        .unwrap();
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    sender.send_request(req).await
}

fn part(byte: u8) -> Result<Bytes, std::io::Error> {
    Ok(Bytes::from(vec![byte; PART]))
}

fn run_of(fleet: &Fleet, id: &str) -> Option<filbertgrade_standins::backend::Run> {
    let runs = fleet.backends.iter().map(BackendServer::records);
    runs.flat_map(|r| r.runs).find(|run| run.request_id == id)
}

fn resident(vm: &Vm) -> u64 {
    memory(vm, "VmRSS:")
}

fn peak(vm: &Vm) -> u64 {
    memory(vm, "VmHWM:")
}

fn memory(vm: &Vm, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", vm.entry.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with(field)).unwrap();
    let kilobytes: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kilobytes * 1024
}
