//! The interface of the state machine: settings, inputs ([`Event`]) and outputs ([`Action`]).

mod action;
mod attempt;
mod event;
mod ids;
mod membership;
mod settings;
mod settings_validation;
mod snapshot;
mod time;

pub use action::Action;
pub use attempt::{AttemptEnd, LoadReport, Outcome};
pub use event::{Arrival, Event};
pub use ids::{BackendId, ClassId, RequestId, ZoneId};
pub use membership::{BackendState, ListScope, Member};
pub use settings::{
    ClassSettings, Discovery, Idempotency, IdempotencyScope, Limits, LoadReporting, RuleSettings, Settings,
    Weights,
};
pub use settings_validation::SettingsError;
pub use snapshot::BackendSnapshot;
pub use time::Nanos;
pub(crate) use time::{MILLISECOND, SECOND};
