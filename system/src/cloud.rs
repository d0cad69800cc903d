//! Reads the platform's list of servers, page by page.
//!
//! A reading ends within [`WHOLE_LIST`], whatever the platform or the network does. It keeps its connection for the next one, but
//! waits on a kept connection only for [`KEPT_CONNECTION`]: behind a cut it never answers. A reading that is dropped, fails or ends
//! late takes its connection with it, so that no answer of it can be taken for one of the next.

use std::net::SocketAddrV4;
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

/// The whole list is read within this, or the reading is given up.
pub const WHOLE_LIST: Duration = Duration::from_millis(1000);
/// A page is asked for again on a new connection when a kept one has not brought it within this.
pub const KEPT_CONNECTION: Duration = Duration::from_millis(400);
/// Connects that are tried for a page; the first is short (see [`crate::link::connect`]).
const CONNECT_TRIES: u32 = 2;
const LONGEST_PAGE: usize = 4 << 20;
/// A list of more pages than this does not end.
const MOST_PAGES: usize = 1000;

/// Why there is no list.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// No connection, or one that broke.
    #[error("the platform's list can't be reached: {0}")]
    Unreached(String),
    /// It says no.
    #[error("the platform's list answers {0}: where it is 429, fewer may ask")]
    Refused(StatusCode),
    /// It says what is no list.
    #[error("the platform's list can't be read: {0}")]
    Unreadable(String),
    /// It says nothing.
    #[error("the platform's list does not answer in time")]
    Late,
}

#[derive(Deserialize)]
struct Page {
    instances: Vec<Instance>,
    next_token: Option<String>,
}

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
            // What is not said to be ready gets nothing new, whatever else it is called.
            draining: instance.state != "ready",
            warm_up_remaining_ms: instance.cold_left_ms.max(0.0) as u32,
            lifetime_remaining_ms: instance.remaining_ms.map(|left| left.max(0.0) as u32),
        }
    }
}

type Sender = SendRequest<Empty<Bytes>>;

/// A reader, which keeps its connection for as long as the list has one page.
pub struct Cloud {
    address: SocketAddrV4,
    from: std::net::Ipv4Addr,
    sender: Option<Sender>,
}

impl Cloud {
    /// A reader of the list at this address.
    pub fn new(from: std::net::Ipv4Addr, address: SocketAddrV4) -> Self {
        Self { address, from, sender: None }
    }

    /// The whole list.
    ///
    /// Pages bear no mark of the call that they answer. Within one reading a page that comes once more only has its next one
    /// asked for again. In the place of the next reading's first page, a last page would pass for the whole list: so a list of
    /// several pages is read on a connection of its own.
    ///
    /// # Errors
    /// Where it does not come whole, in time.
    pub async fn read(&mut self) -> Result<Vec<Server>, CloudError> {
        timeout(WHOLE_LIST, self.pages()).await.map_err(|_| CloudError::Late)?
    }

    async fn pages(&mut self) -> Result<Vec<Server>, CloudError> {
        let (mut servers, mut token) = (Vec::new(), None);
        for number in 0..MOST_PAGES {
            let page = self.page(token.as_deref()).await?;
            servers.extend(page.instances.into_iter().map(Server::from));
            token = page.next_token.filter(|token| !token.is_empty());
            if token.is_none() {
                self.sender = self.sender.take().filter(|_| number == 0);
                return Ok(servers);
            }
        }
        Err(CloudError::Unreadable("it has no last page".to_owned()))
    }

    /// One page. The connection is kept only once the page has come whole: a call that is given up in between closes it.
    async fn page(&mut self, token: Option<&str>) -> Result<Page, CloudError> {
        if let Some(mut kept) = self.sender.take().filter(|sender| !sender.is_closed())
            && let Ok(Ok(page)) = timeout(KEPT_CONNECTION, self.ask(&mut kept, token)).await
        {
            self.sender = Some(kept);
            return page_of(page);
        }
        let mut sender = self.connect().await?;
        let page = self.ask(&mut sender, token).await?;
        self.sender = Some(sender);
        page_of(page)
    }

    /// Asks for one page on this connection.
    async fn ask(&self, sender: &mut Sender, token: Option<&str>) -> Result<(StatusCode, Bytes), CloudError> {
        let unreached = |error: hyper::Error| CloudError::Unreached(error.to_string());
        sender.ready().await.map_err(unreached)?;
        let path = match token {
            Some(token) => format!("/instances?page_token={}", percent_encoded(token)),
            None => "/instances".to_owned(),
        };
        let request = Request::get(path).header(HOST, self.address.to_string()).body(Empty::new());
        let request = request.map_err(|error| CloudError::Unreadable(error.to_string()))?;
        let response = sender.send_request(request).await.map_err(unreached)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), LONGEST_PAGE).collect().await;
        let body = body.map_err(|error| CloudError::Unreadable(error.to_string()))?.to_bytes();
        Ok((status, body))
    }

    async fn connect(&self) -> Result<Sender, CloudError> {
        let mut tries = 0;
        let stream = loop {
            match crate::link::connect(self.from, self.address, tries).await {
                Ok(stream) => break stream,
                Err(_) if tries + 1 < CONNECT_TRIES => tries += 1,
                Err(error) => return Err(CloudError::Unreached(error.to_string())),
            }
        };
        let made = handshake(TokioIo::new(stream)).await;
        let (sender, connection) = made.map_err(|error| CloudError::Unreached(error.to_string()))?;
        spawn_local(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }
}

/// What the platform has answered, as a page of the list.
fn page_of((status, body): (StatusCode, Bytes)) -> Result<Page, CloudError> {
    if status != StatusCode::OK {
        return Err(CloudError::Refused(status));
    }
    serde_json::from_slice(&body).map_err(|error| CloudError::Unreadable(error.to_string()))
}

/// A token as a value of a query, whatever it is made of.
fn percent_encoded(text: &str) -> String {
    let unreserved = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    let encode =
        |byte: u8| if unreserved(byte) { char::from(byte).to_string() } else { format!("%{byte:02X}") };
    text.bytes().map(encode).collect()
}
