//! Operators' requests: the requests that wait for a response, and the queues of the partitions' leaders.

pub mod admin_requests;
pub mod delivery;
pub mod pending_requests;
pub mod request_queue;
