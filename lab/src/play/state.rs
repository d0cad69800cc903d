//! What a play keeps of nodes, clients, requests, attempts and probes, and the events that its queue holds.

use std::collections::{HashMap, VecDeque};

use ivyhatch_balancer::Balancer;

use super::links;
use crate::Nanos;
use crate::arrivals::ClientRequest;
use crate::reference::Reference;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Attempt {
    pub(super) node: usize,
    pub(super) request: u64,
    pub(super) number: u32,
}

/// What happens next. The ends of attempts carry one of [`links::Code`].
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Next {
    Arrives,
    /// A closed client of this zone asks.
    Returns(u32),
    Tries(u64),
    Leaves(usize, u64),
    /// An attempt's request reaches its server.
    Reaches(Attempt),
    /// A server's core has done a job.
    Done(u32, u64),
    /// An attempt ends at its node, by what has come back or by the time.
    Ends(Attempt, links::Code),
    /// A server hears that nobody waits for a job.
    Withdrawn(u32, u64),
    /// An idle connection is closed.
    Closes(usize, u32),
    ProbeReaches(u64),
    ProbeEnds(u64, links::Code, u64),
    Wakes(usize, u32, u64),
    /// A whole list, by its number among those that were made, and whether changes follow.
    Listed(usize, u32, usize, bool),
    ListFails(usize, u32),
    Told(usize, u32, u32, u8, Option<Nanos>),
    Whole,
    Begins(usize),
    Stops(usize),
    Over(usize, u64),
}

pub(super) enum Who {
    Module(Box<Balancer>),
    Reference(Box<Reference>),
}

pub(super) struct Node {
    pub(super) who: Who,
    /// Counts its lives, so that what was meant for an earlier one is known.
    pub(super) life: u32,
    /// Whether clients reach it, and whether it is a process at all.
    pub(super) up: bool,
    pub(super) dead: bool,
    /// Whether it hears of changes to the list.
    pub(super) watching: bool,
    /// What it is told of the list comes in order: nothing before this.
    pub(super) told_until: Nanos,
    /// Requests that it owes an answer.
    pub(super) open: u32,
    /// Idle connections: to which server, when each became idle.
    pub(super) idle: HashMap<u32, VecDeque<Nanos>>,
    pub(super) connections: u32,
}

pub(super) struct Client {
    pub(super) asks: ClientRequest,
    pub(super) first: Nanos,
    pub(super) repeats_left: u32,
    pub(super) closed: bool,
    /// Whether it has what it will get. It is forgotten once none of its requests is open any more: an attempt that is
    /// still out needs what it asked for.
    pub(super) done: bool,
    /// Requests that are open for it.
    pub(super) requests: u32,
}

pub(super) struct Try {
    pub(super) server: u32,
    pub(super) sent: Nanos,
    /// The job at the server, once it is there.
    pub(super) job: u64,
    pub(super) connected: bool,
}

pub(super) struct Open {
    pub(super) client: u64,
    pub(super) not_after: Nanos,
    pub(super) answered: bool,
    /// None once it has ended.
    pub(super) attempts: Vec<Option<Try>>,
}

pub(super) enum Work {
    Attempt(Attempt),
    Probe,
}

pub(super) struct Probe {
    pub(super) node: usize,
    pub(super) life: u32,
    pub(super) server: u32,
    pub(super) sent: Nanos,
}
