//! A simulated disk of records: writes are queued, the queue is written and synced as one block, and after a crash the block in
//! progress is present as a whole or absent, as its checksum ensures on a real disk.

use std::collections::VecDeque;

use ivyhatch_control::storage::durable_state::DurableState;
use ivyhatch_control::{Record, WriteToken};

/// A machine's disk and the writes of its process.
#[derive(Debug, Default)]
pub struct Disk {
    stored: DurableState,
    queue: VecDeque<(WriteToken, Vec<Record>)>,
    block_in_progress: Vec<(WriteToken, Vec<Record>)>,
}

/// What becomes of the block in progress when the process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockOutcome {
    /// It reached the disk, though no completion was reported.
    Durable,
    /// It is absent or torn, and so discarded.
    Lost,
}

impl Disk {
    /// The durable records.
    pub fn stored(&self) -> &DurableState {
        &self.stored
    }

    /// Queues a write.
    pub fn enqueue(&mut self, token: WriteToken, records: Vec<Record>) {
        self.queue.push_back((token, records));
    }

    /// Starts to write the whole queue as one block. Returns whether a write has started: false where one is in progress or the
    /// queue is empty.
    pub fn start_write(&mut self) -> bool {
        if !self.block_in_progress.is_empty() || self.queue.is_empty() {
            return false;
        }
        self.block_in_progress.extend(self.queue.drain(..));
        true
    }

    /// Makes the block in progress durable. Returns the tokens of its writes.
    pub fn complete_write(&mut self) -> Vec<WriteToken> {
        let block = std::mem::take(&mut self.block_in_progress);
        let mut tokens = Vec::with_capacity(block.len());
        for (token, records) in block {
            records.into_iter().for_each(|record| self.stored.apply(record));
            tokens.push(token);
        }
        tokens
    }

    /// Ends the process: its queue is lost, and the block in progress is durable or lost.
    pub fn crash(&mut self, fate: BlockOutcome) {
        self.queue.clear();
        match fate {
            BlockOutcome::Durable => drop(self.complete_write()),
            BlockOutcome::Lost => self.block_in_progress.clear(),
        }
    }

    /// Replaces the disk by an empty one.
    pub fn wipe(&mut self) {
        *self = Self::default();
    }
}
