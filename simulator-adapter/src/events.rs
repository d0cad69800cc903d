//! Translation of messages to an instance into events of its balancer.

use std::collections::HashMap;

use ivyhatch_balancer::{Arrival, AttemptEnd, ClassId, Event, ListScope};
use ivyhatch_node_settings::{FieldError, Fields};
use serde_json::Value;

use crate::input::{ManifestEntry, load_report, outcome};
use crate::instance::{Instance, RequestChange};

/// Bits of the `options` field of a request: bit 0 says that `weight-hint-ns` is set, bit 1 that the request is a retry.
const OPTION_HAS_WORK_HINT: u64 = 1;
const OPTION_IS_RETRY: u64 = 2;

/// Server lists by number. A later list with the same number replaces the earlier one.
pub(crate) type Manifests = HashMap<i64, Vec<ManifestEntry>>;

/// The event that a message is translated to.
pub(crate) struct TranslatedEvent {
    pub(crate) event: Event,
    /// Change of a tracked request. It has to be applied after the event: while handling the event, the balancer may
    /// still refer to the request.
    pub(crate) change: Option<RequestChange>,
}

impl From<Event> for TranslatedEvent {
    fn from(event: Event) -> Self {
        Self { event, change: None }
    }
}

/// Translates a message to an instance. `None` if the message is about a request that is no longer tracked.
///
/// # Errors
/// For the first field that is missing or invalid.
pub(crate) fn translate(
    instance: &mut Instance,
    fields: &Fields,
    manifests: &Manifests,
) -> Result<Option<TranslatedEvent>, FieldError> {
    match fields.object {
        "FLEET" => membership(instance, fields, manifests).map(|event| Some(event.into())),
        "INCOMING" => request(instance, fields).map(|event| Some(event.into())),
        "SETTLED" => attempt_ended(instance, fields),
        "ACK_FIRST" => stream_started(instance, fields),
        "LEFT" => client_disconnected(instance, fields),
        "STATUS_BACK" => probe_ended(instance, fields).map(|event| Some(event.into())),
        _ => Ok(Some(Event::Timer { token: fields.unsigned("name")? }.into())),
    }
}

fn membership(instance: &mut Instance, fields: &Fields, manifests: &Manifests) -> Result<Event, FieldError> {
    let scope = match fields.text("mode")? {
        "delta" => ListScope::Changes,
        "full" => ListScope::Full,
        "cached" => ListScope::Cached,
        "failed" => return Ok(Event::DiscoveryFailed),
        _ => return Err(fields.invalid("mode")),
    };
    let list = fields.integer("list")?;
    let entries = manifests.get(&list).ok_or_else(|| fields.invalid("list"))?;
    Ok(Event::Membership { scope, members: instance.members(entries) })
}

fn request(instance: &mut Instance, fields: &Fields) -> Result<Event, FieldError> {
    let class = instance.names.class(fields.text("band")?).ok_or_else(|| fields.invalid("band"))?;
    let options = fields.unsigned_or("options", 0)?;
    let work_hint = fields.unsigned_or("weight-hint-ns", 0)?;
    let not_after = fields.unsigned("not-after-ns")?;
    let name = fields.text("request-id")?;
    Ok(Event::Request(Arrival {
        request: instance.track_request(name),
        class: ClassId(class),
        expected_work: (options & OPTION_HAS_WORK_HINT != 0).then_some(work_hint),
        is_retry: options & OPTION_IS_RETRY != 0,
        tenant: instance.names.tenant(fields.map.get("org").and_then(Value::as_str)),
        not_after,
    }))
}

fn attempt_ended(instance: &Instance, fields: &Fields) -> Result<Option<TranslatedEvent>, FieldError> {
    let request_ended = fields.boolean("no-more")?;
    let outcome = outcome(fields)?;
    let elapsed = fields.unsigned("elapsed-ns")?;
    let report = load_report(fields)?;
    let attempt = fields.unsigned("try")? as u32;
    let Some(request) = instance.request_id(fields.text("request-id")?) else { return Ok(None) };
    let end = AttemptEnd { request, attempt, outcome, elapsed, request_ended, report };
    let change = Some(RequestChange::AttemptEnded { request, request_ended });
    Ok(Some(TranslatedEvent { event: Event::AttemptEnded(end), change }))
}

fn stream_started(instance: &Instance, fields: &Fields) -> Result<Option<TranslatedEvent>, FieldError> {
    let request = instance.request_id(fields.text("request-id")?);
    Ok(request.map(|request| Event::StreamStarted { request }.into()))
}

fn client_disconnected(instance: &Instance, fields: &Fields) -> Result<Option<TranslatedEvent>, FieldError> {
    let request = instance.request_id(fields.text("request-id")?);
    Ok(request.map(|request| TranslatedEvent {
        event: Event::ClientDisconnected { request },
        change: Some(RequestChange::Ended { request }),
    }))
}

fn probe_ended(instance: &mut Instance, fields: &Fields) -> Result<Event, FieldError> {
    let backend = instance.backend_id(fields.text("backend")?);
    let elapsed = fields.unsigned("elapsed-ns")?;
    Ok(Event::ProbeEnded { backend, outcome: outcome(fields)?, elapsed, report: load_report(fields)? })
}
