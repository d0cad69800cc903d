//! The server list of a node: read from the platform while the node has the reader's role, replicated from the reader otherwise.
//!
//! The reader's role is a singleton role of the cluster: it belongs to the leader of one partition, and the leader's ballot is its
//! fencing token. Every node rejects a list that was read under a lower ballot than that of the node's own list.

use ivyhatch_protocol::ids::{Ballot, PartitionId};
use ivyhatch_protocol::server_list::{ListUpdateOutcome, ServerList};
use ivyhatch_protocol::watch::{Server, ServerListChange, ServerListPosition, ServerListUpdate, Shared};
use ivyhatch_protocol::{MILLISECOND, Nanos};

use crate::log_event::{LogEvent, ServerListSource};
use crate::server_list::reader::{self, ReadId, ReaderRole, ServerListReader};

/// The key of the role. The role belongs to the leader of the partition that this key hashes to.
const ROLE_KEY: &str = "platform-list";
/// The wait before the list is requested again where the last request to another node has brought no newer list.
const REQUEST_INTERVAL: Nanos = 250 * MILLISECOND;
/// How long a change that was made for one receiver is reused for others. The remaining warm-up times and lifetimes of servers in the
/// change become outdated by up to this time.
const PREPARED_CHANGE_LIFETIME: Nanos = 100 * MILLISECOND;

/// The partition whose leader has the reader's role.
pub fn reader_partition() -> PartitionId {
    PartitionId::for_key(ROLE_KEY)
}

/// An action that the role requests. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum RoleOutput {
    /// Write a line to the log.
    Log(LogEvent),
    /// Read the platform's list.
    Read(ReadId),
    /// Send a change to all other control nodes.
    Broadcast(ServerListChange),
    /// Step down, and win an election under a higher ballot than this one, under which another node has led the role's partition.
    RenewBallot(Ballot),
    /// Send a heartbeat at once, so that another node takes the role.
    AnnounceYield,
}

/// The result of applying an update from another node.
#[derive(Clone, Debug, PartialEq)]
pub enum UpdateOutcome {
    /// The update was applied; the event is to be logged.
    Applied(LogEvent),
    /// The update is ignored, as this node's list is not older.
    NotNewer,
    /// The update builds on a version that this node does not have: the complete list is needed.
    Gap,
}

/// A change that was made for one receiver, and is reused for others.
#[derive(Debug)]
struct PreparedChange {
    since: ServerListPosition,
    change: Shared<ServerListChange>,
    made_at: Nanos,
}

/// One node's copy of the server list, and the state of the reader's role on that node.
#[derive(Debug)]
pub struct ServerListRole {
    list: ServerList,
    prepared: Option<PreparedChange>,
    reader: ServerListReader,
    requested_at: Nanos,
}

impl ServerListRole {
    /// Creates a role with an empty list. The platform's list is read once per `read_interval` while the node has the role.
    pub fn new(read_interval: Nanos) -> Self {
        let reader = ServerListReader::new(read_interval);
        Self { list: ServerList::default(), prepared: None, reader, requested_at: 0 }
    }

    /// This node's copy of the list.
    pub fn list(&self) -> &ServerList {
        &self.list
    }

    /// Whether this node may take the role; see [`ServerListReader::can_read`].
    pub fn can_read(&self, now: Nanos) -> bool {
        self.reader.can_read(now)
    }

    /// The highest ballot among this node's own list and the lists that other nodes report.
    pub fn highest_ballot(&self, reported: impl Iterator<Item = ServerListPosition>) -> Ballot {
        let own = self.list.position().ballot;
        reported.map(|position| position.ballot).chain([own]).max().unwrap_or_default()
    }

    /// Whether this node has any list.
    pub fn has_list(&self) -> bool {
        self.list.position().number > 0
    }

    /// Handles the passing of time or a possible change of the role.
    pub fn tick(&mut self, now: Nanos, role: ReaderRole) -> Vec<RoleOutput> {
        self.drive_reader(now, reader::Input::Tick(role), Vec::new())
    }

    /// Handles the result of a successful read of the platform's list.
    pub fn read_succeeded(
        &mut self,
        now: Nanos,
        read: ReadId,
        role: ReaderRole,
        servers: Vec<Server>,
    ) -> Vec<RoleOutput> {
        self.drive_reader(now, reader::Input::ReadSucceeded(read, role), servers)
    }

    /// Handles a failed read of the platform's list.
    pub fn read_failed(&mut self, now: Nanos, read: ReadId) -> Vec<RoleOutput> {
        self.drive_reader(now, reader::Input::ReadFailed(read), Vec::new())
    }

    fn drive_reader(
        &mut self,
        now: Nanos,
        input: reader::Input,
        mut servers: Vec<Server>,
    ) -> Vec<RoleOutput> {
        let ballot_before = self.reader.reading_ballot();
        let mut reader_outputs = Vec::new();
        self.reader.handle(now, input, &mut reader_outputs);
        let mut out = Vec::new();
        let ballot = self.reader.reading_ballot();
        if ballot != ballot_before {
            out.push(RoleOutput::Log(LogEvent::ServerListReader { ballot }));
        }
        for output in reader_outputs {
            match output {
                reader::Output::Read(read) => out.push(RoleOutput::Read(read)),
                reader::Output::Publish(ballot) => {
                    self.publish(now, ballot, std::mem::take(&mut servers), &mut out);
                }
                reader::Output::RenewBallot { superseded_by } => {
                    out.push(RoleOutput::Log(LogEvent::ServerListReaderSuperseded { superseded_by }));
                    out.push(RoleOutput::RenewBallot(superseded_by));
                }
                reader::Output::ReadFailing { consecutive_failures } => {
                    out.push(RoleOutput::Log(LogEvent::ServerListReadFailed { consecutive_failures }));
                }
                reader::Output::YieldRole => out.push(RoleOutput::AnnounceYield),
            }
        }
        out
    }

    fn publish(&mut self, now: Nanos, ballot: Ballot, servers: Vec<Server>, out: &mut Vec<RoleOutput>) {
        if ballot == Ballot::default() {
            // This node has read the list for its own watchers: without a quorum, no node has the role.
            if !servers.is_empty() {
                self.list.apply_platform_list(now, ballot, servers);
                out.push(RoleOutput::Log(self.log_event(ServerListSource::Bootstrap)));
            }
            return;
        }
        let Some(change) = self.list.apply_platform_list(now, ballot, servers) else { return };
        out.push(RoleOutput::Log(self.log_event(ServerListSource::Platform)));
        let changed = change.upsert.iter().filter(|_| change.base.is_some());
        out.extend(changed.map(|server| RoleOutput::Log(LogEvent::ServerChanged(server.clone()))));
        out.push(RoleOutput::Broadcast(change));
    }

    /// Applies a change from another node.
    pub fn apply_change(&mut self, now: Nanos, change: ServerListChange) -> UpdateOutcome {
        match self.list.apply_change(now, change) {
            ListUpdateOutcome::Applied => UpdateOutcome::Applied(self.log_event(ServerListSource::Peer)),
            ListUpdateOutcome::Stale => UpdateOutcome::NotNewer,
            ListUpdateOutcome::Gap => UpdateOutcome::Gap,
        }
    }

    /// The complete list, for a node of a release before [`ServerListChange`]; `None` where this node has no list.
    pub fn whole_update(&self, now: Nanos) -> Option<ServerListUpdate> {
        let has_list = self.list.position() != ServerList::default().position();
        has_list.then(|| self.list.full_update(now))
    }

    /// The update that a watcher at this position lacks, for a release before [`ServerListChange`]; `None` where it lacks none.
    pub fn update_since(&self, now: Nanos, position: ServerListPosition) -> Option<ServerListUpdate> {
        (self.list.position() > position).then(|| self.list.update_since(now, position))
    }

    /// The change that a watcher or another node at this position lacks; `None` where it lacks none. Receivers at the same position share
    /// one change for `PREPARED_CHANGE_LIFETIME`, which is encoded once.
    pub fn changes_since(
        &mut self,
        now: Nanos,
        since: ServerListPosition,
    ) -> Option<Shared<ServerListChange>> {
        if self.list.position() <= since {
            return None;
        }
        let reusable = self.prepared.as_ref().filter(|prepared| {
            prepared.since == since
                && prepared.change.position == self.list.position()
                && now < prepared.made_at + PREPARED_CHANGE_LIFETIME
        });
        if let Some(prepared) = reusable {
            return Some(prepared.change.clone());
        }
        let change: Shared<ServerListChange> = self.list.changes_since(now, since).into();
        self.prepared = Some(PreparedChange { since, change: change.clone(), made_at: now });
        Some(change)
    }

    /// Returns whether to request the list now from a node that has a list at this position. If so, no other request is due until
    /// `REQUEST_INTERVAL` has passed.
    pub fn begin_request(&mut self, now: Nanos, position: ServerListPosition) -> bool {
        let is_due = position > self.list.position() && now >= self.requested_at + REQUEST_INTERVAL;
        if is_due {
            self.requested_at = now;
        }
        is_due
    }

    fn log_event(&self, source: ServerListSource) -> LogEvent {
        let ServerListPosition { ballot, number } = self.list.position();
        LogEvent::ServerList { source, ballot, number, servers: self.list.len() }
    }
}
