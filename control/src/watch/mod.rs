//! The watchers of the control state: what they are sent, their sessions, and the routers behind these.

pub mod change_feed;
pub mod home_regions;
pub mod router_registry;
pub mod sessions;
