//! Reading the platform's list of servers: when the replica that has the duty asks, which answers count, when it renews its ballot,
//! and when it leaves the duty to another replica. `docs/design/list-reader.md` adds up how long nobody may read.
//!
//! The duty lies with the owner of one part of the control state. Owning a part is not a lease: an owner learns that it has been
//! deposed only when it asks the other members something, and reading the list asks them nothing. So the ballots under which
//! lists are told are watched here. A higher one than this replica's own means that another replica has led meanwhile: nobody
//! accepts this one's lists any longer, and it has to begin a new ballot.

use ivyhatch_protocol::ids::Ballot;
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

/// An answer that comes later than this is dropped, and the platform is asked again. Longer than the embedder's own limit, so
/// that this one counts only where the process stood still or the call was lost.
pub const ANSWER_LIMIT: Nanos = 1200 * MILLISECOND;
/// A call that failed is made again after this.
pub const RETRY: Nanos = 250 * MILLISECOND;
/// A replica without any list reads it once by itself after its start, so often until it has one.
pub const FIRST_LIST_EVERY: Nanos = SECOND;
/// After so many failures in a row another replica reads.
pub const MOST_FAILURES: u32 = 2;
/// The duty is left for so long, and twice as long each time that no call has succeeded since, up to [`LONGEST_LEAVE`].
pub const SHORTEST_LEAVE: Nanos = 5 * SECOND;
/// The duty is not left for longer.
pub const LONGEST_LEAVE: Nanos = 40 * SECOND;
/// A deposed reader waits for so long before it renews its ballot where it can't see its successor: that one may be reading for all
/// behind a partial cut, and the two must not depose each other without pause.
pub const RENEW_AFTER: Nanos = 1500 * MILLISECOND;

/// One reading of the whole list. No two of a process have the same number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReadId(pub u64);

/// What the replica knows of the duty at this moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Duty {
    /// The ballot under which it has the duty, if it has it.
    pub owned: Option<Ballot>,
    /// The highest ballot under which a list has been told, as far as is known here.
    pub newest: Ballot,
    /// Whether the replica that began this ballot is there and hears this one.
    pub newest_in_touch: bool,
    /// Whether any list is known here.
    pub has_list: bool,
}

/// What the reader hears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed, or the duty may have changed.
    Checked(Duty),
    /// The platform has told the whole list.
    Answered(ReadId, Duty),
    /// The platform could not be asked.
    Failed(ReadId),
}

/// What the reader wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Ask the platform. Whatever reading is still under way is given up.
    Read(ReadId),
    /// The list that has just come counts, under this ballot.
    Publish(Ballot),
    /// Another replica has read under this higher ballot: begin a new one.
    Renew(Ballot),
    /// So many calls in a row have failed.
    Failing(u32),
    /// Another replica should read: tell the others at once.
    Leave,
}

/// Whether a call is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    None,
    UnderWay { read: ReadId, ballot: Ballot, asked: Nanos },
}

/// The reader of the platform's list, in each replica.
#[derive(Clone, Debug)]
pub struct ListReader {
    every: Nanos,
    call: Call,
    last_read: ReadId,
    /// The ballot that the next call counts under; it is made at once where this changes.
    ballot: Option<Ballot>,
    next: Nanos,
    failures: u32,
    left_until: Nanos,
    leave_for: Nanos,
    outdated_since: Option<Nanos>,
}

impl ListReader {
    /// A reader that asks once in so long.
    pub fn new(every: Nanos) -> Self {
        Self {
            every,
            call: Call::None,
            last_read: ReadId::default(),
            ballot: None,
            next: 0,
            failures: 0,
            left_until: 0,
            leave_for: SHORTEST_LEAVE,
            outdated_since: None,
        }
    }

    /// Takes one input in and adds what is to be done.
    pub fn handle(&mut self, now: Nanos, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Checked(duty) => self.check(now, duty, out),
            Input::Answered(read, duty) => self.answered(now, read, duty, out),
            Input::Failed(read) => self.failed(now, read, out),
        }
    }

    /// Whether the replica may be given the duty: it has not left it lately.
    pub fn can_read(&self, now: Nanos) -> bool {
        now >= self.left_until
    }

    /// The ballot under which it reads now, if it does.
    pub fn reads_under(&self) -> Option<Ballot> {
        self.ballot
    }

    fn check(&mut self, now: Nanos, duty: Duty, out: &mut Vec<Output>) {
        if self.is_outdated(duty) {
            self.renew_in_time(now, duty, out);
            return;
        }
        self.outdated_since = None;
        self.read_under(epoch_of(duty));
        self.give_up_lost_call(now, out);
        self.ask_in_time(now, out);
    }

    /// Whether another replica has led since this one began its ballot.
    fn is_outdated(&self, duty: Duty) -> bool {
        duty.owned.is_some_and(|owned| owned < duty.newest)
    }

    fn renew_in_time(&mut self, now: Nanos, duty: Duty, out: &mut Vec<Output>) {
        self.read_under(None);
        let since = *self.outdated_since.get_or_insert(now);
        if duty.newest_in_touch || now >= since + RENEW_AFTER {
            self.outdated_since = None;
            out.push(Output::Renew(duty.newest));
        }
    }

    /// Sets the ballot that calls count under. What was asked under another one is not waited for.
    fn read_under(&mut self, ballot: Option<Ballot>) {
        if ballot == self.ballot {
            return;
        }
        self.ballot = ballot;
        self.call = Call::None;
        self.next = 0;
        self.failures = 0;
    }

    fn give_up_lost_call(&mut self, now: Nanos, out: &mut Vec<Output>) {
        if let Call::UnderWay { read, asked, .. } = self.call
            && now >= asked + ANSWER_LIMIT
        {
            self.failed(now, read, out);
        }
    }

    fn ask_in_time(&mut self, now: Nanos, out: &mut Vec<Output>) {
        let Some(ballot) = self.ballot else { return };
        if self.call != Call::None || now < self.next {
            return;
        }
        self.last_read = ReadId(self.last_read.0 + 1);
        self.call = Call::UnderWay { read: self.last_read, ballot, asked: now };
        let every = if ballot == Ballot::default() { FIRST_LIST_EVERY } else { self.every };
        self.next = now + every;
        out.push(Output::Read(self.last_read));
    }

    fn answered(&mut self, now: Nanos, answered: ReadId, duty: Duty, out: &mut Vec<Output>) {
        let Call::UnderWay { read, ballot, asked } = self.call else { return };
        if read != answered {
            return;
        }
        self.call = Call::None;
        // The process stood still: the list may be from before, and others have gone on meanwhile.
        if now >= asked + ANSWER_LIMIT {
            self.next = 0;
            self.check(now, duty, out);
            return;
        }
        self.failures = 0;
        self.left_until = 0;
        self.leave_for = SHORTEST_LEAVE;
        if !self.is_outdated(duty) && epoch_of(duty) == Some(ballot) {
            out.push(Output::Publish(ballot));
        }
    }

    fn failed(&mut self, now: Nanos, failed: ReadId, out: &mut Vec<Output>) {
        let Call::UnderWay { read, .. } = self.call else { return };
        if read != failed {
            return;
        }
        self.call = Call::None;
        self.failures += 1;
        self.next = self.next.min(now + RETRY);
        out.push(Output::Failing(self.failures));
        if self.failures >= MOST_FAILURES && self.ballot != Some(Ballot::default()) {
            self.leave(now, out);
        }
    }

    fn leave(&mut self, now: Nanos, out: &mut Vec<Output>) {
        self.failures = 0;
        self.left_until = now + self.leave_for;
        self.leave_for = (2 * self.leave_for).min(LONGEST_LEAVE);
        out.push(Output::Leave);
    }
}

/// The ballot that a list read now would count under: the owner's; else, where there is no list at all, the lowest of all, whose
/// place the first owner's list takes.
fn epoch_of(duty: Duty) -> Option<Ballot> {
    duty.owned.or((!duty.has_list).then(Ballot::default))
}
