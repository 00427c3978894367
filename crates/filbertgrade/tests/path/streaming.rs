//! Tests of streaming large bodies in bounded memory, and of concurrent use of
//! one idempotency key on two VMs.

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

/// Size in bytes of one chunk of a streamed body.
const CHUNK_BYTES: usize = 64 * 1024;

/// Maximum memory in bytes that one upload or response may add to an entry.
const MAX_MEMORY_GROWTH: u64 = 24 * 1024 * 1024;

/// Guards against buffering a whole upload in memory.
#[tokio::test(flavor = "multi_thread")]
async fn upload_of_200_mb_stays_in_bounded_memory() {
    let (fleet, secret) = ready_fleet(1).await;
    let chunks = 200 * 1024 * 1024 / CHUNK_BYTES;
    let before = resident_bytes(&fleet.vms[0]);

    let body = stream::iter(0..chunks).map(|_| chunk(b'u'));
    let response = stream_to(&fleet, &secret, "upload", body).await.unwrap();
    assert_eq!(response.status(), 200);
    response.collect().await.unwrap();

    let growth = peak_bytes(&fleet.vms[0]).saturating_sub(before);
    assert!(
        growth < MAX_MEMORY_GROWTH,
        "the entry grew by {growth} bytes"
    );
    let bytes = find_run(&fleet, "upload").map(|run| run.body_bytes);
    assert_eq!(bytes, Some((chunks * CHUNK_BYTES) as u64));
}

/// Guards against buffering a response in memory while its caller does not read
/// it.
#[tokio::test(flavor = "multi_thread")]
async fn unread_response_does_not_accumulate_in_the_entry() {
    let (fleet, secret) = ready_fleet(1).await;
    let before = resident_bytes(&fleet.vms[0]);
    let req = request(&secret, "/chart/big?bytes=100000000", "big")
        .body(Full::<Bytes>::default())
        .unwrap();
    let stream = tokio::net::TcpStream::connect(fleet.vms[0].caller_address())
        .await
        .unwrap();
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .unwrap();
    tokio::spawn(connection);
    let response = sender.send_request(req).await.unwrap();

    tokio::time::sleep(Duration::from_secs(1)).await;
    let growth = peak_bytes(&fleet.vms[0]).saturating_sub(before);
    assert!(
        growth < MAX_MEMORY_GROWTH,
        "the entry grew by {growth} bytes"
    );
    // The region weights decide in which region the request runs.
    let busy: usize = fleet.backends.iter().map(BackendServer::busy).sum();
    assert!(busy == 1, "the response must still be in progress");
    let complete = response.into_body().collect().await.unwrap().to_bytes();
    assert_eq!(complete.len(), 100_000_000);
}

/// Guards against a caller that occupies a slot beyond its deadline by not
/// reading the response.
#[tokio::test(flavor = "multi_thread")]
async fn slot_of_an_unread_response_is_freed_at_the_deadline() {
    let (fleet, secret) = ready_fleet(1).await;
    let req = request(&secret, "/chart/big?bytes=100000000", "unread")
        .header("x-deadline-ms", "800")
        .body(Full::<Bytes>::default())
        .unwrap();
    let stream = tokio::net::TcpStream::connect(fleet.vms[0].caller_address())
        .await
        .unwrap();
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .unwrap();
    tokio::spawn(connection);
    let response = sender.send_request(req).await.unwrap();
    if response.status() != 200 {
        let (head, body) = response.into_parts();
        panic!("{head:?} {:?}", body.collect().await);
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert!(fleet.backends.iter().all(|b| b.busy() == 0));
    assert!(response.into_body().collect().await.is_err());
}

/// Guards against a refusal that the caller of an upload cannot read because
/// the entry closes the connection while the upload is still being sent.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_an_upload_reaches_its_caller() {
    let (fleet, _) = ready_fleet(1).await;
    for n in 0..10 {
        let body = stream::iter(0..400).map(|_| chunk(b'u'));
        let response = stream_to(&fleet, "no-key", &format!("refused-{n}"), body).await;
        let response = response.unwrap();
        assert_eq!(response.status(), 401);
        response.collect().await.unwrap();
    }
}

/// Guards against an upload that looks complete although its caller
/// disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn upload_aborted_by_the_caller_does_not_run() {
    let (fleet, secret) = ready_fleet(1).await;
    let body = stream::iter(0..100).map(|n| {
        if n < 50 {
            chunk(b'u')
        } else {
            Err(std::io::Error::other("the caller disconnects"))
        }
    });
    let response = stream_to(&fleet, &secret, "aborted-upload", body).await;
    assert!(response.is_err());
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(find_run(&fleet, "aborted-upload").is_none());
    assert!(fleet.backends.iter().all(|b| b.busy() == 0));
}

/// Guards against a request that runs twice because two VMs received it at the
/// same time.
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
            send(fleet.vms[n % 2].caller_address(), req)
        });
        let responses = futures::future::join_all(attempts).await;
        let ran: u64 = fleet.backends.iter().map(|b| b.run_count(&id)).sum();
        assert_eq!(ran, 1, "{id}: {responses:?}");
        let served = responses.iter().flatten().filter(|a| a.status() == 200);
        assert_eq!(served.count(), 1, "{id}: {responses:?}");
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
            body.map(|chunk| chunk.map(Frame::data)).boxed(),
        ))
        .unwrap();
    let stream = tokio::net::TcpStream::connect(fleet.vms[0].caller_address())
        .await
        .unwrap();
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    sender.send_request(req).await
}

fn chunk(byte: u8) -> Result<Bytes, std::io::Error> {
    Ok(Bytes::from(vec![byte; CHUNK_BYTES]))
}

fn find_run(fleet: &Fleet, id: &str) -> Option<filbertgrade_standins::backend::Run> {
    let runs = fleet.backends.iter().map(BackendServer::records);
    runs.flat_map(|r| r.runs).find(|run| run.request_id == id)
}

fn resident_bytes(vm: &Vm) -> u64 {
    memory_bytes(vm, "VmRSS:")
}

fn peak_bytes(vm: &Vm) -> u64 {
    memory_bytes(vm, "VmHWM:")
}

fn memory_bytes(vm: &Vm, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", vm.entry.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with(field)).unwrap();
    let kilobytes: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kilobytes * 1024
}
