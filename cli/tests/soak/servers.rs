//! Servers whose instances crash and are replaced by others at the same addresses.

use std::net::Ipv4Addr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use serde_json::{Value, json};

use super::recorder::{Recorder, Service};
use crate::system_common::server::{self, ReceivedRequest, Step, complete_response, id_header, ok_response};

/// The instance at an address, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Instance {
    /// The instance serves requests.
    Serving(u32),
    /// The instance has crashed; its connections are closed.
    Crashed(u32),
}

/// An address that is taken over by one instance after another.
struct ServerAddress {
    instance: Mutex<Instance>,
    /// Notified when `instance` changes.
    changed: Condvar,
    service: Service,
    name: String,
    /// How long an instance works on each request.
    work_time: Duration,
    recorder: Arc<Recorder>,
}

/// An address, and the scripted server that listens on it for all instances.
pub struct Server {
    server: server::Server,
    address: Arc<ServerAddress>,
}

impl Server {
    /// Starts the first instance of a service in a zone.
    pub fn start(
        ip: Ipv4Addr,
        (name, service, zone): (&str, Service, &str),
        work_time: Duration,
        recorder: &Arc<Recorder>,
    ) -> Self {
        let address = Arc::new(ServerAddress {
            instance: Mutex::new(Instance::Serving(1)),
            changed: Condvar::new(),
            service,
            name: name.to_owned(),
            work_time,
            recorder: recorder.clone(),
        });
        let script_address = address.clone();
        let script = move |received: &ReceivedRequest| script_address.respond(received);
        Self { server: server::Server::new(ip, (name, service.name(), zone), script), address }
    }

    /// Crashes the instance, which interrupts the requests that it works on.
    pub fn crash(&self) {
        let mut instance = self.address.instance.lock().unwrap();
        if let Instance::Serving(number) = *instance {
            *instance = Instance::Crashed(number);
        }
        self.address.changed.notify_all();
    }

    /// Starts another instance at the address.
    pub fn replace(&self) {
        let mut instance = self.address.instance.lock().unwrap();
        let (Instance::Serving(number) | Instance::Crashed(number)) = *instance;
        *instance = Instance::Serving(number + 1);
        self.address.changed.notify_all();
    }

    /// Entry of the current instance in the platform's instance list, even if it has crashed.
    pub fn instance_entry(&self) -> Value {
        let (Instance::Serving(number) | Instance::Crashed(number)) = *self.address.instance.lock().unwrap();
        let mut entry = self.server.instance_entry();
        entry["id"] = json!(self.address.instance_id(number));
        entry["slots"] = json!(64);
        entry
    }

    /// Drops the copies of requests that the scripted server keeps, which the soak test does not need.
    pub fn discard_requests(&self) {
        self.server.take_requests();
    }
}

impl ServerAddress {
    fn instance_id(&self, number: u32) -> String {
        format!("{}-{number}", self.name)
    }

    /// Responds to a request after [`Self::work_time`]. The connection is closed if the instance has crashed or crashes meanwhile; a request
    /// for another instance is rejected with status 421.
    fn respond(&self, received: &ReceivedRequest) -> Vec<Step> {
        let Instance::Serving(number) = *self.instance.lock().unwrap() else { return vec![Step::Close] };
        let request = u64::from_str_radix(received.id(), 16).ok();
        if received.message.value("ivyhatch-expect-instance") != Some(&*self.instance_id(number)) {
            self.recorder.request_arrived(request, self.service, false);
            return vec![Step::Write(complete_response(421, &id_header(received.id()), b""))];
        }
        self.recorder.request_arrived(request, self.service, true);
        let instance = self.instance.lock().unwrap();
        let is_unchanged = |instance: &mut Instance| *instance == Instance::Serving(number);
        let (instance, _) = self.changed.wait_timeout_while(instance, self.work_time, is_unchanged).unwrap();
        if *instance != Instance::Serving(number) {
            drop(instance);
            request.into_iter().for_each(|request| self.recorder.execution_interrupted(request));
            return vec![Step::Close];
        }
        drop(instance);
        ok_response(received, received.id().as_bytes())
    }
}
