//! Tests of the fault proxy: forwarding without faults, and each injected fault.

use std::io::ErrorKind;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use filbertgrade_standins::proxy::{Bandwidth, Direction, Fault, FaultProxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const FREE_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Loopback address that no client uses by default.
const OTHER_SOURCE: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2));
/// Delay that the tests inject; also the wait after which undelayed bytes have certainly arrived.
const SHORT_WAIT: Duration = Duration::from_millis(150);

/// Starts a proxy that forwards to an echo server.
async fn start_echo_proxy() -> FaultProxy {
    let listener = TcpListener::bind(FREE_PORT).await.expect("a free port");
    let proxy = FaultProxy::bind(FREE_PORT, listener.local_addr().expect("bound")).await;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                tokio::io::copy(&mut read, &mut write).await
            });
        }
    });
    proxy.expect("a free port")
}

async fn connect(proxy: &FaultProxy) -> TcpStream {
    TcpStream::connect(proxy.addr())
        .await
        .expect("the proxy listens")
}

/// Sends `text` to the echo server and returns the echo.
async fn echo_round_trip(stream: &mut TcpStream, text: &[u8]) -> std::io::Result<Vec<u8>> {
    stream.write_all(text).await?;
    let mut buf = vec![0; text.len()];
    stream.read_exact(&mut buf).await?;
    Ok(buf)
}

/// Sends `text` and returns whether no echo arrives in time.
async fn echo_times_out(stream: &mut TcpStream, text: &[u8]) -> bool {
    tokio::time::timeout(SHORT_WAIT, echo_round_trip(stream, text))
        .await
        .is_err()
}

/// Guards against bytes that are lost, changed or miscounted when there is no fault.
#[tokio::test]
async fn bytes_pass_unchanged_without_faults() {
    let proxy = start_echo_proxy().await;
    let data: Vec<u8> = (0..1_000_000_u32)
        .map(|i| i.to_le_bytes()[0] ^ i.to_le_bytes()[1])
        .collect();
    let (mut read, mut write) = connect(&proxy).await.into_split();
    let sent = data.clone();
    tokio::spawn(async move {
        write.write_all(&sent).await.expect("the proxy reads");
        write.shutdown().await
    });
    let mut received = Vec::new();
    read.read_to_end(&mut received).await.unwrap();
    assert!(received == data);
    let counts = proxy.counts();
    assert_eq!(
        (counts.to_server, counts.to_client, counts.connections),
        (1_000_000, 1_000_000, 1)
    );
}

/// Guards against a delay in one direction and a bandwidth limit in the other that do not add up.
#[tokio::test]
async fn delay_and_bandwidth_limit_add_up() {
    let proxy = start_echo_proxy().await;
    let bandwidth = Some(Bandwidth::new(100_000));
    proxy.set_fault(
        Direction::ToServer,
        Fault {
            delay: SHORT_WAIT,
            ..Fault::default()
        },
    );
    proxy.set_fault(
        Direction::ToClient,
        Fault {
            bandwidth,
            ..Fault::default()
        },
    );
    let mut stream = connect(&proxy).await;
    let started = Instant::now();
    echo_round_trip(&mut stream, &[7; 20_000]).await.unwrap();
    // 20,000 bytes at 100,000 bytes per second take 200 ms.
    assert!(started.elapsed() >= SHORT_WAIT + Duration::from_millis(200));
}

/// Guards against stalls that lose bytes. A short network partition delays bytes but does not lose
/// them.
#[tokio::test]
async fn stalled_bytes_arrive_after_the_fault() {
    let proxy = start_echo_proxy().await;
    let mut stream = connect(&proxy).await;
    proxy.set_fault(
        Direction::ToClient,
        Fault {
            stalled: true,
            ..Fault::default()
        },
    );
    assert!(echo_times_out(&mut stream, b"first").await);
    assert_eq!((proxy.counts().to_server, proxy.counts().to_client), (5, 0));
    proxy.clear_faults();
    let mut buf = [0; 5];
    stream.read_exact(&mut buf).await.unwrap();
    assert_eq!(&buf, b"first");
}

/// Guards against frozen connections that still deliver bytes or the end of the stream, and against
/// freezing that affects new connections.
#[tokio::test]
async fn frozen_connections_drop_bytes() {
    let proxy = start_echo_proxy().await;
    let mut old = connect(&proxy).await;
    echo_round_trip(&mut old, b"before").await.unwrap();
    proxy.freeze_open();
    assert!(echo_times_out(&mut old, b"after").await);
    assert_eq!(
        echo_round_trip(&mut connect(&proxy).await, b"new")
            .await
            .unwrap(),
        b"new"
    );
    assert_eq!(
        (proxy.counts().to_server, proxy.open_connections() >= 1),
        (9, true)
    );
}

/// Guards against a truncation that resets the connection, because a reset can discard bytes that
/// were received before it.
#[tokio::test]
async fn truncation_closes_without_reset() {
    let proxy = start_echo_proxy().await;
    let truncate_after = Some(4);
    proxy.set_fault(
        Direction::ToClient,
        Fault {
            truncate_after,
            ..Fault::default()
        },
    );
    let mut stream = connect(&proxy).await;
    stream.write_all(b"truncated").await.unwrap();
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await.unwrap();
    assert_eq!(received, b"trun");
}

/// Guards against a reset or refused connection that looks like a regular end of the stream.
#[tokio::test]
async fn open_and_refused_connections_are_reset() {
    let proxy = start_echo_proxy().await;
    let mut stream = connect(&proxy).await;
    echo_round_trip(&mut stream, b"before").await.unwrap();
    proxy.reset_open();
    assert_eq!(
        stream.read_u8().await.unwrap_err().kind(),
        ErrorKind::ConnectionReset
    );
    proxy.set_refuse(true);
    let refused = match TcpStream::connect(proxy.addr()).await {
        Ok(mut stream) => stream.read_u8().await.unwrap_err(),
        Err(error) => error,
    };
    assert_eq!(refused.kind(), ErrorKind::ConnectionReset);
    proxy.clear_faults();
    echo_round_trip(&mut connect(&proxy).await, b"after")
        .await
        .unwrap();
}

/// Guards against faults of one source that affect other sources, and against a server that does
/// not see the source address of the client.
#[tokio::test]
async fn faults_of_one_source_do_not_affect_others() {
    let listener = TcpListener::bind(FREE_PORT).await.unwrap();
    let proxy = FaultProxy::bind(FREE_PORT, listener.local_addr().unwrap())
        .await
        .unwrap();
    let stalled = Fault {
        stalled: true,
        ..Fault::default()
    };
    proxy.set_fault_from(OTHER_SOURCE, Direction::ToServer, stalled);
    for (source, passes) in [(FREE_PORT.ip(), true), (OTHER_SOURCE, false)] {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(SocketAddr::new(source, 0)).unwrap();
        let mut client = socket.connect(proxy.addr()).await.unwrap();
        let (mut server, peer) = listener.accept().await.unwrap();
        client.write_all(b"x").await.unwrap();
        assert_eq!(peer.ip(), source);
        assert_eq!(
            tokio::time::timeout(SHORT_WAIT, server.read_u8())
                .await
                .is_ok(),
            passes
        );
        assert_eq!(proxy.counts_from(source).to_server, u64::from(passes));
    }
}
