//! Translation of the balancer's actions into messages of the reply.

use ivyhatch_balancer::Action;
use serde_json::{Value, json};

use crate::instance::Instance;

/// The last line of each reply.
const END_OF_REPLY: &str = "{\"YIELD\":{}}\n";

/// The reply to a batch: one message per line.
#[derive(Default)]
pub(crate) struct Reply {
    text: String,
}

impl Reply {
    /// Adds a message.
    pub(crate) fn push(&mut self, message: &OutputMessage) {
        self.text.push_str(&json!({ message.tag: message.body }).to_string());
        self.text.push('\n');
    }

    /// Returns the complete reply, and starts an empty one for the next batch.
    pub(crate) fn take(&mut self) -> String {
        self.text.push_str(END_OF_REPLY);
        std::mem::take(&mut self.text)
    }
}

/// A message of a reply.
pub(crate) struct OutputMessage {
    tag: &'static str,
    body: Value,
}

impl OutputMessage {
    /// The message that an instance can't start, with the reason.
    pub(crate) fn instance_failed(instance_id: i64, reason: &str) -> Self {
        Self { tag: "DIE", body: json!({"who": instance_id, "note-text": reason}) }
    }

    /// Translates an action of an instance, and updates the tracked request that the action is about.
    pub(crate) fn from_action(instance_id: i64, instance: &mut Instance, action: Action) -> Self {
        let who = instance_id;
        let (tag, body) = match action {
            Action::Send { request, backend, timeout } => {
                instance.attempt_sent(request);
                let body = json!({"who": who, "request-id": instance.request_name(request),
                    "backend": instance.backend_name(backend), "max-wait-ns": timeout.unwrap_or(0)});
                ("PLACE", body)
            }
            Action::Reject { request, retry_after } => {
                let name = instance.request_name(request);
                let body = json!({"who": who, "request-id": name, "pause-ns": retry_after});
                instance.request_ended(request);
                ("DECLINE", body)
            }
            Action::Fail { request } => {
                let body = json!({"who": who, "request-id": instance.request_name(request)});
                instance.request_ended(request);
                ("END_FAILED", body)
            }
            Action::Cancel { request, attempt } => {
                let name = instance.request_name(request);
                ("RECALL", json!({"who": who, "request-id": name, "try": attempt}))
            }
            Action::Probe { backend } => {
                ("TEST", json!({"who": who, "backend": instance.backend_name(backend)}))
            }
            Action::Watch => ("SUBSCRIBE", json!({"who": who, "on": true})),
            Action::Fetch => ("QUERY_ALL", json!({"who": who})),
            Action::Timer { after, token } => {
                ("DEFER", json!({"who": who, "from-now-ns": after, "name": token}))
            }
            Action::Log(text) => ("REMARK", json!({"who": who, "note-text": text})),
        };
        Self { tag, body }
    }
}
