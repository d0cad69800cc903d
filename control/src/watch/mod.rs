//! Watches of the control state: the updates for watchers, the watch sessions, and the routers that have these sessions.

pub mod change_feed;
pub mod home_regions;
pub mod router_registry;
pub mod sessions;
