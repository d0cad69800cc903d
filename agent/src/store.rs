//! What was asked, by whom, at which revision: durable before it is acknowledged. One store, one writer; each command is
//! one transaction, so that a crash leaves it done or not there.

use std::collections::BTreeMap;
use std::path::Path;

use redb::{
    Database, ReadableDatabase, ReadableTable, ReadableTableMetadata, StorageBackend, TableDefinition,
};
use serde::{Deserialize, Serialize};

use crate::instance::Wanted;

const DESIRED: TableDefinition<&str, &str> = TableDefinition::new("desired");
const COMMANDS: TableDefinition<&str, &str> = TableDefinition::new("commands");
/// By the revision, or for refusals by the number of lines before: one line for every command.
const AUDIT: TableDefinition<u64, &str> = TableDefinition::new("audit");
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const REVISION: &str = "revision";

/// What is changed of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Change {
    /// Its name.
    pub instance: String,
    /// What it is to be.
    pub wanted: Wanted,
}

/// A command as it comes in.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Command {
    /// Made up by who asks. The same id again is the same command again, and gets the same outcome.
    pub id: String,
    /// Who asks.
    pub by: String,
    /// The revision that it was made against: what changed the same instances since is in conflict with it.
    pub against: u64,
    /// What is asked.
    pub changes: Vec<Change>,
    /// When, in milliseconds since 1970, by the agent's calendar. For people only: nothing is decided by it.
    pub at_unix_ms: u64,
}

/// What is wanted of an instance, and since which command.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Entry {
    /// What.
    pub wanted: Wanted,
    /// The revision that wanted it last.
    pub revision: u64,
    /// The command's id.
    pub command: String,
    /// Who gave it.
    pub by: String,
}

/// All that is wanted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Desired {
    /// Counts the commands that were taken.
    pub revision: u64,
    /// By instance.
    pub instances: BTreeMap<String, Entry>,
}

/// Why a command is not taken.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// Another command got there first and wants something else.
    Conflict {
        /// Of which instance.
        instance: String,
        /// What that one wants, and whose it is.
        other: Entry,
    },
    /// It was made against a revision that there has not been yet: another store's.
    Ahead {
        /// The revision that there is.
        revision: u64,
    },
    /// The id was another command's.
    IdTaken {
        /// Who gave that one.
        by: String,
    },
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Taken, at this revision. It is on disk.
    Done {
        /// Which.
        revision: u64,
    },
    /// Not taken; nothing has changed.
    Refused(Refusal),
}

/// A line of the audit.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Written {
    /// What was asked.
    pub command: Command,
    /// What became of it.
    pub outcome: Outcome,
}

/// Why the store can't do it. What was acknowledged before is there all the same.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The file, or the disk.
    #[error("the record of what was asked: {0}; nothing was changed")]
    Storage(#[from] redb::Error),
    /// What stands there is not this program's.
    #[error("the record of what was asked can't be understood: {0}")]
    Foreign(#[from] serde_json::Error),
}

macro_rules! from_redb {
    ($($error:ident),*) => {$(
        impl From<redb::$error> for StoreError {
            fn from(error: redb::$error) -> Self {
                Self::Storage(error.into())
            }
        }
    )*};
}
from_redb!(DatabaseError, TransactionError, TableError, StorageError, CommitError);

/// The store.
pub struct Store(Database);

impl Store {
    /// Opens the store in a file, which is made where there is none. After a crash it is as it was after the last command
    /// that was acknowledged, or with the one more that was being written.
    ///
    /// # Errors
    /// Where the file can't be used, or another process has it open.
    pub fn open(path: &Path) -> Result<Self, StoreError> {
        Self::prepare(Database::create(path)?)
    }

    /// The same on another storage.
    ///
    /// # Errors
    /// As `open`.
    pub fn on(backend: impl StorageBackend) -> Result<Self, StoreError> {
        Self::prepare(Database::builder().create_with_backend(backend)?)
    }

    fn prepare(database: Database) -> Result<Self, StoreError> {
        let transaction = database.begin_write()?;
        transaction.open_table(DESIRED)?;
        transaction.open_table(COMMANDS)?;
        transaction.open_table(AUDIT)?;
        transaction.open_table(META)?;
        transaction.commit()?;
        Ok(Self(database))
    }

    /// Decides a command and writes down what becomes of it. When this returns it is on disk.
    ///
    /// # Errors
    /// Where the disk takes nothing. The command is then not done, and may be given again with its id.
    pub fn apply(&self, command: &Command) -> Result<Outcome, StoreError> {
        let transaction = self.0.begin_write()?;
        let outcome = {
            let mut commands = transaction.open_table(COMMANDS)?;
            if let Some(before) = commands.get(command.id.as_str())? {
                let before: Written = serde_json::from_str(before.value())?;
                // The time is the agent's, and another one when the command comes again.
                let again = Command { at_unix_ms: before.command.at_unix_ms, ..command.clone() };
                return Ok(match again == before.command {
                    true => before.outcome,
                    false => Outcome::Refused(Refusal::IdTaken { by: before.command.by }),
                });
            }
            let mut meta = transaction.open_table(META)?;
            let mut desired = transaction.open_table(DESIRED)?;
            let revision = meta.get(REVISION)?.map_or(0, |revision| revision.value());
            let outcome = match refusal(command, revision, &desired)? {
                Some(refusal) => Outcome::Refused(refusal),
                None => {
                    let revision = revision + 1;
                    meta.insert(REVISION, revision)?;
                    for Change { instance, wanted } in &command.changes {
                        let (command, by) = (command.id.clone(), command.by.clone());
                        let entry = Entry { wanted: *wanted, revision, command, by };
                        desired.insert(instance.as_str(), serde_json::to_string(&entry)?.as_str())?;
                    }
                    Outcome::Done { revision }
                }
            };
            let line = Written { command: command.clone(), outcome: outcome.clone() };
            let line = serde_json::to_string(&line)?;
            commands.insert(command.id.as_str(), line.as_str())?;
            let mut audit = transaction.open_table(AUDIT)?;
            let number = audit.len()?;
            audit.insert(number, line.as_str())?;
            outcome
        };
        transaction.commit()?;
        Ok(outcome)
    }

    /// How many commands were taken.
    ///
    /// # Errors
    /// Where the file can't be read.
    pub fn revision(&self) -> Result<u64, StoreError> {
        let transaction = self.0.begin_read()?;
        Ok(transaction.open_table(META)?.get(REVISION)?.map_or(0, |revision| revision.value()))
    }

    /// What is wanted of one instance; none where nobody has asked yet.
    ///
    /// # Errors
    /// Where the file can't be read.
    pub fn entry(&self, instance: &str) -> Result<Option<Entry>, StoreError> {
        let transaction = self.0.begin_read()?;
        let entry = transaction.open_table(DESIRED)?.get(instance)?;
        Ok(entry.map(|entry| serde_json::from_str(entry.value())).transpose()?)
    }

    /// All that is wanted now.
    ///
    /// # Errors
    /// Where the file can't be read.
    pub fn desired(&self) -> Result<Desired, StoreError> {
        let transaction = self.0.begin_read()?;
        let revision = transaction.open_table(META)?.get(REVISION)?.map_or(0, |revision| revision.value());
        let mut instances = BTreeMap::new();
        for entry in transaction.open_table(DESIRED)?.iter()? {
            let (name, entry) = entry?;
            instances.insert(name.value().to_owned(), serde_json::from_str(entry.value())?);
        }
        Ok(Desired { revision, instances })
    }

    /// Every command since the first, or since this many, in the order in which they were decided.
    ///
    /// # Errors
    /// Where the file can't be read.
    pub fn audit(&self, from: u64) -> Result<Vec<Written>, StoreError> {
        let transaction = self.0.begin_read()?;
        let lines = transaction.open_table(AUDIT)?;
        let lines = lines.range(from..)?;
        lines.map(|line| Ok(serde_json::from_str(line?.1.value())?)).collect()
    }
}

fn refusal(
    command: &Command,
    revision: u64,
    desired: &impl ReadableTable<&'static str, &'static str>,
) -> Result<Option<Refusal>, StoreError> {
    if command.against > revision {
        return Ok(Some(Refusal::Ahead { revision }));
    }
    for Change { instance, wanted } in &command.changes {
        let Some(entry) = desired.get(instance.as_str())? else { continue };
        let other: Entry = serde_json::from_str(entry.value())?;
        // Two who want the same are of one mind, whoever came first.
        if other.revision > command.against && other.wanted != *wanted {
            return Ok(Some(Refusal::Conflict { instance: instance.clone(), other }));
        }
    }
    Ok(None)
}
