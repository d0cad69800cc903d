//! Client of the platform's API: reads the list of server instances, page by page.
//!
//! A read ends within [`READ_TIMEOUT`], whatever the platform or the network does. The connection is reused for the next read, but a
//! reused connection gets only [`REUSED_CONNECTION_TIMEOUT`] to answer: behind a partition it never does. A read that is cancelled,
//! fails or times out drops its connection, so that no late response can be taken for one of the next read.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use ivyhatch_protocol::watch::Server;
use serde::Deserialize;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::transport::socket;

/// All pages of the list are read within this, or the read fails.
pub const READ_TIMEOUT: Duration = Duration::from_millis(1000);
/// A page that a reused connection has not delivered within this is requested again on a new connection.
pub const REUSED_CONNECTION_TIMEOUT: Duration = Duration::from_millis(400);
/// Connection attempts for a page; the first has the shortest timeout (see [`socket::connect`]).
const CONNECT_ATTEMPTS: u32 = 2;
const MAX_PAGE_BYTES: usize = 4 << 20;
/// A list of more pages than this is taken for an endless one.
const MAX_PAGES: usize = 1000;
/// The state of an instance that takes requests.
const READY_STATE: &str = "ready";

/// Why the list could not be read.
#[derive(Debug, thiserror::Error)]
pub enum InstanceListError {
    /// No connection, or one that broke.
    #[error("the platform's list can't be reached: {0}")]
    Connection(String),
    /// A status other than 200.
    #[error("the platform's list answers {0}: where it is 429, fewer may ask")]
    Status(StatusCode),
    /// A response that is no page of the list.
    #[error("the platform's list can't be read: {0}")]
    InvalidResponse(String),
    /// No complete list within [`READ_TIMEOUT`].
    #[error("the platform's list does not answer in time")]
    Timeout,
}

/// A page of the platform's API.
#[derive(Deserialize)]
struct Page {
    instances: Vec<Instance>,
    next_token: Option<String>,
}

/// An instance in the form of the platform's API.
#[derive(Deserialize)]
struct Instance {
    id: String,
    service: String,
    address: String,
    zone: String,
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    state: String,
    #[serde(default)]
    cold_left_ms: f64,
    #[serde(default)]
    remaining_ms: Option<f64>,
}

impl From<Instance> for Server {
    fn from(instance: Instance) -> Self {
        Self {
            id: instance.id,
            service: instance.service,
            address: instance.address,
            zone: instance.zone,
            slots: instance.slots,
            // Every state but ready, known or not, means that the instance takes no new requests.
            draining: instance.state != READY_STATE,
            warm_up_remaining_ms: instance.cold_left_ms.max(0.0) as u32,
            lifetime_remaining_ms: instance.remaining_ms.map(|left| left.max(0.0) as u32),
        }
    }
}

type Sender = SendRequest<Empty<Bytes>>;

/// A client, which reuses its connection for as long as the list has a single page.
pub struct InstanceListClient {
    local: Ipv4Addr,
    platform: SocketAddrV4,
    /// The connection of the last read, if that ended well.
    idle_connection: Option<Sender>,
}

impl InstanceListClient {
    /// A client that connects from the machine's own address `local`.
    pub fn new(local: Ipv4Addr, platform: SocketAddrV4) -> Self {
        Self { local, platform, idle_connection: None }
    }

    /// The whole list.
    ///
    /// Pages do not say which request they answer. Within one read a duplicate page only has its successor requested again. But as
    /// the first page of the next read, a duplicate last page would pass for the whole list: so the connection of a read of several
    /// pages is not reused.
    ///
    /// # Errors
    /// Where the list is not complete in time.
    pub async fn read(&mut self) -> Result<Vec<Server>, InstanceListError> {
        timeout(READ_TIMEOUT, self.read_pages()).await.map_err(|_| InstanceListError::Timeout)?
    }

    async fn read_pages(&mut self) -> Result<Vec<Server>, InstanceListError> {
        let mut servers = Vec::new();
        let mut token = None;
        for index in 0..MAX_PAGES {
            let page = self.read_page(token.as_deref()).await?;
            servers.extend(page.instances.into_iter().map(Server::from));
            token = page.next_token.filter(|token| !token.is_empty());
            if token.is_none() {
                self.idle_connection = self.idle_connection.take().filter(|_| index == 0);
                return Ok(servers);
            }
        }
        Err(InstanceListError::InvalidResponse("it has no last page".to_owned()))
    }

    /// One page. The connection is stored again only once the page is complete: a cancelled request drops it.
    async fn read_page(&mut self, token: Option<&str>) -> Result<Page, InstanceListError> {
        if let Some(mut idle) = self.idle_connection.take().filter(|sender| !sender.is_closed())
            && let Ok(Ok(response)) =
                timeout(REUSED_CONNECTION_TIMEOUT, self.request_page(&mut idle, token)).await
        {
            self.idle_connection = Some(idle);
            return response.into_page();
        }
        let mut sender = self.connect().await?;
        let response = self.request_page(&mut sender, token).await?;
        self.idle_connection = Some(sender);
        response.into_page()
    }

    /// Requests one page on this connection.
    async fn request_page(
        &self,
        sender: &mut Sender,
        token: Option<&str>,
    ) -> Result<PageResponse, InstanceListError> {
        let connection_error = |error: hyper::Error| InstanceListError::Connection(error.to_string());
        sender.ready().await.map_err(connection_error)?;
        let path = match token {
            Some(token) => format!("/instances?page_token={}", percent_encode(token)),
            None => "/instances".to_owned(),
        };
        let request = Request::get(path).header(HOST, self.platform.to_string()).body(Empty::new());
        let request = request.map_err(|error| InstanceListError::InvalidResponse(error.to_string()))?;
        let response = sender.send_request(request).await.map_err(connection_error)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_PAGE_BYTES).collect().await;
        let body = body.map_err(|error| InstanceListError::InvalidResponse(error.to_string()))?.to_bytes();
        Ok(PageResponse { status, body })
    }

    async fn connect(&self) -> Result<Sender, InstanceListError> {
        let mut failed_attempts = 0;
        let stream = loop {
            match socket::connect(self.local, self.platform, failed_attempts).await {
                Ok(stream) => break stream,
                Err(_) if failed_attempts + 1 < CONNECT_ATTEMPTS => failed_attempts += 1,
                Err(error) => return Err(InstanceListError::Connection(error.to_string())),
            }
        };
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|error| InstanceListError::Connection(error.to_string()))?;
        spawn_local(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }
}

/// A complete response of the platform.
struct PageResponse {
    status: StatusCode,
    body: Bytes,
}

impl PageResponse {
    fn into_page(self) -> Result<Page, InstanceListError> {
        if self.status != StatusCode::OK {
            return Err(InstanceListError::Status(self.status));
        }
        serde_json::from_slice(&self.body)
            .map_err(|error| InstanceListError::InvalidResponse(error.to_string()))
    }
}

/// Encodes a token as a query value (RFC 3986, section 2.1): all but unreserved characters.
fn percent_encode(text: &str) -> String {
    let is_unreserved = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    let encode =
        |byte: u8| if is_unreserved(byte) { char::from(byte).to_string() } else { format!("%{byte:02X}") };
    text.bytes().map(encode).collect()
}
