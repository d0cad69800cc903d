use http_body_util::Empty;
use hyper::{Request, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::{LocalSet, spawn_local};

use super::client::{LIST_PATH, open_over};
use crate::tcp_options::tests::stream_that_rejects_nodelay;

/// Nodes could not set `TCP_NODELAY`, so two thirds of a fleet's calls to discovery failed before they were sent, and no node was
/// notified of the servers that had been removed (docs/incidents/fleet-zone.md).
#[tokio::test]
async fn call_goes_out_on_a_connection_that_rejects_nodelay() {
    let (ours, mut theirs) = stream_that_rejects_nodelay();
    let call = async {
        let mut sender = open_over(ours).await.expect("a connection");
        spawn_local(async move {
            let mut request = [0; 4];
            theirs.read_exact(&mut request).await.expect("a request");
            theirs.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await.expect("a response");
            theirs
        });
        let request = Request::get(LIST_PATH).body(Empty::new()).expect("a request");
        sender.send_request(request).await.map(|response| response.status())
    };
    assert_eq!(LocalSet::new().run_until(call).await.ok(), Some(StatusCode::OK));
}
