//! Requests over real sockets: responses, malformed requests and responses, limits, and servers that are
//! missing or silent.

use std::future::Future;
use std::io::{ErrorKind, Write};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ivyhatch_admin_protocol::{CallError, ConnectionLimits, call, listen, serve};
use serde::Deserialize;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};

const LIMITS: ConnectionLimits =
    ConnectionLimits { max_line_bytes: 64, idle_timeout: Duration::from_secs(10), max_connections: 4 };
/// Timeout that no successful call of these tests reaches.
const TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Deserialize)]
struct Double {
    number: u64,
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test)
}

fn socket_path() -> (TempDir, PathBuf) {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("socket");
    (directory, path)
}

fn start_doubling_server(path: &Path) {
    let listener = listen(path).expect("a socket");
    spawn_local(serve(listener, LIMITS, |request: Double| json!({"doubled": 2 * request.number})));
}

/// Starts a server that accepts one connection, reads a request, and sends `response` as it is.
fn start_scripted_server(path: &Path, response: &'static [u8]) {
    let listener = UnixListener::bind(path).expect("a socket");
    spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 1024];
        let _ = stream.read(&mut request).await;
        let _ = stream.write_all(response).await;
    });
}

async fn call_scripted_server(response: &'static [u8]) -> Result<Value, CallError> {
    let (_directory, path) = socket_path();
    start_scripted_server(&path, response);
    call(&path, &json!({}), TIMEOUT).await
}

#[test]
fn request_is_answered_and_malformed_request_gets_an_error_field() {
    run(async {
        let (_directory, path) = socket_path();
        start_doubling_server(&path);
        let response = call(&path, &json!({"number": 21}), TIMEOUT).await.expect("a response");
        assert_eq!(response, json!({"doubled": 42}));
        let response = call(&path, &json!({"number": "many"}), TIMEOUT).await.expect("a response");
        assert!(response["error"].as_str().is_some_and(|text| text.contains("expected u64")), "{response}");
    });
}

#[test]
fn request_over_the_limit_ends_its_connection_only() {
    run(async {
        let (_directory, path) = socket_path();
        start_doubling_server(&path);
        let long = json!({"number": 1, "padding": "x".repeat(100)});
        let error = call(&path, &long, TIMEOUT).await.expect_err("no response");
        assert!(matches!(error, CallError::ConnectionLost(_)), "{error}");
        assert!(call(&path, &json!({"number": 1}), TIMEOUT).await.is_ok());
    });
}

#[test]
fn one_connection_carries_several_requests() {
    run(async {
        let (_directory, path) = socket_path();
        start_doubling_server(&path);
        let mut stream = UnixStream::connect(&path).await.expect("a connection");
        stream.write_all(b"{\"number\":1}\n{\"number\":2}\n").await.expect("written");
        let expected = b"{\"doubled\":2}\n{\"doubled\":4}\n";
        let mut responses = vec![0; expected.len()];
        stream.read_exact(&mut responses).await.expect("two responses");
        assert_eq!(responses, expected);
    });
}

#[test]
fn missing_and_silent_servers_are_distinguished() {
    run(async {
        let (_directory, path) = socket_path();
        let error = call(&path, &json!({}), TIMEOUT).await.expect_err("no server");
        assert!(matches!(error, CallError::Unreachable(_)), "{error}");
        let _listener = UnixListener::bind(&path).expect("a socket on which no connection is accepted");
        let error = call(&path, &json!({}), Duration::from_millis(50)).await.expect_err("no response");
        assert_eq!(error.to_string(), "no answer within 50ms");
        assert!(matches!(error, CallError::TimedOut(_)), "{error}");
    });
}

#[test]
fn malformed_responses_are_typed_errors() {
    run(async {
        let error = call_scripted_server(b"").await.expect_err("no response");
        assert!(matches!(error, CallError::ConnectionLost(_)), "{error}");
        let error = call_scripted_server(b"{\"cut\":").await.expect_err("a response that is cut off");
        assert!(matches!(error, CallError::UnterminatedResponse), "{error}");
        let error = call_scripted_server(b"not JSON\n").await.expect_err("a response that is not JSON");
        assert!(matches!(error, CallError::MalformedResponse(_)), "{error}");
    });
}

#[test]
fn socket_is_private_and_replaces_a_stale_file_but_no_live_server() {
    run(async {
        let (_directory, path) = socket_path();
        std::fs::File::create(&path).and_then(|mut file| file.write_all(b"stale")).expect("a stale file");
        let _listener = listen(&path).expect("a socket in place of the file");
        let mode = std::fs::metadata(&path).expect("the socket").permissions().mode();
        assert_eq!(mode & 0o777, 0o600);
        let error = listen(&path).expect_err("a server is there");
        assert_eq!(error.kind(), ErrorKind::AddrInUse);
    });
}
