//! Connections to one backend server.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertgrade::connection::{Need, Pool};
use filbertgrade_standins::backend::{BackendConfig, BackendServer};
use http::Request;
use http_body_util::{BodyExt, Empty};

const LOCAL: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

async fn backend(connection_limit: usize) -> BackendServer {
    let cfg = BackendConfig {
        connection_limit,
        slots: 100,
        ..BackendConfig::default()
    };
    BackendServer::bind(SocketAddr::new(LOCAL, 0), cfg)
        .await
        .unwrap()
}

fn need(backend: &BackendServer, limit: usize, idempotent: bool) -> Need {
    Need {
        endpoint: backend.addr(),
        limit,
        idempotent,
        deadline: Instant::now() + Duration::from_secs(10),
    }
}

async fn run(pool: &Pool, need: &Need, give_up: bool) {
    let mut connection = pool.begin(need).await.unwrap();
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
    let backend = backend(3).await;
    let pool = Arc::new(Pool::new(LOCAL));
    let mut tasks = Vec::new();
    for n in 0..300 {
        let pool = Arc::clone(&pool);
        let need = need(&backend, 3, n % 2 == 0);
        tasks.push(tokio::spawn(async move {
            run(&pool, &need, n % 7 == 0).await;
        }));
    }
    for task in tasks {
        task.await.unwrap();
    }
    let records = backend.records();
    assert!(
        records.peak_connections <= 3,
        "{}",
        records.peak_connections
    );
}

/// Guards against an order on a connection whose proof of life is old.
#[tokio::test(flavor = "multi_thread")]
async fn old_connection_takes_only_idempotent_requests() {
    let backend = backend(10).await;
    let pool = Pool::new(LOCAL);
    run(&pool, &need(&backend, 10, false), false).await;
    assert!(
        pool.begin(&need(&backend, 10, false))
            .await
            .unwrap()
            .is_reused()
    );

    run(&pool, &need(&backend, 10, false), false).await;
    tokio::time::sleep(Duration::from_millis(1100)).await;
    let order = pool.begin(&need(&backend, 10, false)).await.unwrap();
    assert!(!order.is_reused());
    assert!(
        pool.begin(&need(&backend, 10, true))
            .await
            .unwrap()
            .is_reused()
    );

    run(&pool, &need(&backend, 10, false), false).await;
    pool.distrust(backend.addr());
    assert!(
        !pool
            .begin(&need(&backend, 10, true))
            .await
            .unwrap()
            .is_reused()
    );
}
