//! A transcript of HTTP exchanges, for comparison with a golden file.

use std::fmt::Write;
use std::net::SocketAddr;

use super::TestCluster;
use super::calls::{Client, Response};

/// Headers whose values differ from run to run.
const VARIABLE_HEADERS: [&str; 2] = ["content-length", "date"];

/// Exchanges in their order. Each has its status, the names of its headers, the values of the constant ones, and its body.
#[derive(Default)]
pub struct Transcript {
    text: String,
    placeholders: Vec<(String, String)>,
}

impl Transcript {
    /// A transcript in which the cluster's network is written as `127.x.y`.
    pub fn for_cluster(cluster: &TestCluster) -> Self {
        let address = cluster.ip(0).to_string();
        let network = address.strip_suffix('0').expect("host 0").to_owned();
        Self { text: String::new(), placeholders: vec![(network, "127.x.y.".to_owned())] }
    }

    /// From now on writes a placeholder for this text, rather than one that was given earlier for a part of it.
    pub fn add_placeholder(&mut self, text: &str, placeholder: &str) {
        self.placeholders.insert(0, (text.to_owned(), placeholder.to_owned()));
    }

    /// Sends a request on a connection of its own and adds its answer.
    pub fn send_request(&mut self, title: &str, address: SocketAddr, request: &[u8]) {
        let response = Client::connect(address).send_request(request);
        self.add_response(title, &response);
    }

    /// Adds an answer.
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
            writeln!(text, "{name}: {value}").expect("text can be written");
        }
        writeln!(text, "\n{}\n", String::from_utf8_lossy(&response.body)).expect("text can be written");
        for (from, to) in &self.placeholders {
            text = text.replace(from, to);
        }
        self.text += &text;
    }

    /// The whole transcript.
    pub fn text(&self) -> &str {
        &self.text
    }
}

/// The bytes of an operator's request; `headers` are whole lines.
pub fn operator_request(method: &str, path: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: control.example\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}
