//! Links between machines and routers. Messages on a partitioned link are lost; other messages arrive in order unless a fault or a
//! mutation reorders them.

use std::collections::BTreeMap;

use ivyhatch_protocol::{MILLISECOND, Nanos};

use super::Simulation;
use super::event::{Delivery, Event, LinkMessage};
use crate::plan::{LinkFaultRates, MessageMutation, MutationKind};
use crate::random::{Stream, keyed_random};

/// The bounds of a link's base delay.
const MIN_LINK_DELAY: Nanos = 900_000;
const MAX_LINK_DELAY: Nanos = 14 * MILLISECOND;
/// The upper bound of the random delay that is added to a link's base delay for each message.
const DELAY_JITTER: Nanos = 2 * MILLISECOND;
/// The additional delay of a mutated message, long enough that the next heartbeats arrive first.
const MUTATION_DELAY: Nanos = 450 * MILLISECOND;
/// The largest additional delay of a reordered message, in milliseconds.
const REORDER_DELAY_MS: u64 = 2_000;
/// The largest delay between the two copies of a duplicated message.
const DUPLICATE_DELAY: Nanos = 300 * MILLISECOND;

/// One direction of a link, by the indices of its ends among machines and routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Direction {
    pub(super) from: usize,
    pub(super) to: usize,
}

/// All links, with their message counts and active faults.
#[derive(Debug)]
pub(super) struct Links {
    endpoints: usize,
    /// The number of active faults that partition each direction.
    partition_counts: Vec<u32>,
    message_counts: Vec<u64>,
    /// The latest scheduled arrival of an in-order message in each direction.
    last_arrivals: Vec<Nanos>,
    sent_messages: u64,
    /// The previous message of each direction, for [`MutationKind::Replaced`].
    previous_messages: BTreeMap<Direction, LinkMessage>,
    pub(super) fault_rates: LinkFaultRates,
}

/// The random numbers that decide the delay and the faults of a message.
struct MessageDraw {
    delay: Nanos,
    fault_bits: u64,
}

/// A sent message with the faults that apply to it.
struct Transmission {
    message: LinkMessage,
    copies: u64,
    additional_delay: Nanos,
}

impl Links {
    pub(super) fn new(endpoints: usize) -> Self {
        let directions = endpoints * endpoints;
        Self {
            endpoints,
            partition_counts: vec![0; directions],
            message_counts: vec![0; directions],
            last_arrivals: vec![0; directions],
            sent_messages: 0,
            previous_messages: BTreeMap::new(),
            fault_rates: LinkFaultRates::default(),
        }
    }

    fn index(&self, from: usize, to: usize) -> usize {
        from * self.endpoints + to
    }

    pub(super) fn sent_messages(&self) -> u64 {
        self.sent_messages
    }

    pub(super) fn is_partitioned(&self, from: usize, to: usize) -> bool {
        self.partition_counts[self.index(from, to)] > 0
    }

    /// Whether either direction is partitioned.
    pub(super) fn is_partitioned_either_way(&self, one: usize, other: usize) -> bool {
        self.is_partitioned(one, other) || self.is_partitioned(other, one)
    }

    pub(super) fn partition(&mut self, direction: Direction) {
        let index = self.index(direction.from, direction.to);
        self.partition_counts[index] += 1;
    }

    pub(super) fn heal(&mut self, direction: Direction) {
        let index = self.index(direction.from, direction.to);
        self.partition_counts[index] = self.partition_counts[index].saturating_sub(1);
    }

    /// Draws the delay and the faults of the next message in a direction. The result depends only on the seed, the link and the number
    /// of messages sent on it before.
    fn draw_message(&mut self, seed: u64, from: usize, to: usize) -> MessageDraw {
        let index = self.index(from, to);
        self.message_counts[index] += 1;
        let jitter = keyed_random(seed, Stream::MessageDelay, [index as u64, self.message_counts[index], 0]);
        let ends = [from.min(to) as u64, from.max(to) as u64, 0];
        let base = keyed_random(seed, Stream::LinkDelay, ends) % (MAX_LINK_DELAY - MIN_LINK_DELAY);
        MessageDraw {
            delay: MIN_LINK_DELAY + base + jitter % DELAY_JITTER,
            fault_bits: keyed_random(jitter, Stream::MessageFault, [0, 0, 0]),
        }
    }

    /// Applies the plan's mutation to the message just counted in `sent_messages`, if the mutation names that message.
    fn mutate(
        &mut self,
        mutation: Option<MessageMutation>,
        direction: Direction,
        message: LinkMessage,
    ) -> Transmission {
        let mut transmission = Transmission { message, copies: 1, additional_delay: 0 };
        let Some(mutation) = mutation else { return transmission };
        let previous = (mutation.kind == MutationKind::Replaced)
            .then(|| self.previous_messages.insert(direction, transmission.message.clone()))
            .flatten();
        if mutation.message != self.sent_messages {
            return transmission;
        }
        match mutation.kind {
            MutationKind::Dropped => transmission.copies = 0,
            MutationKind::Duplicated => transmission.copies = 2,
            MutationKind::Delayed => transmission.additional_delay = MUTATION_DELAY,
            MutationKind::Replaced => {
                if let Some(previous) = previous {
                    transmission.message = previous;
                }
            }
        }
        transmission
    }

    /// Applies the current fault rates to a message.
    fn apply_fault_rates(&self, transmission: &mut Transmission, fault_bits: u64) {
        let rates = self.fault_rates;
        if fault_bits % 100 < rates.lost_percent {
            transmission.copies = 0;
            return;
        }
        if (fault_bits >> 8) % 100 < rates.duplicated_percent {
            transmission.copies += 1;
        }
        if (fault_bits >> 16) % 100 < rates.reordered_percent {
            transmission.additional_delay = ((fault_bits >> 24) % REORDER_DELAY_MS) * MILLISECOND;
        }
    }
}

impl Simulation<'_> {
    /// Sends a message to the given incarnation of its receiver.
    pub(super) fn send(&mut self, from: usize, to: usize, incarnation: u64, message: LinkMessage) {
        self.links.sent_messages += 1;
        let draw = self.links.draw_message(self.plan.seed, from, to);
        let mut transmission = self.links.mutate(self.plan.mutation, Direction { from, to }, message);
        if self.links.is_partitioned(from, to) {
            return;
        }
        self.links.apply_fault_rates(&mut transmission, draw.fault_bits);
        for copy in 0..transmission.copies {
            let at = self.arrival_time(from, to, &draw, copy, transmission.additional_delay);
            let message = transmission.message.clone();
            self.schedule_at(at, Event::MessageArrives(Delivery { from, to, incarnation, message }));
        }
    }

    /// The arrival time of a copy of a message. First copies without additional delay arrive in the order in which they are sent.
    fn arrival_time(
        &mut self,
        from: usize,
        to: usize,
        draw: &MessageDraw,
        copy: u64,
        additional_delay: Nanos,
    ) -> Nanos {
        if additional_delay > 0 || copy > 0 {
            let duplicate_delay = copy * (draw.fault_bits >> 40) % DUPLICATE_DELAY;
            return self.now + draw.delay + additional_delay + duplicate_delay;
        }
        let last_arrival = self.links.index(from, to);
        let last_arrival = &mut self.links.last_arrivals[last_arrival];
        *last_arrival = (self.now + draw.delay).max(*last_arrival);
        *last_arrival
    }
}
