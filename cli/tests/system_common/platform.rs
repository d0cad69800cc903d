//! The platform's list of servers, in pages of two.

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;

use ivyhatch_socket_lab::scripted::read_message;
use serde_json::{Value, json};

const PAGE: usize = 2;
/// How page tokens begin, and how they do in a query.
const TOKEN: &str = "p&=+ %-";
const TOKEN_IN_QUERY: &str = "page_token=p%26%3D%2B%20%25-";

/// The instance list, and how often it was requested.
pub struct Platform {
    pub at: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    instances: Vec<Value>,
    calls: u32,
    refuses: bool,
    repeats: bool,
}

impl Platform {
    pub fn at(ip: Ipv4Addr) -> Self {
        let listener = TcpListener::bind((ip, 0)).unwrap();
        let (at, state) = (listener.local_addr().unwrap(), Arc::<Mutex<State>>::default());
        let served = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = served.clone();
                thread::spawn(move || {
                    let mut writer = stream.try_clone().unwrap();
                    let mut reader = BufReader::new(stream);
                    let mut before = String::new();
                    while let Some(message) = read_message(&mut reader) {
                        let mut state = state.lock().unwrap();
                        let own = answer(&mut state, &message.start_line);
                        // The copy comes in the place of the answer, which follows it.
                        let copy = std::mem::replace(&mut before, own.clone());
                        let text = if state.repeats { copy + &own } else { own };
                        drop(state);
                        if writer.write_all(text.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { at, state }
    }

    /// From now on it lists these.
    pub fn set(&self, instances: Vec<Value>) {
        self.state.lock().unwrap().instances = instances;
    }

    /// Changes what it lists.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Value>)) {
        change(&mut self.state.lock().unwrap().instances);
    }

    /// Whether it answers 429 from now on.
    pub fn refuse(&self, refuses: bool) {
        self.state.lock().unwrap().refuses = refuses;
    }

    /// Whether from now on each answer comes once more before the next one on its connection.
    pub fn repeat_late(&self, repeats: bool) {
        self.state.lock().unwrap().repeats = repeats;
    }

    pub fn calls(&self) -> u32 {
        self.state.lock().unwrap().calls
    }
}

fn answer(state: &mut State, line: &str) -> String {
    state.calls += 1;
    let path = line.split(' ').nth(1).unwrap_or("");
    if state.refuses || !path.starts_with("/instances") {
        return "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n".to_owned();
    }
    let from = path.split(TOKEN_IN_QUERY).nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let rest = state.instances.get(from..).unwrap_or_default();
    let next = (rest.len() > PAGE).then(|| format!("{TOKEN}{}", from + PAGE));
    let body = json!({"instances": &rest[..rest.len().min(PAGE)], "next_token": next}).to_string();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
