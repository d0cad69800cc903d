//! A simulated disk of records. Writes are queued, and the queue is written and synced as one block. After a crash the block in
//! progress is either present as a whole or absent; on a real disk the block's checksum ensures this.

use std::collections::VecDeque;

use ivyhatch_control::storage::durable_state::DurableState;
use ivyhatch_control::{Record, WriteToken};

/// A machine's disk: the durable records, the queued writes and the block in progress.
#[derive(Debug, Default)]
pub struct Disk {
    stored: DurableState,
    queue: VecDeque<(WriteToken, Vec<Record>)>,
    block_in_progress: Vec<(WriteToken, Vec<Record>)>,
}

/// The state of the block in progress after the process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockOutcome {
    /// The block is durable, although no completion was reported.
    Durable,
    /// The block is absent or torn, and is therefore discarded.
    Lost,
}

impl Disk {
    /// The state that the durable records add up to.
    pub fn stored(&self) -> &DurableState {
        &self.stored
    }

    /// Queues a write. Its token is returned by [`Self::complete_write`] once the records are durable.
    pub fn enqueue(&mut self, token: WriteToken, records: Vec<Record>) {
        self.queue.push_back((token, records));
    }

    /// Starts to write the whole queue as one block. Returns false, without starting a write, if a write is in progress or the queue is
    /// empty.
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

    /// Handles the end of the process: the queue is lost, and the block in progress is durable or lost according to `fate`.
    pub fn crash(&mut self, fate: BlockOutcome) {
        self.queue.clear();
        match fate {
            BlockOutcome::Durable => drop(self.complete_write()),
            BlockOutcome::Lost => self.block_in_progress.clear(),
        }
    }

    /// Replaces the disk with an empty one. The queue and the block in progress are lost as well.
    pub fn wipe(&mut self) {
        *self = Self::default();
    }
}
