//! Schedules reads of the platform's list of servers on the node that has the reader's role, and renews or yields that role.
//!
//! The reader is a singleton role: it belongs to the leader of one partition, and is fenced by the leader's ballot. Leadership is not a
//! lease. A leader learns that it was superseded only when it next asks the voters for something, and reading the list asks them for
//! nothing. So this module compares the ballots under which lists are published: one above this node's own means that another
//! node has led since, nobody accepts this node's lists any longer, and it has to win an election under a new ballot.
//! `docs/design/list-reader.md` adds up for how long nobody may read.

use ivyhatch_protocol::ids::Ballot;
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

/// A result that comes later than this is dropped, and the list is read again. Longer than the embedder's own timeout, so that
/// this one counts only where the process was suspended or the result was lost.
pub const READ_TIMEOUT: Nanos = 1200 * MILLISECOND;
/// Wait between a failed read and its retry.
pub const RETRY_INTERVAL: Nanos = 250 * MILLISECOND;
/// Interval of the reads that a node without any list makes for itself after its start, until it has one.
pub const BOOTSTRAP_READ_INTERVAL: Nanos = SECOND;
/// After this many consecutive failures the role is yielded to another node.
pub const MAX_CONSECUTIVE_FAILURES: u32 = 2;
/// For how long the role is yielded the first time; doubled each time that no read has succeeded since, up to [`MAX_YIELD_TIME`].
pub const MIN_YIELD_TIME: Nanos = 5 * SECOND;
/// The longest time for which the role is yielded.
pub const MAX_YIELD_TIME: Nanos = 40 * SECOND;
/// A superseded reader waits this long before it renews its ballot where it can't reach its successor: that one may be reading for
/// all others behind a partial partition of the network, and the two must not supersede each other without end.
pub const RENEWAL_DELAY: Nanos = 1500 * MILLISECOND;

/// One read of the whole list. Its number is used once in a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReadId(pub u64);

/// What this node knows of the reader's role at the moment of an input.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReaderRole {
    /// The ballot under which this node has the role, if it has it.
    pub ballot: Option<Ballot>,
    /// The highest ballot under which a list has been published, as far as is known here.
    pub highest_ballot: Ballot,
    /// Whether the node of that highest ballot and this one can reach each other.
    pub highest_is_reachable: bool,
    /// Whether any list is known here.
    pub has_list: bool,
}

impl ReaderRole {
    /// Whether another node has led since this one won its ballot.
    fn is_superseded(&self) -> bool {
        self.ballot.is_some_and(|own| own < self.highest_ballot)
    }

    /// The ballot that a list read now would be published under: the role's; else, where there is no list at all, the lowest
    /// ballot, whose list is replaced by any reader's.
    fn read_ballot(&self) -> Option<Ballot> {
        self.ballot.or((!self.has_list).then(Ballot::default))
    }
}

/// What happens to the reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed, or the role may have changed.
    Tick(ReaderRole),
    /// A read has succeeded.
    ReadSucceeded(ReadId, ReaderRole),
    /// A read has failed.
    ReadFailed(ReadId),
}

/// What the reader wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Read the platform's list. A read in flight is cancelled.
    Read(ReadId),
    /// Publish the list that has just been read under this ballot.
    Publish(Ballot),
    /// Another node has read under this higher ballot: win an election under a new one.
    RenewBallot {
        /// The ballot of the other node.
        superseded_by: Ballot,
    },
    /// This many reads have failed since the last success.
    ReadFailing {
        /// How many.
        consecutive_failures: u32,
    },
    /// Another node should read: announce at once that this one can't.
    YieldRole,
}

/// A read that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReadInFlight {
    read: ReadId,
    ballot: Ballot,
    started_at: Nanos,
}

/// The scheduler of reads on one node.
#[derive(Clone, Debug)]
pub struct ServerListReader {
    interval: Nanos,
    in_flight: Option<ReadInFlight>,
    last_read: ReadId,
    /// The ballot that the next read is published under. A change of it causes a read at once.
    ballot: Option<Ballot>,
    next_read_at: Nanos,
    consecutive_failures: u32,
    yielded_until: Nanos,
    next_yield_time: Nanos,
    superseded_since: Option<Nanos>,
}

impl ServerListReader {
    /// A reader that reads once in every interval while it has the role.
    pub fn new(interval: Nanos) -> Self {
        Self {
            interval,
            in_flight: None,
            last_read: ReadId::default(),
            ballot: None,
            next_read_at: 0,
            consecutive_failures: 0,
            yielded_until: 0,
            next_yield_time: MIN_YIELD_TIME,
            superseded_since: None,
        }
    }

    /// Handles one input, and appends what is to be done.
    pub fn handle(&mut self, now: Nanos, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick(role) => self.tick(now, role, out),
            Input::ReadSucceeded(read, role) => self.read_succeeded(now, read, role, out),
            Input::ReadFailed(read) => self.read_failed(now, read, out),
        }
    }

    /// Whether this node may take the role: it has not yielded it lately.
    pub fn can_read(&self, now: Nanos) -> bool {
        now >= self.yielded_until
    }

    /// The ballot under which lists are read now, if they are.
    pub fn reading_ballot(&self) -> Option<Ballot> {
        self.ballot
    }

    fn tick(&mut self, now: Nanos, role: ReaderRole, out: &mut Vec<Output>) {
        if role.is_superseded() {
            self.renew_when_due(now, role, out);
            return;
        }
        self.superseded_since = None;
        self.set_ballot(role.read_ballot());
        self.expire_read(now, out);
        self.read_when_due(now, out);
    }

    fn renew_when_due(&mut self, now: Nanos, role: ReaderRole, out: &mut Vec<Output>) {
        self.set_ballot(None);
        let since = *self.superseded_since.get_or_insert(now);
        if role.highest_is_reachable || now >= since + RENEWAL_DELAY {
            self.superseded_since = None;
            out.push(Output::RenewBallot { superseded_by: role.highest_ballot });
        }
    }

    /// Sets the ballot that reads are published under. A read under another one no longer counts.
    fn set_ballot(&mut self, ballot: Option<Ballot>) {
        if ballot == self.ballot {
            return;
        }
        self.ballot = ballot;
        self.in_flight = None;
        self.next_read_at = 0;
        self.consecutive_failures = 0;
    }

    fn expire_read(&mut self, now: Nanos, out: &mut Vec<Output>) {
        if let Some(ReadInFlight { read, started_at, .. }) = self.in_flight
            && now >= started_at + READ_TIMEOUT
        {
            self.read_failed(now, read, out);
        }
    }

    fn read_when_due(&mut self, now: Nanos, out: &mut Vec<Output>) {
        let Some(ballot) = self.ballot else { return };
        if self.in_flight.is_some() || now < self.next_read_at {
            return;
        }
        self.last_read = ReadId(self.last_read.0 + 1);
        self.in_flight = Some(ReadInFlight { read: self.last_read, ballot, started_at: now });
        let interval = if ballot == Ballot::default() { BOOTSTRAP_READ_INTERVAL } else { self.interval };
        self.next_read_at = now + interval;
        out.push(Output::Read(self.last_read));
    }

    fn read_succeeded(&mut self, now: Nanos, read: ReadId, role: ReaderRole, out: &mut Vec<Output>) {
        let Some(in_flight) = self.in_flight.take_if(|in_flight| in_flight.read == read) else { return };
        // The process was suspended: the list may be outdated, and another node may have taken the role meanwhile.
        if now >= in_flight.started_at + READ_TIMEOUT {
            self.next_read_at = 0;
            self.tick(now, role, out);
            return;
        }
        self.consecutive_failures = 0;
        self.yielded_until = 0;
        self.next_yield_time = MIN_YIELD_TIME;
        if !role.is_superseded() && role.read_ballot() == Some(in_flight.ballot) {
            out.push(Output::Publish(in_flight.ballot));
        }
    }

    fn read_failed(&mut self, now: Nanos, read: ReadId, out: &mut Vec<Output>) {
        if self.in_flight.take_if(|in_flight| in_flight.read == read).is_none() {
            return;
        }
        self.consecutive_failures += 1;
        self.next_read_at = self.next_read_at.min(now + RETRY_INTERVAL);
        out.push(Output::ReadFailing { consecutive_failures: self.consecutive_failures });
        // A node that reads only for itself has no role to yield.
        if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES && self.ballot != Some(Ballot::default()) {
            self.yield_role(now, out);
        }
    }

    fn yield_role(&mut self, now: Nanos, out: &mut Vec<Output>) {
        self.consecutive_failures = 0;
        self.yielded_until = now + self.next_yield_time;
        self.next_yield_time = (2 * self.next_yield_time).min(MAX_YIELD_TIME);
        out.push(Output::YieldRole);
    }
}
