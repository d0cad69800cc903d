//! The faults of a plan and their triggers.

use serde::{Deserialize, Serialize};

/// Implements the conversions of a struct to and from the tuple of its fields, in the order of the field list. Recorded runs store such
/// a struct as a JSON array.
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

/// A set of member slots, stored as a bit mask: bit `n` is slot `n`.
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
    /// When the fault begins.
    #[serde(rename = "when")] // wire name
    pub trigger: FaultTrigger,
    /// The kind of fault, with the members or routers that it affects.
    #[serde(rename = "what")] // wire name
    pub fault: Fault,
    /// The duration in milliseconds; the fault ends no later than the plan's `faults_end_ms`.
    #[serde(rename = "for_ms")] // wire name
    pub duration_ms: u64,
}

/// When a fault begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FaultTrigger {
    /// At this virtual time, in milliseconds.
    At(u64),
    /// After a number of acknowledged changes.
    #[serde(rename = "Taken")] // wire name
    AfterAcknowledgements(AcknowledgementTrigger),
}

/// A trigger by the number of acknowledged changes, which are configurations and evacuations of operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct AcknowledgementTrigger {
    /// The number of acknowledged changes at which the trigger fires.
    pub count: u64,
    /// The time from the last of these acknowledgements to the fault, in milliseconds.
    pub delay_ms: u64,
}
stored_as_array!(AcknowledgementTrigger(count: u64, delay_ms: u64));

/// A kind of fault. Members and routers are numbered from 0. A member's number is its slot, which is independent of the machine that
/// currently holds the slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fault {
    /// The processes are killed; their disks are kept.
    Kill(NodeSet),
    /// The machines lose power: unsynced writes are lost, and peers detect the failure only by timeouts.
    #[serde(rename = "Power")] // wire name
    PowerLoss(NodeSet),
    /// Some machines lose their disks, and others lose power at the same time.
    #[serde(rename = "Wipe")] // wire name
    DiskLoss(DiskLoss),
    /// The processes are suspended, and resume when the fault ends.
    Freeze(NodeSet),
    /// All messages in one direction between two members are lost.
    #[serde(rename = "OneWay")] // wire name
    OneWayPartition(Link),
    /// The members are partitioned from all other machines.
    #[serde(rename = "Split")] // wire name
    Partition(NodeSet),
    /// A router is partitioned from some members.
    #[serde(rename = "Aside")] // wire name
    RouterPartition(RouterPartition),
    /// The process of this router is killed, and restarts when the fault ends.
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
    /// All links lose, duplicate and reorder messages at these rates.
    #[serde(rename = "Unruly")] // wire name
    UnreliableLinks(LinkFaultRates),
    /// The machine of a slot is replaced by one with an empty disk and another address.
    Replace(Replacement),
}

/// The members affected by a disk loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(NodeSet, NodeSet)", into = "(NodeSet, NodeSet)")]
pub struct DiskLoss {
    /// The members that lose their disks and their power.
    pub disks: NodeSet,
    /// The members that lose power but keep their disks.
    pub power_only: NodeSet,
}
stored_as_array!(DiskLoss(disks: NodeSet, power_only: NodeSet));

/// One direction of the link between two members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(usize, usize)", into = "(usize, usize)")]
pub struct Link {
    /// The slot of the sending member.
    pub from: usize,
    /// The slot of the receiving member.
    pub to: usize,
}
stored_as_array!(Link(from: usize, to: usize));

/// A router, and the members from which it is partitioned in both directions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(usize, NodeSet)", into = "(usize, NodeSet)")]
pub struct RouterPartition {
    /// The router's number.
    pub router: usize,
    /// The slots of the unreachable members.
    pub members: NodeSet,
}
stored_as_array!(RouterPartition(router: usize, members: NodeSet));

/// Members whose disks are slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(NodeSet, u64)", into = "(NodeSet, u64)")]
pub struct SlowDisk {
    /// The slots of the members.
    pub members: NodeSet,
    /// The minimum duration of a write, in milliseconds.
    pub write_ms: u64,
}
stored_as_array!(SlowDisk(members: NodeSet, write_ms: u64));

/// The fault rates of unreliable links.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64)", into = "(u64, u64, u64)")]
pub struct LinkFaultRates {
    /// The percentage of messages that are lost.
    pub lost_percent: u64,
    /// The percentage of messages that arrive twice.
    pub duplicated_percent: u64,
    /// The percentage of messages that are delayed, so that later ones may arrive first.
    pub reordered_percent: u64,
}
stored_as_array!(LinkFaultRates(lost_percent: u64, duplicated_percent: u64, reordered_percent: u64));

/// The replacement of the machine that holds a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(usize, ReplacementKind)", into = "(usize, ReplacementKind)")]
pub struct Replacement {
    /// The slot whose machine is replaced.
    pub slot: usize,
    /// The order in which the old machine stops and the new one starts.
    pub kind: ReplacementKind,
}
stored_as_array!(Replacement(slot: usize, kind: ReplacementKind));

/// The order in which a machine stops and its replacement starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::EnumIter)]
pub enum ReplacementKind {
    /// The machine fails permanently without a shutdown, and its replacement starts later.
    #[serde(rename = "Gone")] // wire name
    Failed,
    /// The replacement starts first, then the machine receives a shutdown signal.
    Planned,
    /// The machine is partitioned from all others, its replacement starts, and later the machine is reachable again with its disk.
    #[serde(rename = "Returns")] // wire name
    Partitioned,
}
