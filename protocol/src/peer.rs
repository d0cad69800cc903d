//! Between control nodes.

use speedy::{Readable, Writable};

use crate::feed::{Router, Servers};
use crate::ids::{Epoch, NodeId, Part};

/// The control nodes that decide together. Fixed when the system starts for the first time, and stored by each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Group {
    /// The members, in order.
    pub members: Vec<NodeId>,
}

/// Where a control node stands towards its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Standing {
    /// The system's first start: it has never promised anything.
    Fresh,
    /// It has an empty disk and a past: what it promised is forgotten.
    Forgotten,
    /// It votes.
    Member,
}

/// What a part was last set to.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Accepted {
    /// The epoch of the owner who set it.
    pub epoch: Epoch,
    /// Counts the changes of the part.
    pub sequence: u64,
    /// What it was set to.
    pub value: Vec<u8>,
}

/// What a member keeps of a part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Kept {
    /// Lower epochs are refused.
    pub promised: Epoch,
    /// What it was last set to.
    pub accepted: Option<Accepted>,
}

/// Deciding on a part.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Deciding {
    /// An owner begins its epoch.
    Prepare {
        /// Its epoch.
        epoch: Epoch,
    },
    /// The epoch is promised, and stored.
    Promise {
        /// The epoch.
        epoch: Epoch,
        /// What the part was set to before.
        accepted: Option<Accepted>,
    },
    /// The owner sets the part.
    Accept(Accepted),
    /// It is set, and stored.
    Done {
        /// The owner's epoch.
        epoch: Epoch,
        /// The change.
        sequence: u64,
    },
    /// A higher epoch has been promised.
    Refuse {
        /// That one.
        promised: Epoch,
    },
    /// Most have set the part so.
    Commit {
        /// The owner's epoch.
        epoch: Epoch,
        /// The change.
        sequence: u64,
    },
    /// What is the part, as far as it is decided?
    Fetch {
        /// Only a later change is of interest.
        after: u64,
    },
    /// So it is decided.
    Committed(Accepted),
    /// Does the epoch still stand?
    Confirm {
        /// The epoch.
        epoch: Epoch,
        /// Comes back with the answer.
        number: u64,
    },
    /// It does.
    Stands {
        /// The epoch.
        epoch: Epoch,
        /// As it was asked.
        number: u64,
    },
}

/// What an operator orders.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Order {
    /// A whole configuration.
    Put {
        /// The version that it builds on.
        base: u64,
        /// The configuration, as it came.
        body: Vec<u8>,
    },
    /// A change of named items.
    Patch {
        /// The version that it builds on.
        base: u64,
        /// The change, as it came.
        body: Vec<u8>,
    },
    /// The newest configuration.
    Read,
    /// Nothing more is to be sent to a zone's servers, or that is withdrawn.
    Evacuate {
        /// The zone.
        zone: String,
        /// Whether it is to be evacuated.
        active: bool,
    },
}

impl Order {
    /// The part that decides on it.
    pub fn part(&self) -> Part {
        match self {
            Self::Put { .. } | Self::Patch { .. } | Self::Read => Part::CONFIGURATION,
            Self::Evacuate { zone, .. } => Part::of(zone),
        }
    }
}

/// What an operator is answered.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Answer {
    /// It is done, and stored on most disks.
    Taken {
        /// The version that is current with it.
        revision: u64,
    },
    /// The configuration, as text.
    Document(String),
    /// Nothing has been configured yet.
    Nothing,
    /// Another version is current.
    Conflict {
        /// That one.
        revision: u64,
    },
    /// It is invalid, and why.
    Invalid(String),
    /// Nobody can tell now; it may have been done. Says what to do.
    Unsure(String),
}

/// One message.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum Peer {
    /// A sign of life, and how far the sender is.
    Beat(Beat),
    /// The group has been formed.
    Found {
        /// The group.
        group: Group,
        /// The life of the receiver for which this holds: a later one may have forgotten something.
        life: u64,
    },
    /// One that has forgotten its past asks for it.
    Recall {
        /// The asking life.
        life: u64,
    },
    /// What a member keeps, all of it stored.
    Recalled {
        /// The asking life.
        life: u64,
        /// The group.
        group: Group,
        /// Part by part.
        parts: Vec<(Part, Kept)>,
    },
    /// Deciding on a part.
    Deciding(Part, Deciding),
    /// An order, for the owner of its part.
    Forward {
        /// Comes back with the answer.
        number: u64,
        /// The number of the owner's beat that the sender has heard last: by it the owner knows how old this may be.
        heard: u64,
        /// The order.
        order: Order,
    },
    /// An order's answer.
    Answered {
        /// As it was forwarded.
        number: u64,
        /// The answer.
        answer: Answer,
    },
    /// The routers whose sessions stand with the sender; all of them.
    Sessions(Vec<Router>),
    /// News of the list of servers.
    Servers(Servers),
    /// The whole list of servers is wanted.
    WantServers,
}

/// A sign of life.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Beat {
    /// The sender's life.
    pub life: u64,
    /// Counts the beats of that life.
    pub number: u64,
    /// Where the sender stands towards the group.
    pub standing: Standing,
    /// Whether it knows of a group.
    pub has_group: bool,
    /// Whether it has a disk, and so can be a member.
    pub has_disk: bool,
    /// From whom it has heard lately.
    pub hears: Vec<NodeId>,
    /// Whom it knows.
    pub knows: Vec<NodeId>,
    /// It hears most of its group, and they hear it.
    pub in_touch: bool,
    /// It can read the platform's list.
    pub reads_list: bool,
    /// For each part, its last decided change as far as the sender knows.
    pub decided: Vec<u64>,
    /// The list of servers that it has.
    pub servers: (Epoch, u64),
}
