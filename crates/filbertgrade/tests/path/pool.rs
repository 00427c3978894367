//! Tests of the connection pool for one backend server.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertgrade::connection::{CheckoutParams, Pool, ResponseId};
use http::Request;
use http_body_util::{BodyExt, Empty};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const LOCAL: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Counts connections from their acceptance until the server has read their
/// end. The backend server of the stand-ins is not used here, because it counts
/// a connection as open for a moment after the client side has closed it.
#[derive(Debug, Default)]
struct ConnectionCount {
    open: AtomicUsize,
    peak: AtomicUsize,
}

/// Starts a server that responds to every request after 2 ms.
async fn counting_server() -> (SocketAddr, Arc<ConnectionCount>) {
    let listener = TcpListener::bind((LOCAL, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(ConnectionCount::default());
    let counting = Arc::clone(&count);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let open = counting.open.fetch_add(1, Ordering::SeqCst) + 1;
            counting.peak.fetch_max(open, Ordering::SeqCst);
            let counting = Arc::clone(&counting);
            tokio::spawn(async move {
                let mut request = [0; 4096];
                while stream.read(&mut request).await.is_ok_and(|n| n > 0) {
                    tokio::time::sleep(Duration::from_millis(2)).await;
                    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                    let _ = stream.write_all(response).await;
                }
                counting.open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    (address, count)
}

/// Parameters of a request with an id of its own.
fn params(endpoint: SocketAddr, limit: usize, idempotent: bool) -> CheckoutParams {
    static NEXT_ID: AtomicUsize = AtomicUsize::new(0);
    let id = NEXT_ID.fetch_add(1, Ordering::SeqCst).to_string();
    CheckoutParams {
        endpoint,
        limit,
        idempotent,
        response_id: Some(id.as_bytes().into()),
        deadline: Instant::now() + Duration::from_secs(10),
    }
}

async fn run_request(pool: &Pool, params: &CheckoutParams, give_up: bool) {
    let mut connection = pool.checkout(params).await.unwrap();
    let req = Request::get("/chart/x")
        .header("host", "chart")
        .body(Empty::<Bytes>::new().map_err(|e| match e {}).boxed_unsync())
        .unwrap();
    if give_up {
        let sending = connection.send(req);
        let _ = tokio::time::timeout(Duration::from_millis(1), sending).await;
        return;
    }
    let response = connection.send(req).await.unwrap();
    response.into_body().collect().await.unwrap();
    pool.put_back(connection.finish(Instant::now()));
}

/// Guards against more open connections than the VM's share of an endpoint's
/// limit, also while connections are closed and replaced, and against a request
/// that waits forever although a connection is free.
#[tokio::test(flavor = "multi_thread")]
async fn open_connections_stay_within_the_limit() {
    let (address, count) = counting_server().await;
    let pool = Arc::new(Pool::new(LOCAL));
    let mut tasks = Vec::new();
    for n in 0..300 {
        let pool = Arc::clone(&pool);
        let params = params(address, 3, n % 2 == 0);
        tasks.push(tokio::spawn(async move {
            run_request(&pool, &params, n % 7 == 0).await;
        }));
    }
    for task in tasks {
        task.await.unwrap();
    }
    let peak = count.peak.load(Ordering::SeqCst);
    assert!(peak <= 3, "{peak} connections were open at once");
}

/// Guards against sending a non-idempotent request on a connection that has not
/// been verified recently.
#[tokio::test(flavor = "multi_thread")]
async fn unverified_connection_is_used_only_for_idempotent_requests() {
    let (address, _) = counting_server().await;
    let pool = Pool::new(LOCAL);
    run_request(&pool, &params(address, 10, false), false).await;
    assert!(
        pool.checkout(&params(address, 10, false))
            .await
            .unwrap()
            .is_reused()
    );

    run_request(&pool, &params(address, 10, false), false).await;
    tokio::time::sleep(Duration::from_millis(1100)).await;
    let connection = pool.checkout(&params(address, 10, false)).await.unwrap();
    assert!(!connection.is_reused());
    assert!(
        pool.checkout(&params(address, 10, true))
            .await
            .unwrap()
            .is_reused()
    );

    run_request(&pool, &params(address, 10, false), false).await;
    pool.close_idle(address);
    assert!(
        !pool
            .checkout(&params(address, 10, true))
            .await
            .unwrap()
            .is_reused()
    );
}

/// Guards against a late copy of a response that is taken for the response to another
/// request with the same id, or without one.
#[tokio::test(flavor = "multi_thread")]
async fn connection_carries_no_two_requests_that_cannot_be_told_apart() {
    let (address, count) = counting_server().await;
    let pool = Pool::new(LOCAL);
    let with_id = |id: Option<&str>| CheckoutParams {
        response_id: id.map(|id| ResponseId::from(id.as_bytes())),
        ..params(address, 10, true)
    };
    let ids = [
        Some("a"),
        Some("b"),
        Some("c"),
        Some("a"),
        Some("b"),
        None,
        None,
    ];
    for id in ids {
        run_request(&pool, &with_id(id), false).await;
    }
    // The second "a" opened another connection, which "b" used as well, and each request
    // without an id opened one.
    assert_eq!(count.peak.load(Ordering::SeqCst), 4);
    let connection = pool.checkout(&with_id(Some("d"))).await.unwrap();
    assert!(connection.is_reused());
    let connection = pool.checkout(&with_id(None)).await.unwrap();
    assert!(!connection.is_reused());
}

/// Guards against a connection that remembers ids without end.
#[tokio::test(flavor = "multi_thread")]
async fn connection_is_replaced_after_a_thousand_requests() {
    let (address, _) = counting_server().await;
    let pool = Pool::new(LOCAL);
    for _ in 0..1_000 {
        run_request(&pool, &params(address, 1, true), false).await;
    }
    let connection = pool.checkout(&params(address, 1, true)).await.unwrap();
    assert!(!connection.is_reused());
}
