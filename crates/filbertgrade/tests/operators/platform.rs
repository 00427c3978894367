//! Tests of the platform client against stand-ins.

use std::net::SocketAddr;

use bytes::Bytes;
use filbertgrade::platform::{Condition, HttpPlatform, Platform};
use filbertgrade_standins::platform::PlatformServer;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Guards against values that a watch would return altered, since the platform
/// sends values as JSON strings.
#[tokio::test]
async fn value_that_is_not_utf8_is_rejected_with_a_typed_error() {
    let server = PlatformServer::bind(loopback()).await.unwrap();
    let client = HttpPlatform::new(server.addr(), None);
    let value = Bytes::from_static(&[b'a', 0xff]);
    let put = client.put("drains/x", value.clone(), Condition::Always);
    let error = put.await.unwrap_err();
    assert!(error.is_not_utf8(), "{error}");
    assert!(!error.is_outcome_unknown());
    assert_eq!(server.counts().writes, 0);

    server.put("drains/x", value);
    let error = client.get("drains/x").await.unwrap_err();
    assert!(error.is_not_utf8(), "{error}");
}

/// Guards against a removal whose revision the client cannot report.
#[tokio::test]
async fn delete_returns_the_revision_of_the_removal() {
    let server = PlatformServer::bind(loopback()).await.unwrap();
    let client = HttpPlatform::new(server.addr(), None);
    let at = server.put("drains/x", "{}");
    assert_eq!(client.delete("drains/x", at).await.unwrap(), at + 1);
}

/// Guards against a response that exhausts the memory of a VM.
#[tokio::test]
async fn response_above_the_size_limit_is_rejected() {
    let listener = tokio::net::TcpListener::bind(loopback()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut req = [0; 4096];
        let _ = stream.read(&mut req).await;
        let head = "HTTP/1.1 200 OK\r\netag: 1\r\ncontent-length: 3000000\r\n\r\n";
        let _ = stream.write_all(head.as_bytes()).await;
        let _ = stream.write_all(&vec![b'a'; 3_000_000]).await;
    });
    let client = HttpPlatform::new(address, None);
    let error = client.get("drains/x").await.unwrap_err();
    assert!(error.is_too_long(), "{error}");
}

/// Guards against one object that hides all others of its list, because another
/// writer has left bytes in it that cannot be read.
#[tokio::test]
async fn unreadable_object_hides_no_other() {
    const BODY: &str = r#"{"revision":9,"objects":[{"name":"drains/a","revision":3,"value":"{}"},
        {"name":"drains/b","revision":4,"value":"\udcff"},{"name":"drains/c","revision":1e999,"value":"{}"},
        {"name":"drains/d","revision":5,"value":"{}"}]}"#;
    let listener = tokio::net::TcpListener::bind(loopback()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut req = [0; 4096];
        let _ = stream.read(&mut req).await;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", BODY.len());
        let _ = stream.write_all(head.as_bytes()).await;
        let _ = stream.write_all(BODY.as_bytes()).await;
    });
    let client = HttpPlatform::new(address, None);
    let listed = client.list(&["drains/"]).await.unwrap();
    let names: Vec<&str> = listed.objects.iter().map(|o| o.name.as_str()).collect();
    assert_eq!(names, ["drains/a", "drains/d"]);
}
