//! Handling of the JSON requests on the agent's socket: status, commands, restarts, logs and the audit log.

use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::Deserialize;
use serde_json::{Value, json};

use crate::lifecycle::Input;
use crate::log_file::last_lines;
use crate::store::{Change, Command, Outcome, Store, StoreError};

use super::status::{AgentStatus, InstanceStatus};
use super::supervised_instance::SupervisedInstance;
use super::supervisor::Supervisor;

/// Maximum number of log lines in one response.
const MAX_LOG_LINES: usize = 10_000;

/// A request on the agent's socket. The field names in the JSON are those of the first release.
#[derive(Deserialize)]
#[serde(tag = "op", rename_all = "snake_case", deny_unknown_fields, rename = "Ask")]
pub(super) enum Request {
    /// The status of one instance, or of all if `instance` is `None`. An unknown instance gives an empty list.
    Status { instance: Option<String> },
    /// A command that sets desired states. Idempotent by `id`.
    Apply {
        id: String,
        #[serde(rename = "by")]
        requested_by: String,
        #[serde(rename = "against")]
        base_revision: u64,
        changes: Vec<Change>,
    },
    /// A restart of one instance. Not stored, as the desired state does not change.
    Restart {
        instance: String,
        #[serde(rename = "by")]
        requested_by: String,
    },
    /// The audit records with this number and higher ones; they are numbered from 0.
    Audit { from: u64 },
    /// The last lines of an instance's log, at most `lines` and at most [`MAX_LOG_LINES`].
    Logs { instance: String, lines: usize },
}

/// Why a request gets a response with an `error` field.
#[derive(Debug, thiserror::Error)]
enum RequestError {
    #[error("there is no instance {0:?} here")]
    UnknownInstance(String),
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Handles the requests on the agent's socket.
pub(super) struct Api {
    supervisor: Rc<Supervisor>,
    store: Store,
}

impl Api {
    pub(super) fn new(supervisor: Rc<Supervisor>, store: Store) -> Self {
        Self { supervisor, store }
    }

    /// Handles a request and returns the response; a failure is a response with an `error` field.
    pub(super) fn handle(&self, request: Request) -> Value {
        self.respond(request).unwrap_or_else(|error| json!({ "error": error.to_string() }))
    }

    fn respond(&self, request: Request) -> Result<Value, RequestError> {
        match request {
            Request::Status { instance } => Ok(json!(self.status(instance.as_deref())?)),
            Request::Apply { id, requested_by, base_revision, changes } => {
                let now = SystemTime::now().duration_since(UNIX_EPOCH);
                let at_unix_ms = now.map_or(0, |now| now.as_millis() as u64);
                let outcome =
                    self.apply(&Command { id, requested_by, base_revision, changes, at_unix_ms })?;
                Ok(json!(outcome))
            }
            Request::Restart { instance, requested_by } => self.restart(&instance, &requested_by),
            Request::Logs { instance, lines } => {
                let log = &self.instance(&instance)?.files.log;
                Ok(json!({ "lines": last_lines(log, lines.min(MAX_LOG_LINES)) }))
            }
            Request::Audit { from } => Ok(json!({ "audit": self.store.audit(from)? })),
        }
    }

    fn instance(&self, name: &str) -> Result<&Rc<SupervisedInstance>, RequestError> {
        let instance = self.supervisor.instances.get(name);
        instance.ok_or_else(|| RequestError::UnknownInstance(name.to_owned()))
    }

    /// Stores a command, and passes the desired states that it has set to the instances.
    fn apply(&self, command: &Command) -> Result<Outcome, RequestError> {
        for change in &command.changes {
            self.instance(&change.instance)?;
        }
        let outcome = self.store.apply(command)?;
        tracing::info!(command = command.id, by = command.requested_by, "{outcome:?}");
        if matches!(outcome, Outcome::Applied { .. }) {
            // The states come from the store, not from this command: a repeated command may be older than the stored state.
            for change in &command.changes {
                if let Some(entry) = self.store.entry(&change.instance)? {
                    self.instance(&change.instance)?.add_input(Input::DesiredStateSet(entry.desired_state));
                }
            }
        }
        Ok(outcome)
    }

    fn restart(&self, name: &str, requested_by: &str) -> Result<Value, RequestError> {
        let instance = self.instance(name)?;
        tracing::info!(instance = name, by = requested_by, "asked to restart");
        instance.add_input(Input::RestartRequested);
        Ok(json!({ "done": { "starts": instance.starts(), "pid": instance.pid() } }))
    }

    /// The agent's status, with the instance of this name or with all.
    fn status(&self, name: Option<&str>) -> Result<AgentStatus, RequestError> {
        let now = self.supervisor.now();
        let selected = self.supervisor.instances.values();
        let selected = selected.filter(|instance| name.is_none_or(|name| instance.config.name == name));
        let instances: Vec<InstanceStatus> = selected.map(|instance| instance.status(now)).collect();
        Ok(AgentStatus {
            fleet: self.supervisor.options.config.fleet.name.clone(),
            pid: std::process::id(),
            revision: self.store.revision()?,
            instances,
        })
    }
}
