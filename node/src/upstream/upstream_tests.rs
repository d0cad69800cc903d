use std::net::SocketAddr;

use http_body_util::Full;
use hyper::Request;
use ivyhatch_balancer::Outcome;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::{LocalSet, spawn_local};

use super::connection::{BackendConnection, OpenConnections};
use super::response::read_response;
use crate::tcp_options::tests::stream_that_rejects_nodelay;

/// Nodes could not set `TCP_NODELAY` on connections that otherwise worked, and treated every probed backend as unreachable
/// (docs/incidents/fleet-zone.md).
#[tokio::test]
async fn connection_that_rejects_nodelay_carries_its_exchange() {
    let (ours, mut theirs) = stream_that_rejects_nodelay();
    let endpoint = SocketAddr::from(([127, 0, 0, 1], 9));
    let exchange = async {
        let connection = BackendConnection::over(ours, endpoint, OpenConnections::default().add()).await;
        let mut sender = connection.expect("a connection").sender;
        spawn_local(async move {
            let mut request = [0; 4];
            theirs.read_exact(&mut request).await.expect("a request");
            let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
            theirs.write_all(response).await.expect("a response");
            theirs
        });
        let response = sender.send_request(Request::new(Full::default())).await.expect("a response");
        read_response(response).await.result
    };
    let result = LocalSet::new().run_until(exchange).await;
    assert_eq!((result.outcome, &result.body[..]), (Outcome::Served, &b"ok"[..]));
}
