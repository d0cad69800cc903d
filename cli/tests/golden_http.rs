//! Compares HTTP responses of the control and router roles with golden files: status, headers and body of the responses that a role
//! creates itself, and of server responses that a router forwards.

mod golden;
mod system_common;

#[path = "golden_http/control.rs"]
mod control;
#[path = "golden_http/router.rs"]
mod router;
