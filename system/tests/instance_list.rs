//! Tests of the client of the platform API against a scripted platform on loopback sockets, in virtual time: partitioned or closed
//! connections, late, partial or missing pages, and reads that time out or are cancelled.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use googletest::prelude::*;
use ivyhatch_system::instance_list::{
    InstanceListClient, InstanceListError, READ_TIMEOUT, REUSED_CONNECTION_TIMEOUT,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

/// How the platform responds to one request.
#[derive(Clone, Copy, Debug)]
enum Reply {
    /// Responds with a page that has this one server, and the token of the next page.
    Page(&'static str, Option<&'static str>),
    /// Responds like `Page`, after this delay.
    Late(Duration, &'static str, Option<&'static str>),
    /// Never responds, and keeps the connection open.
    NoResponse,
    /// Closes the connection without a response.
    Close,
    /// Responds with status 429.
    TooManyRequests,
    /// Sends the beginning of a page and then nothing, and keeps the connection open.
    PartialPage,
}

/// A platform that responds to requests in the order of a script, and records the connection number and the path of each.
struct Platform {
    address: SocketAddrV4,
    requests: Rc<RefCell<Vec<(usize, String)>>>,
}

impl Platform {
    async fn start(replies: impl IntoIterator<Item = Reply>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("loopback");
        let SocketAddr::V4(address) = listener.local_addr().expect("local address") else { unreachable!() };
        let requests = Rc::new(RefCell::new(Vec::new()));
        let script = Rc::new(RefCell::new(replies.into_iter().collect::<VecDeque<_>>()));
        let recorded = requests.clone();
        spawn_local(async move {
            for connection in 1.. {
                let (stream, _) = listener.accept().await.expect("a connection");
                spawn_local(serve_connection(connection, stream, script.clone(), recorded.clone()));
            }
        });
        Self { address, requests }
    }

    fn requests(&self) -> Vec<(usize, String)> {
        self.requests.borrow().clone()
    }

    /// The number of the connection on which each request was received; the first connection is 1.
    fn connections(&self) -> Vec<usize> {
        self.requests.borrow().iter().map(|(connection, _)| *connection).collect()
    }
}

async fn serve_connection(
    connection: usize,
    mut stream: TcpStream,
    script: Rc<RefCell<VecDeque<Reply>>>,
    requests: Rc<RefCell<Vec<(usize, String)>>>,
) {
    while let Some(path) = request(&mut stream).await {
        requests.borrow_mut().push((connection, path));
        let reply = script.borrow_mut().pop_front().expect("the script has a reply for each request");
        let (status, body) = match reply {
            Reply::Page(id, next) => ("200 OK", page(id, next)),
            Reply::Late(after, id, next) => {
                sleep(after).await;
                ("200 OK", page(id, next))
            }
            Reply::NoResponse => {
                let _ = stream.read(&mut [0; 64]).await;
                return;
            }
            Reply::Close => return,
            Reply::TooManyRequests => ("429 Too Many Requests", String::new()),
            Reply::PartialPage => {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"inst").await;
                let _ = stream.read(&mut [0; 64]).await;
                return;
            }
        };
        let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
        if stream.write_all((head + &body).as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Reads the next request on a connection, and returns its path; `None` if the connection ends.
async fn request(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        text.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8(text).ok()?.split(' ').nth(1)?.to_owned())
}

fn page(id: &str, next: Option<&str>) -> String {
    let next = next.map_or_else(|| "null".to_owned(), |token| format!("\"{token}\""));
    format!(
        r#"{{"instances":[{{"id":"{id}","service":"s","address":"10.0.0.1:80","zone":"a","slots":8,"state":"ready","cold_left_ms":0}}],"next_token":{next}}}"#
    )
}

type Outcome = std::result::Result<Vec<String>, InstanceListError>;

/// Reads the whole list. Returns the servers' IDs, and the duration of the read.
async fn read(client: &mut InstanceListClient) -> (Outcome, Duration) {
    let started_at = Instant::now();
    let read = client.read().await;
    (read.map(|servers| servers.into_iter().map(|server| server.id).collect()), started_at.elapsed())
}

/// Runs a test in virtual time.
fn run<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

fn ids(outcome: Outcome) -> Vec<String> {
    outcome.expect("a complete list")
}

const FIRST: &str = "/instances";
const SECOND: &str = "/instances?page_token=p-50";

#[gtest]
fn connection_of_a_list_of_several_pages_is_not_reused() {
    run(async {
        let platform = Platform::start([
            Reply::Page("i-1", Some("p-50")),
            Reply::Page("i-2", None),
            Reply::Page("i-3", None),
        ])
        .await;
        let mut client = InstanceListClient::new(Ipv4Addr::LOCALHOST, platform.address);
        expect_that!(ids(read(&mut client).await.0), elements_are![eq("i-1"), eq("i-2")]);
        expect_that!(ids(read(&mut client).await.0), elements_are![eq("i-3")]);
        let requests = platform.requests();
        expect_that!(
            requests,
            eq(&[(1, FIRST), (1, SECOND), (2, FIRST)].map(|(on, path)| (on, path.to_owned())))
        );
    });
}

#[gtest]
fn connection_of_a_list_of_one_page_is_reused() {
    run(async {
        let platform = Platform::start([Reply::Page("i-1", None), Reply::Page("i-2", None)]).await;
        let mut client = InstanceListClient::new(Ipv4Addr::LOCALHOST, platform.address);
        expect_that!(ids(read(&mut client).await.0), elements_are![eq("i-1")]);
        expect_that!(ids(read(&mut client).await.0), elements_are![eq("i-2")]);
        expect_that!(platform.connections(), eq(&[1, 1]));
    });
}

#[gtest]
fn silent_reused_connection_is_replaced_after_its_timeout() {
    run(async {
        let platform =
            Platform::start([Reply::Page("i-1", None), Reply::NoResponse, Reply::Page("i-2", None)]).await;
        let mut client = InstanceListClient::new(Ipv4Addr::LOCALHOST, platform.address);
        ids(read(&mut client).await.0);
        let (list, took) = read(&mut client).await;
        expect_that!(ids(list), elements_are![eq("i-2")]);
        expect_that!(
            took,
            all![ge(REUSED_CONNECTION_TIMEOUT), lt(REUSED_CONNECTION_TIMEOUT + Duration::from_millis(50))]
        );
        expect_that!(platform.connections(), eq(&[1, 1, 2]));
    });
}

#[gtest]
fn closed_idle_connection_is_replaced_without_delay() {
    run(async {
        let platform =
            Platform::start([Reply::Page("i-1", None), Reply::Close, Reply::Page("i-2", None)]).await;
        let mut client = InstanceListClient::new(Ipv4Addr::LOCALHOST, platform.address);
        ids(read(&mut client).await.0);
        let (list, took) = read(&mut client).await;
        expect_that!(ids(list), elements_are![eq("i-2")]);
        expect_that!(took, lt(Duration::from_millis(50)));
    });
}

#[gtest]
fn read_of_slow_pages_times_out() {
    run(async {
        let slow = Reply::Late(REUSED_CONNECTION_TIMEOUT - Duration::from_millis(10), "i-1", Some("p-50"));
        let platform = Platform::start([slow; 20]).await;
        let mut client = InstanceListClient::new(Ipv4Addr::LOCALHOST, platform.address);
        let (list, took) = read(&mut client).await;
        expect_that!(list, err(matches_pattern!(InstanceListError::Timeout)));
        expect_that!(took, all![ge(READ_TIMEOUT), lt(READ_TIMEOUT + Duration::from_millis(50))]);
    });
}

#[gtest]
fn platform_that_sends_nothing_or_half_a_page_times_out() {
    for reply in [Reply::NoResponse, Reply::PartialPage] {
        run(async move {
            let platform = Platform::start([reply; 4]).await;
            let mut client = InstanceListClient::new(Ipv4Addr::LOCALHOST, platform.address);
            let (list, took) = read(&mut client).await;
            expect_that!(list, err(matches_pattern!(InstanceListError::Timeout)), "{reply:?}");
            expect_that!(took, lt(READ_TIMEOUT + Duration::from_millis(50)), "{reply:?}");
        });
    }
}

#[gtest]
fn late_page_of_a_timed_out_read_is_not_part_of_the_next() {
    run(async {
        let late = Reply::Late(READ_TIMEOUT + Duration::from_millis(100), "i-old", Some("p-50"));
        let platform =
            Platform::start([late, Reply::Page("i-1", Some("p-50")), Reply::Page("i-2", None)]).await;
        let mut client = InstanceListClient::new(Ipv4Addr::LOCALHOST, platform.address);
        expect_that!(read(&mut client).await.0, err(matches_pattern!(InstanceListError::Timeout)));
        expect_that!(ids(read(&mut client).await.0), elements_are![eq("i-1"), eq("i-2")]);
        expect_that!(platform.connections(), eq(&[1, 2, 2]));
    });
}

#[gtest]
fn cancelled_read_leaves_nothing_to_the_next() {
    run(async {
        let platform = Platform::start([
            Reply::Page("i-old", Some("p-50")),
            Reply::Late(Duration::from_millis(50), "i-older", None),
            Reply::Page("i-1", None),
        ])
        .await;
        let mut client = InstanceListClient::new(Ipv4Addr::LOCALHOST, platform.address);
        let dropped = timeout(Duration::from_millis(20), client.read()).await;
        expect_that!(dropped, err(anything()));
        expect_that!(ids(read(&mut client).await.0), elements_are![eq("i-1")]);
        let requests = platform.requests();
        expect_that!(requests.last(), some(eq(&(2, FIRST.to_owned()))));
    });
}

#[gtest]
fn error_status_is_reported() {
    run(async {
        let platform = Platform::start([Reply::TooManyRequests, Reply::Page("i-1", None)]).await;
        let mut client = InstanceListClient::new(Ipv4Addr::LOCALHOST, platform.address);
        let (list, _) = read(&mut client).await;
        let too_many = hyper::StatusCode::TOO_MANY_REQUESTS;
        expect_that!(list, err(matches_pattern!(InstanceListError::Status(eq(&too_many)))));
        expect_that!(ids(read(&mut client).await.0), elements_are![eq("i-1")]);
    });
}

#[gtest]
fn refused_connection_is_reported_without_delay() {
    run(async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("loopback");
        let SocketAddr::V4(address) = listener.local_addr().expect("local address") else { unreachable!() };
        drop(listener);
        let (list, took) = read(&mut InstanceListClient::new(Ipv4Addr::LOCALHOST, address)).await;
        expect_that!(list, err(matches_pattern!(InstanceListError::Connection(_))));
        expect_that!(took, lt(Duration::from_millis(50)));
    });
}
