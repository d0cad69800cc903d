//! HTTP answers of the control and router roles, held fixed by golden files: status, headers and body of each answer that a role
//! gives by itself, and of a server's answer that a router forwards.

mod golden;
mod system_common;

#[path = "golden_http/control.rs"]
mod control;
#[path = "golden_http/router.rs"]
mod router;
