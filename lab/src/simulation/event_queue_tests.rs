//! The event queue returns events by time and, at equal times, in the order of scheduling.

use super::event::{EventQueue, SimulationEvent};
use crate::time::Nanos;

fn zone_of(event: &SimulationEvent) -> Option<u32> {
    match event {
        SimulationEvent::ClosedClientReturns { zone } => Some(*zone),
        _ => None,
    }
}

#[test]
fn events_come_by_time_and_within_an_instant_in_the_order_of_scheduling() {
    let mut queue = EventQueue::default();
    for (at, zone) in [(5, 0), (3, 1), (5, 2), (3, 3), (4, 4)] {
        queue.schedule(at, SimulationEvent::ClosedClientReturns { zone });
    }
    let popped: Vec<(Nanos, Option<u32>)> =
        std::iter::from_fn(|| queue.pop()).map(|(at, event)| (at, zone_of(&event))).collect();
    assert_eq!(popped, [(3, Some(1)), (3, Some(3)), (4, Some(4)), (5, Some(0)), (5, Some(2))]);
}
