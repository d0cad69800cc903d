//! Schedules reads of the platform's list of servers on the node that has the reader's role, and renews or yields that role.
//!
//! The reader is a singleton role: it belongs to the leader of one partition, and is fenced by the leader's ballot. Leadership is not a
//! lease. A leader learns that it was superseded only from its next message exchange with the voters, and reading the list needs no such
//! exchange. So this module compares the ballots under which lists are published: a ballot above this node's own means that another node
//! has led since, that no node accepts this node's lists any longer, and that this node has to win an election under a new ballot.
//! `docs/design/list-reader.md` derives the longest time without a reader.

use ivyhatch_protocol::ids::Ballot;
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

/// A result that arrives later than this is dropped, and the list is read again. Longer than the embedder's own timeout, so that this
/// timeout applies only where the process was suspended or the result was lost.
pub const READ_TIMEOUT: Nanos = 1200 * MILLISECOND;
/// The wait between a failed read and its retry.
pub const RETRY_INTERVAL: Nanos = 250 * MILLISECOND;
/// The interval of reads on a node that has no list yet and reads the platform's list for itself after its start.
pub const BOOTSTRAP_READ_INTERVAL: Nanos = SECOND;
/// After this many consecutive failures the role is yielded to another node.
pub const MAX_CONSECUTIVE_FAILURES: u32 = 2;
/// How long the role is yielded the first time. The time doubles with each further yield without a successful read in between, up to
/// [`MAX_YIELD_TIME`].
pub const MIN_YIELD_TIME: Nanos = 5 * SECOND;
/// The longest time for which the role is yielded.
pub const MAX_YIELD_TIME: Nanos = 40 * SECOND;
/// A superseded reader that can't reach its successor waits this long before it renews its ballot: during a partial network partition the
/// successor may be reading for all other nodes, and the two readers must not supersede each other endlessly.
pub const RENEWAL_DELAY: Nanos = 1500 * MILLISECOND;

/// The id of one read of the platform's list, unique within a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReadId(pub u64);

/// The state of the reader's role as this node knows it at the time of an input.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReaderRole {
    /// The ballot under which this node has the role; `None` where this node does not have the role.
    pub ballot: Option<Ballot>,
    /// The highest ballot under which a list has been published, as far as this node knows.
    pub highest_ballot: Ballot,
    /// Whether this node and the node of the highest ballot can reach each other.
    pub highest_is_reachable: bool,
    /// Whether this node has any list.
    pub has_list: bool,
}

impl ReaderRole {
    /// Whether another node has led the role's partition since this node won its ballot.
    fn is_superseded(&self) -> bool {
        self.ballot.is_some_and(|own| own < self.highest_ballot)
    }

    /// The ballot under which a list that is read now would be published. Without the role, a node that has no list publishes under the
    /// lowest ballot, so that the list of any reader replaces it.
    fn read_ballot(&self) -> Option<Ballot> {
        self.ballot.or((!self.has_list).then(Ballot::default))
    }
}

/// An input to the reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed, or the role may have changed.
    Tick(ReaderRole),
    /// A read has succeeded.
    ReadSucceeded(ReadId, ReaderRole),
    /// A read has failed.
    ReadFailed(ReadId),
}

/// An action that the reader requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Read the platform's list. A read in flight is to be cancelled.
    Read(ReadId),
    /// Publish the list that has just been read under this ballot.
    Publish(Ballot),
    /// Win an election under a new ballot, as another node has read under a higher one.
    RenewBallot {
        /// The higher ballot, of the other node.
        superseded_by: Ballot,
    },
    /// A read has failed; to be logged.
    ReadFailing {
        /// The number of failed reads since the last success, yield or change of ballot.
        consecutive_failures: u32,
    },
    /// Announce at once that this node can't read, so that another node takes the role.
    YieldRole,
}

/// A read without a result yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReadInFlight {
    read: ReadId,
    ballot: Ballot,
    started_at: Nanos,
}

/// The scheduler of reads of the platform's list on one node.
#[derive(Clone, Debug)]
pub struct ServerListReader {
    interval: Nanos,
    in_flight: Option<ReadInFlight>,
    last_read: ReadId,
    /// The ballot under which the next read is published; `None` where this node does not read. A change to another ballot causes an
    /// immediate read.
    ballot: Option<Ballot>,
    next_read_at: Nanos,
    consecutive_failures: u32,
    yielded_until: Nanos,
    next_yield_time: Nanos,
    superseded_since: Option<Nanos>,
}

impl ServerListReader {
    /// Creates a reader that reads once per `interval` while it has the role.
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

    /// Handles one input, and appends the requested actions to `out`.
    pub fn handle(&mut self, now: Nanos, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick(role) => self.tick(now, role, out),
            Input::ReadSucceeded(read, role) => self.read_succeeded(now, read, role, out),
            Input::ReadFailed(read) => self.read_failed(now, read, out),
        }
    }

    /// Whether this node may take the role: it has not yielded the role, or the yield time has ended.
    pub fn can_read(&self, now: Nanos) -> bool {
        now >= self.yielded_until
    }

    /// The ballot under which this node reads lists; `None` where it does not read.
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

    /// Sets the ballot under which reads are published. The result of a read in flight under another ballot is ignored.
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
        // A node that reads only for itself does not have the role, so it can't yield it.
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
