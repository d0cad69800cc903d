//! A test double of the platform API, which lists server instances in pages of two.

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;

use ivyhatch_socket_lab::scripted::read_message;
use serde_json::{Value, json};

const PAGE_SIZE: usize = 2;
/// Prefix of page tokens, with characters that have to be escaped in a query.
const PAGE_TOKEN_PREFIX: &str = "p&=+ %-";
/// The query parameter with the escaped prefix.
const PAGE_TOKEN_QUERY: &str = "page_token=p%26%3D%2B%20%25-";

/// The instance list, and the number of requests for it.
pub struct FakePlatform {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    instances: Vec<Value>,
    request_count: u32,
    is_rate_limited: bool,
    repeats_responses: bool,
}

impl FakePlatform {
    /// Starts the platform API on a free port, with an empty instance list.
    pub fn start(ip: Ipv4Addr) -> Self {
        let listener = TcpListener::bind((ip, 0)).unwrap();
        let (address, state) = (listener.local_addr().unwrap(), Arc::<Mutex<State>>::default());
        let shared_state = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = shared_state.clone();
                thread::spawn(move || {
                    let mut writer = stream.try_clone().unwrap();
                    let mut reader = BufReader::new(stream);
                    let mut previous = String::new();
                    while let Some(message) = read_message(&mut reader) {
                        let mut state = state.lock().unwrap();
                        let response = respond(&mut state, &message.start_line);
                        // The duplicate of the previous response is sent before the response to this request.
                        let duplicate = std::mem::replace(&mut previous, response.clone());
                        let text = if state.repeats_responses { duplicate + &response } else { response };
                        drop(state);
                        if writer.write_all(text.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { address, state }
    }

    /// Replaces the instance list.
    pub fn set_instances(&self, instances: Vec<Value>) {
        self.state.lock().unwrap().instances = instances;
    }

    /// Changes entries of the instance list.
    pub fn update_instances(&self, change: impl FnOnce(&mut Vec<Value>)) {
        change(&mut self.state.lock().unwrap().instances);
    }

    /// Sets whether all requests are answered with status 429.
    pub fn set_rate_limited(&self, is_rate_limited: bool) {
        self.state.lock().unwrap().is_rate_limited = is_rate_limited;
    }

    /// Sets whether each response is sent once more before the next response on its connection.
    pub fn set_repeat_responses(&self, repeats_responses: bool) {
        self.state.lock().unwrap().repeats_responses = repeats_responses;
    }

    /// Number of requests since the start, including those answered with status 429.
    pub fn request_count(&self) -> u32 {
        self.state.lock().unwrap().request_count
    }
}

fn respond(state: &mut State, request_line: &str) -> String {
    state.request_count += 1;
    let path = request_line.split(' ').nth(1).unwrap_or("");
    if state.is_rate_limited || !path.starts_with("/instances") {
        return "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n".to_owned();
    }
    let first = path.split(PAGE_TOKEN_QUERY).nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let rest = state.instances.get(first..).unwrap_or_default();
    let next = (rest.len() > PAGE_SIZE).then(|| format!("{PAGE_TOKEN_PREFIX}{}", first + PAGE_SIZE));
    let body = json!({"instances": &rest[..rest.len().min(PAGE_SIZE)], "next_token": next}).to_string();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
