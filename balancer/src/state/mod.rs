//! The state of a node: its requests, and its views of backends, zones and classes. Plain data and
//! arithmetic; all decisions are under `policy/`.

mod backend;
mod balancer;
mod class;
mod congestion;
mod request;
mod window;
mod zone;

pub(crate) use backend::{Backend, Health, SlowStartSend};
pub use balancer::Balancer;
pub(crate) use balancer::FailureRateSum;
pub(crate) use class::ClassView;
pub(crate) use request::{Attempt, Request, RequestPhase};
pub(crate) use window::ConcurrencyWindow;
pub(crate) use zone::{ZoneUtilisation, ZoneView};
