//! A transcript of HTTP exchanges, for comparison with a golden file.

use std::fmt::Write;
use std::net::SocketAddr;

use super::TestCluster;
use super::calls::{Client, Response};

/// Headers whose values differ between runs.
const VARIABLE_HEADERS: [&str; 2] = ["content-length", "date"];

/// Responses in the order in which they were added, each with its status, its header names, the values of the headers that are the same in
/// each run, and its body.
#[derive(Default)]
pub struct Transcript {
    text: String,
    placeholders: Vec<(String, String)>,
}

impl Transcript {
    /// Creates a transcript in which `127.x.y` stands for the cluster's network.
    pub fn for_cluster(cluster: &TestCluster) -> Self {
        let address = cluster.ip(0).to_string();
        let network = address.strip_suffix('0').expect("the address of host 0 ends in 0").to_owned();
        Self { text: String::new(), placeholders: vec![(network, "127.x.y.".to_owned())] }
    }

    /// Replaces `text` by a placeholder in all responses that are added later, before the placeholders that were added earlier.
    pub fn add_placeholder(&mut self, text: &str, placeholder: &str) {
        self.placeholders.insert(0, (text.to_owned(), placeholder.to_owned()));
    }

    /// Sends a request on a new connection and adds its response.
    pub fn send_request(&mut self, title: &str, address: SocketAddr, request: &[u8]) {
        let response = Client::connect(address).send_request(request);
        self.add_response(title, &response);
    }

    /// Adds a response.
    pub fn add_response(&mut self, title: &str, response: &Response) {
        let mut headers: Vec<(String, &str)> = response
            .head
            .headers
            .iter()
            .map(|(name, value)| (name.to_ascii_lowercase(), value.as_str()))
            .collect();
        headers.sort();
        let names: Vec<&str> = headers.iter().map(|(name, _)| name.as_str()).collect();
        let constant = headers.iter().filter(|(name, _)| !VARIABLE_HEADERS.contains(&name.as_str()));
        let mut text = format!("## {title}\nstatus {}\nheaders {}\n", response.head.status, names.join(" "));
        for (name, value) in constant {
            writeln!(text, "{name}: {value}").expect("writing to a string succeeds");
        }
        writeln!(text, "\n{}\n", String::from_utf8_lossy(&response.body))
            .expect("writing to a string succeeds");
        for (from, to) in &self.placeholders {
            text = text.replace(from, to);
        }
        self.text += &text;
    }

    /// Text of the responses that have been added so far.
    pub fn text(&self) -> &str {
        &self.text
    }
}

/// The bytes of an operator's request; `headers` are complete lines.
pub fn operator_request(method: &str, path: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: control.example\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}
