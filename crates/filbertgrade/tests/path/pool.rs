//! Connections to one backend server.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertgrade::connection::{CheckoutParams, Pool};
use http::Request;
use http_body_util::{BodyExt, Empty};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const LOCAL: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Counts connections from their acceptance until their end was read. The
/// stand-in for backend servers counts them a moment longer than the other
/// side can see them open.
#[derive(Debug, Default)]
struct Count {
    open: AtomicUsize,
    peak: AtomicUsize,
}

/// Answers every request after 2 ms.
async fn counting_server() -> (SocketAddr, Arc<Count>) {
    let listener = TcpListener::bind((LOCAL, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(Count::default());
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
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                    let _ = stream.write_all(answer).await;
                }
                counting.open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    (address, count)
}

fn need(endpoint: SocketAddr, limit: usize, idempotent: bool) -> CheckoutParams {
    CheckoutParams {
        endpoint,
        limit,
        idempotent,
        deadline: Instant::now() + Duration::from_secs(10),
    }
}

async fn run(pool: &Pool, need: &CheckoutParams, give_up: bool) {
    let mut connection = pool.checkout(need).await.unwrap();
    let req = Request::get("/chart/x")
        .header("host", "chart")
        .body(Empty::<Bytes>::new().map_err(|e| match e {}).boxed_unsync())
        .unwrap();
    if give_up {
        let sending = connection.send(req);
        let _ = tokio::time::timeout(Duration::from_millis(1), sending).await;
        return;
    }
    let answer = connection.send(req).await.unwrap();
    answer.into_body().collect().await.unwrap();
    pool.put_back(connection.finish(Instant::now()));
}

/// Guards against more connections than the VM's part of an endpoint's limit,
/// also while connections are closed and replaced, and against a request that
/// waits for ever although a connection is free.
#[tokio::test(flavor = "multi_thread")]
async fn open_connections_stay_within_the_limit() {
    let (address, count) = counting_server().await;
    let pool = Arc::new(Pool::new(LOCAL));
    let mut tasks = Vec::new();
    for n in 0..300 {
        let pool = Arc::clone(&pool);
        let need = need(address, 3, n % 2 == 0);
        tasks.push(tokio::spawn(async move {
            run(&pool, &need, n % 7 == 0).await;
        }));
    }
    for task in tasks {
        task.await.unwrap();
    }
    let peak = count.peak.load(Ordering::SeqCst);
    assert!(peak <= 3, "{peak} connections were open at once");
}

/// Guards against an order on a connection whose proof of life is old.
#[tokio::test(flavor = "multi_thread")]
async fn old_connection_takes_only_idempotent_requests() {
    let (address, _) = counting_server().await;
    let pool = Pool::new(LOCAL);
    run(&pool, &need(address, 10, false), false).await;
    assert!(
        pool.checkout(&need(address, 10, false))
            .await
            .unwrap()
            .is_reused()
    );

    run(&pool, &need(address, 10, false), false).await;
    tokio::time::sleep(Duration::from_millis(1100)).await;
    let order = pool.checkout(&need(address, 10, false)).await.unwrap();
    assert!(!order.is_reused());
    assert!(
        pool.checkout(&need(address, 10, true))
            .await
            .unwrap()
            .is_reused()
    );

    run(&pool, &need(address, 10, false), false).await;
    pool.close_idle(address);
    assert!(
        !pool
            .checkout(&need(address, 10, true))
            .await
            .unwrap()
            .is_reused()
    );
}
