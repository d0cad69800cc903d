//! The faults of a plan and their triggers.

use serde::{Deserialize, Serialize};

/// Recorded runs store some structs as JSON arrays of their fields. This derives both conversions from the field list.
macro_rules! stored_as_array {
    ($name:ident($($field:ident: $type:ty),+)) => {
        impl From<($($type),+)> for $name {
            fn from(($($field),+): ($($type),+)) -> Self {
                Self { $($field),+ }
            }
        }

        impl From<$name> for ($($type),+) {
            fn from($name { $($field),+ }: $name) -> Self {
                ($($field),+)
            }
        }
    };
}

/// A set of member slots, stored as a bit mask.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeSet(pub u64);

impl NodeSet {
    /// Whether the slot is in the set.
    pub fn contains(self, slot: usize) -> bool {
        self.0 >> slot & 1 == 1
    }

    /// The set without the slot.
    #[must_use]
    pub fn without(self, slot: usize) -> Self {
        Self(self.0 & !(1 << slot))
    }

    /// The slots of `self` that are not in `other`.
    #[must_use]
    pub fn difference(self, other: Self) -> Self {
        Self(self.0 & !other.0)
    }

    /// The slots of the set, in ascending order.
    pub fn iter(self) -> impl Iterator<Item = usize> {
        (0..u64::BITS as usize).filter(move |slot| self.contains(*slot))
    }
}

/// A fault with its trigger and its duration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// When it begins.
    #[serde(rename = "when")] // wire name
    pub trigger: FaultTrigger,
    /// The fault.
    #[serde(rename = "what")] // wire name
    pub fault: Fault,
    /// How long it lasts; cut short at the plan's `faults_end_ms`.
    #[serde(rename = "for_ms")] // wire name
    pub duration_ms: u64,
}

/// When a fault begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FaultTrigger {
    /// At this time, in milliseconds.
    At(u64),
    /// After a number of acknowledged changes.
    #[serde(rename = "Taken")] // wire name
    AfterAcknowledgements(AcknowledgementTrigger),
}

/// A trigger that waits for operators' changes (configurations and evacuations) to be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct AcknowledgementTrigger {
    /// Changes that were acknowledged.
    pub count: u64,
    /// Time from the last of them to the fault.
    pub delay_ms: u64,
}
stored_as_array!(AcknowledgementTrigger(count: u64, delay_ms: u64));

/// A fault. Members and routers are numbered from 0; a member's number is its slot, whichever machine holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fault {
    /// The processes are killed; their files stay.
    Kill(NodeSet),
    /// The machines lose power: writes that are not synced are lost, and peers notice only by timeouts.
    #[serde(rename = "Power")] // wire name
    PowerLoss(NodeSet),
    /// Machines lose their disks, and others their power at the same moment.
    #[serde(rename = "Wipe")] // wire name
    DiskLoss(DiskLoss),
    /// The processes are suspended and resumed.
    Freeze(NodeSet),
    /// Messages in one direction between two members are lost.
    #[serde(rename = "OneWay")] // wire name
    OneWayPartition(Link),
    /// The members are partitioned from all other machines.
    #[serde(rename = "Split")] // wire name
    Partition(NodeSet),
    /// A router is partitioned from some members.
    #[serde(rename = "Aside")] // wire name
    RouterPartition(RouterPartition),
    /// The process of this router is killed.
    #[serde(rename = "Follower")] // wire name
    RouterKill(usize),
    /// Writes to some disks are slow.
    #[serde(rename = "Slow")] // wire name
    SlowDisk(SlowDisk),
    /// Writes to these disks do not complete.
    #[serde(rename = "Stall")] // wire name
    StalledDisk(NodeSet),
    /// These disks are full: each write fails and is retried.
    #[serde(rename = "Full")] // wire name
    FullDisk(NodeSet),
    /// All links lose, duplicate and reorder messages.
    #[serde(rename = "Unruly")] // wire name
    UnreliableLinks(LinkFaultRates),
    /// The machine of a slot is replaced by one with an empty disk and another address.
    Replace(Replacement),
}

/// The members of a disk loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(NodeSet, NodeSet)", into = "(NodeSet, NodeSet)")]
pub struct DiskLoss {
    /// Those that lose their disks, and their power with them.
    pub disks: NodeSet,
    /// Those that lose power alone.
    pub power_only: NodeSet,
}
stored_as_array!(DiskLoss(disks: NodeSet, power_only: NodeSet));

/// One direction between two members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(usize, usize)", into = "(usize, usize)")]
pub struct Link {
    /// The sender.
    pub from: usize,
    /// The receiver.
    pub to: usize,
}
stored_as_array!(Link(from: usize, to: usize));

/// A router and the members that it cannot reach, in either direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(usize, NodeSet)", into = "(usize, NodeSet)")]
pub struct RouterPartition {
    /// The router.
    pub router: usize,
    /// The members.
    pub members: NodeSet,
}
stored_as_array!(RouterPartition(router: usize, members: NodeSet));

/// Members whose disks are slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(NodeSet, u64)", into = "(NodeSet, u64)")]
pub struct SlowDisk {
    /// The members.
    pub members: NodeSet,
    /// The time of a write.
    pub write_ms: u64,
}
stored_as_array!(SlowDisk(members: NodeSet, write_ms: u64));

/// How unreliable links are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64)", into = "(u64, u64, u64)")]
pub struct LinkFaultRates {
    /// The percentage of messages that are lost.
    pub lost_percent: u64,
    /// The percentage of messages that arrive twice.
    pub duplicated_percent: u64,
    /// The percentage of messages that are delayed beyond later ones.
    pub reordered_percent: u64,
}
stored_as_array!(LinkFaultRates(lost_percent: u64, duplicated_percent: u64, reordered_percent: u64));

/// The replacement of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(usize, ReplacementKind)", into = "(usize, ReplacementKind)")]
pub struct Replacement {
    /// The slot whose machine is replaced.
    pub slot: usize,
    /// In which order the two machines come and go.
    pub kind: ReplacementKind,
}
stored_as_array!(Replacement(slot: usize, kind: ReplacementKind));

/// In which order a machine and its replacement come and go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::EnumIter)]
pub enum ReplacementKind {
    /// The machine fails without notice, and its replacement starts later.
    #[serde(rename = "Gone")] // wire name
    Failed,
    /// The replacement starts first, then the machine gets a shutdown signal.
    Planned,
    /// The machine is partitioned from all others, its replacement starts, and later the machine comes back with its disk.
    #[serde(rename = "Returns")] // wire name
    Partitioned,
}
