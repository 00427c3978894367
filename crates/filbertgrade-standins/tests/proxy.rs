//! The proxy passes bytes unchanged and injects the faults it is told to.

use std::io::ErrorKind;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use filbertgrade_standins::proxy::{Bandwidth, Direction, Fault, FaultProxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const OTHER_SOURCE: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2));
const SHORT: Duration = Duration::from_millis(150);

/// Starts a proxy in front of a server that sends back what it receives.
async fn echo() -> FaultProxy {
    let listener = TcpListener::bind(ANY).await.expect("a free port");
    let proxy = FaultProxy::bind(ANY, listener.local_addr().expect("bound")).await;
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

async fn exchange(stream: &mut TcpStream, text: &[u8]) -> std::io::Result<Vec<u8>> {
    stream.write_all(text).await?;
    let mut buf = vec![0; text.len()];
    stream.read_exact(&mut buf).await?;
    Ok(buf)
}

async fn unanswered(stream: &mut TcpStream, text: &[u8]) -> bool {
    tokio::time::timeout(SHORT, exchange(stream, text))
        .await
        .is_err()
}

/// Guards against bytes that are lost, changed or miscounted without any fault.
#[tokio::test]
async fn passes_bytes() {
    let proxy = echo().await;
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

/// Guards against delays and bandwidth limits that do not add up over both directions.
#[tokio::test]
async fn delay_and_bandwidth() {
    let proxy = echo().await;
    let bandwidth = Some(Bandwidth::new(100_000));
    proxy.set_fault(
        Direction::ToServer,
        Fault {
            delay: SHORT,
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
    let began = Instant::now();
    exchange(&mut stream, &[7; 20_000]).await.unwrap();
    // 20,000 bytes at 100,000 bytes per second take 200 ms.
    assert!(began.elapsed() >= SHORT + Duration::from_millis(200));
}

/// Guards against silence that loses bytes, as a short partition does not.
#[tokio::test]
async fn silence_holds_bytes() {
    let proxy = echo().await;
    let mut stream = connect(&proxy).await;
    proxy.set_fault(
        Direction::ToClient,
        Fault {
            stalled: true,
            ..Fault::default()
        },
    );
    assert!(unanswered(&mut stream, b"first").await);
    assert_eq!((proxy.counts().to_server, proxy.counts().to_client), (5, 0));
    proxy.clear_faults();
    let mut buf = [0; 5];
    stream.read_exact(&mut buf).await.unwrap();
    assert_eq!(&buf, b"first");
}

/// Guards against half-open connections that pass bytes or their end, or that break new ones.
#[tokio::test]
async fn frozen_connections() {
    let proxy = echo().await;
    let mut old = connect(&proxy).await;
    exchange(&mut old, b"before").await.unwrap();
    proxy.freeze_open();
    assert!(unanswered(&mut old, b"after").await);
    assert_eq!(
        exchange(&mut connect(&proxy).await, b"new").await.unwrap(),
        b"new"
    );
    assert_eq!(
        (proxy.counts().to_server, proxy.open_connections() >= 1),
        (9, true)
    );
}

/// Guards against a truncation that resets, so that received bytes are lost with it.
#[tokio::test]
async fn truncation_ends_cleanly() {
    let proxy = echo().await;
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

/// Guards against a cut or a refusal that looks like a regular end of the stream.
#[tokio::test]
async fn cut_and_refusal_reset() {
    let proxy = echo().await;
    let mut stream = connect(&proxy).await;
    exchange(&mut stream, b"before").await.unwrap();
    proxy.cut_open();
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
    exchange(&mut connect(&proxy).await, b"after")
        .await
        .unwrap();
}

/// Guards against faults of one source that reach other sources, and against a hidden source.
#[tokio::test]
async fn faults_of_one_source() {
    let listener = TcpListener::bind(ANY).await.unwrap();
    let proxy = FaultProxy::bind(ANY, listener.local_addr().unwrap())
        .await
        .unwrap();
    let silent = Fault {
        stalled: true,
        ..Fault::default()
    };
    proxy.set_fault_from(OTHER_SOURCE, Direction::ToServer, silent);
    for (source, passes) in [(ANY.ip(), true), (OTHER_SOURCE, false)] {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(SocketAddr::new(source, 0)).unwrap();
        let mut client = socket.connect(proxy.addr()).await.unwrap();
        let (mut server, seen) = listener.accept().await.unwrap();
        client.write_all(b"x").await.unwrap();
        assert_eq!(seen.ip(), source);
        assert_eq!(
            tokio::time::timeout(SHORT, server.read_u8()).await.is_ok(),
            passes
        );
        assert_eq!(proxy.counts_from(source).to_server, u64::from(passes));
    }
}
