//! The state that is kept from line to line: the instances, the server lists, and the simulated time of the batch.

use std::collections::BTreeMap;

use ivyhatch_balancer::{Action, Event, Nanos};
use ivyhatch_node_settings::{FieldError, Fields};

use crate::events::{Manifests, translate};
use crate::input::{MANIFEST, Message, manifest_entries};
use crate::instance::Instance;
use crate::replies::{OutputMessage, Reply};

/// Whether a batch is complete.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// More lines of the batch follow.
    BatchContinues,
    /// The batch has ended; the simulator waits for the reply.
    BatchComplete,
}

/// All instances that the simulator has opened in this process, and the reply to the current batch.
#[derive(Default)]
pub(crate) struct Adapter {
    instances: BTreeMap<i64, Instance>,
    manifests: Manifests,
    now: Nanos,
    reply: Reply,
    /// Buffer for a balancer's actions, reused for each event.
    actions: Vec<Action>,
    has_warned_of_unknown_event: bool,
}

impl Adapter {
    /// Processes one message.
    ///
    /// # Errors
    /// For the first field that is missing or invalid.
    pub(crate) fn process(&mut self, message: &Message, line: u64) -> Result<Progress, FieldError> {
        let fields = &message.fields;
        match message.tag {
            "BATCH" => self.now = fields.unsigned("sim-time-ns")?,
            "GO" => return Ok(Progress::BatchComplete),
            MANIFEST => {
                self.manifests.insert(fields.integer("list")?, manifest_entries(fields)?);
            }
            "OPEN_INSTANCE" => self.open_instance(fields)?,
            "EXIT" => {
                self.instances.remove(&fields.integer("who")?);
            }
            "FLEET" | "INCOMING" | "SETTLED" | "ACK_FIRST" | "LEFT" | "STATUS_BACK" | "WAKEUP" => {
                self.notify_instance(fields)?;
            }
            // The balancer has no event for messages between instances.
            "NEIGHBOUR_SAYS" => {}
            unknown => self.warn_of_unknown_event(unknown, line),
        }
        Ok(Progress::BatchContinues)
    }

    /// Returns the reply to the batch, with the line that ends it, and starts an empty one.
    pub(crate) fn take_reply(&mut self) -> String {
        self.reply.take()
    }

    fn warn_of_unknown_event(&mut self, tag: &str, line: u64) {
        if !std::mem::replace(&mut self.has_warned_of_unknown_event, true) {
            eprintln!(
                "line {line}: skipped a message with the unknown tag {tag}; further ones are skipped silently"
            );
        }
    }

    /// Starts an instance. Invalid settings are not an error of the line: the reply reports them to the simulator.
    fn open_instance(&mut self, fields: &Fields) -> Result<(), FieldError> {
        let instance_id = fields.integer("who")?;
        let seed = fields.unsigned("nonce64")?;
        let config = fields.required("config")?;
        let opened = ivyhatch_node_settings::parse(config)
            .map_err(|error| error.to_string())
            .and_then(|settings| Instance::new(settings, seed, self.now).map_err(|error| error.to_string()));
        match opened {
            Ok(instance) => {
                self.instances.insert(instance_id, instance);
                self.handle(instance_id, Event::Start);
            }
            Err(reason) => self.reply.push(&OutputMessage::instance_failed(instance_id, &reason)),
        }
        Ok(())
    }

    /// Passes a message to its instance. Messages to instances that have exited are dropped without further parsing.
    fn notify_instance(&mut self, fields: &Fields) -> Result<(), FieldError> {
        let instance_id = fields.integer("who")?;
        let Some(instance) = self.instances.get_mut(&instance_id) else { return Ok(()) };
        let Some(translated) = translate(instance, fields, &self.manifests)? else { return Ok(()) };
        self.handle(instance_id, translated.event);
        if let Some(change) = translated.change
            && let Some(instance) = self.instances.get_mut(&instance_id)
        {
            instance.apply(&change);
        }
        Ok(())
    }

    /// Passes an event to an instance's balancer, and adds the resulting actions to the reply.
    fn handle(&mut self, instance_id: i64, event: Event) {
        let Some(instance) = self.instances.get_mut(&instance_id) else { return };
        instance.balancer.handle(self.now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            self.reply.push(&OutputMessage::from_action(instance_id, instance, action));
        }
    }
}
