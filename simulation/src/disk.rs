//! A disk, at the level of records: writes stand in a queue, what has gathered is written and synced as one block, and a block is
//! there whole or not at all, as its checksum has it.

use std::collections::VecDeque;

use ivyhatch_control::durable_state::DurableState;
use ivyhatch_control::{Record, WriteToken};

/// A machine's disk, and the process's writes to it.
#[derive(Debug, Default)]
pub struct Disk {
    stored: DurableState,
    queue: VecDeque<(WriteToken, Vec<Record>)>,
    block: Vec<(WriteToken, Vec<Record>)>,
}

impl Disk {
    /// What it holds.
    pub fn stored(&self) -> &DurableState {
        &self.stored
    }

    /// A write is asked for.
    pub fn write(&mut self, token: WriteToken, records: Vec<Record>) {
        self.queue.push_back((token, records));
    }

    /// Begins to write what has gathered, unless a block is being written or there is nothing. Whether it has begun.
    pub fn begin(&mut self) -> bool {
        if !self.block.is_empty() || self.queue.is_empty() {
            return false;
        }
        self.block.extend(self.queue.drain(..));
        true
    }

    /// The block that is being written is on the disk; these writes have ended.
    pub fn end(&mut self) -> Vec<WriteToken> {
        let block = std::mem::take(&mut self.block);
        let mut tokens = Vec::with_capacity(block.len());
        for (token, records) in block {
            records.into_iter().for_each(|record| self.stored.apply(record));
            tokens.push(token);
        }
        tokens
    }

    /// The process ends, by a kill or without power. Of the block that was being written nothing was told: it is `present`, or it
    /// is absent or torn and so cut off.
    pub fn cut_short(&mut self, present: bool) {
        self.queue.clear();
        if present {
            drop(self.end());
        }
        self.block.clear();
    }

    /// It is lost, and an empty one takes its place.
    pub fn wipe(&mut self) {
        *self = Self::default();
    }
}
