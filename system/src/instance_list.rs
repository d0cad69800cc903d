//! Client of the platform API: reads the list of server instances, page by page.
//!
//! A read ends within [`READ_TIMEOUT`], whatever the platform or the network does. The connection is reused for the next read, but the
//! timeout of a page on a reused connection is only [`REUSED_CONNECTION_TIMEOUT`], as the connection may have been cut by a partition. A
//! read that is cancelled, fails or times out drops its connection, so that no late response can be mistaken for one of the next read.

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

/// Timeout of a read of all pages of the list.
pub const READ_TIMEOUT: Duration = Duration::from_millis(1000);
/// A page that has not been received within this time on a reused connection is requested again on a new connection.
pub const REUSED_CONNECTION_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of connect attempts for a page; the first has the shortest timeout (see [`socket::connect`]).
const CONNECT_ATTEMPTS: u32 = 2;
const MAX_PAGE_BYTES: usize = 4 << 20;
/// Maximum number of pages of a list; a longer list is assumed to be endless, and rejected.
const MAX_PAGES: usize = 1000;
/// The `state` of an instance that takes new requests.
const READY_STATE: &str = "ready";

/// Why the instance list could not be read.
#[derive(Debug, thiserror::Error)]
pub enum InstanceListError {
    /// No connection could be opened, or the connection was lost.
    #[error("no connection to the platform API for the instance list: {0}")]
    Connection(String),
    /// The platform answered with a status other than 200.
    #[error(
        "the platform API answered {0} instead of 200 for the instance list: on 429, let fewer processes \
         read the list"
    )]
    Status(StatusCode),
    /// A response is not a page of the list, or the list has no last page.
    #[error("invalid response of the platform API for the instance list: {0}")]
    InvalidResponse(String),
    /// The list was not complete within [`READ_TIMEOUT`].
    #[error("the platform API did not deliver the whole instance list within the read timeout")]
    Timeout,
}

/// A page of the instance list, as encoded by the platform API.
#[derive(Deserialize)]
struct Page {
    instances: Vec<Instance>,
    next_token: Option<String>,
}

/// An instance, as encoded by the platform API.
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
            // In every state but `ready`, including unknown ones, an instance takes no new requests.
            draining: instance.state != READY_STATE,
            warm_up_remaining_ms: instance.cold_left_ms.max(0.0) as u32,
            lifetime_remaining_ms: instance.remaining_ms.map(|left| left.max(0.0) as u32),
        }
    }
}

type Sender = SendRequest<Empty<Bytes>>;

/// A client of the platform API. Reuses its connection for the next read as long as the list has a single page.
pub struct InstanceListClient {
    local: Ipv4Addr,
    platform: SocketAddrV4,
    /// The connection of the last read; `None` if the read failed or the list had several pages.
    idle_connection: Option<Sender>,
}

impl InstanceListClient {
    /// Creates a client that connects from the machine's own address `local` to the address `platform`.
    pub fn new(local: Ipv4Addr, platform: SocketAddrV4) -> Self {
        Self { local, platform, idle_connection: None }
    }

    /// Reads the whole list.
    ///
    /// Pages do not identify the request that they answer. Within one read, a duplicate page only causes the next page to be requested
    /// again. But a duplicate of the last page would be mistaken for the whole list if it were received as the first page of the next
    /// read. So the connection is not reused after a read of several pages.
    ///
    /// # Errors
    /// If the platform can't be reached, its response is invalid, or the list is not complete within [`READ_TIMEOUT`].
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
        Err(InstanceListError::InvalidResponse("the list exceeds the maximum number of pages".to_owned()))
    }

    /// Reads one page. The connection is stored again only once the page is complete, so that a cancelled read drops the connection.
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

    /// Requests one page on the connection of `sender`, and reads the response.
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

/// A complete response of the platform API.
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
