//! The store's database. Each command is one transaction of a single writer, and is durable before it is acknowledged, so that after
//! a crash the command is applied completely or not at all.

use std::path::Path;

use redb::{
    Database, ReadTransaction, ReadableDatabase, ReadableTable, ReadableTableMetadata, StorageBackend,
    TableDefinition, WriteTransaction,
};

use super::records::{AuditRecord, Change, Command, DesiredEntry, DesiredStates, Outcome, Rejection};

/// Entries of desired states as JSON, by instance name.
const DESIRED: TableDefinition<&str, &str> = TableDefinition::new("desired");
/// Audit records as JSON, by command id. Detects repeated ids.
const COMMANDS: TableDefinition<&str, &str> = TableDefinition::new("commands");
/// Audit records as JSON, numbered from 0: one for each command id, also for rejected commands.
const AUDIT: TableDefinition<u64, &str> = TableDefinition::new("audit");
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
/// The key of the revision in [`META`].
const REVISION: &str = "revision";

/// Why an operation of the store fails. Commands acknowledged earlier are not affected.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The database reports an error: the file or the disk fails, or another process has the store open.
    #[error("command store: {0}; nothing was changed")]
    Storage(#[from] redb::Error),
    /// A stored record can't be decoded: this program has not written it.
    #[error("command store: a record can't be decoded: {0}")]
    MalformedRecord(#[from] serde_json::Error),
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

/// The durable store of an agent. Only one process at a time can have a store open.
pub struct Store(Database);

impl Store {
    /// Opens the store in a file, and creates the file if it is missing. After a crash the store has the state after the last
    /// acknowledged command, or after the command that was being written at the crash.
    ///
    /// # Errors
    /// If the file can't be used, or another process has it open.
    pub fn open(path: &Path) -> Result<Self, StoreError> {
        Self::create_tables(Database::create(path)?)
    }

    /// Opens the store on a storage backend in place of a file.
    ///
    /// # Errors
    /// As [`Store::open`].
    pub fn with_backend(backend: impl StorageBackend) -> Result<Self, StoreError> {
        Self::create_tables(Database::builder().create_with_backend(backend)?)
    }

    fn create_tables(database: Database) -> Result<Self, StoreError> {
        let transaction = database.begin_write()?;
        transaction.open_table(DESIRED)?;
        transaction.open_table(COMMANDS)?;
        transaction.open_table(AUDIT)?;
        transaction.open_table(META)?;
        transaction.commit()?;
        Ok(Self(database))
    }

    /// Applies or rejects a command. On return the outcome is on disk. A repeated command (same id and content) gets its first outcome
    /// and is not applied again.
    ///
    /// # Errors
    /// If the disk fails. The command is not applied then, and may be retried with the same id.
    pub fn apply(&self, command: &Command) -> Result<Outcome, StoreError> {
        let transaction = self.0.begin_write()?;
        if let Some(outcome) = earlier_outcome(&transaction, command)? {
            return Ok(outcome);
        }
        let outcome = match check(&transaction, command)? {
            Some(rejection) => Outcome::Rejected(rejection),
            None => Outcome::Applied { revision: write_changes(&transaction, command)? },
        };
        write_audit_record(&transaction, command, &outcome)?;
        transaction.commit()?;
        Ok(outcome)
    }

    /// The revision: the number of commands applied so far.
    ///
    /// # Errors
    /// Where the file can't be read.
    pub fn revision(&self) -> Result<u64, StoreError> {
        read_revision(&self.0.begin_read()?)
    }

    /// The desired state of one instance; `None` if no command has set it.
    ///
    /// # Errors
    /// Where the file can't be read.
    pub fn entry(&self, instance: &str) -> Result<Option<DesiredEntry>, StoreError> {
        let transaction = self.0.begin_read()?;
        let entry = transaction.open_table(DESIRED)?.get(instance)?;
        Ok(entry.map(|entry| serde_json::from_str(entry.value())).transpose()?)
    }

    /// All desired states that commands have set.
    ///
    /// # Errors
    /// Where the file can't be read.
    pub fn desired(&self) -> Result<DesiredStates, StoreError> {
        let transaction = self.0.begin_read()?;
        let mut desired =
            DesiredStates { revision: read_revision(&transaction)?, ..DesiredStates::default() };
        for entry in transaction.open_table(DESIRED)?.iter()? {
            let (name, entry) = entry?;
            desired.instances.insert(name.value().to_owned(), serde_json::from_str(entry.value())?);
        }
        Ok(desired)
    }

    /// The audit records with this number and higher ones, in the order in which the commands were applied or rejected.
    ///
    /// # Errors
    /// Where the file can't be read.
    pub fn audit(&self, from: u64) -> Result<Vec<AuditRecord>, StoreError> {
        let transaction = self.0.begin_read()?;
        let table = transaction.open_table(AUDIT)?;
        let records = table.range(from..)?;
        records.map(|record| Ok(serde_json::from_str(record?.1.value())?)).collect()
    }
}

fn read_revision(transaction: &ReadTransaction) -> Result<u64, StoreError> {
    Ok(transaction.open_table(META)?.get(REVISION)?.map_or(0, |revision| revision.value()))
}

/// The outcome for a command whose id has been used before, `None` for a new id. A repeated command gets its first outcome; another
/// command with the same id is rejected.
fn earlier_outcome(transaction: &WriteTransaction, command: &Command) -> Result<Option<Outcome>, StoreError> {
    let commands = transaction.open_table(COMMANDS)?;
    let Some(record) = commands.get(command.id.as_str())? else { return Ok(None) };
    let record: AuditRecord = serde_json::from_str(record.value())?;
    // The time is set by the agent and differs when a command is repeated, so it is left out of the comparison.
    let repeated = Command { at_unix_ms: record.command.at_unix_ms, ..command.clone() };
    if repeated == record.command {
        return Ok(Some(record.outcome));
    }
    let requested_by = record.command.requested_by;
    Ok(Some(Outcome::Rejected(Rejection::IdTaken { requested_by })))
}

/// Checks a command against the stored state; returns why it has to be rejected, or `None` if it can be applied.
fn check(transaction: &WriteTransaction, command: &Command) -> Result<Option<Rejection>, StoreError> {
    let meta = transaction.open_table(META)?;
    let revision = meta.get(REVISION)?.map_or(0, |revision| revision.value());
    if command.base_revision > revision {
        return Ok(Some(Rejection::UnknownBaseRevision { revision }));
    }
    let desired = transaction.open_table(DESIRED)?;
    for Change { instance, desired_state } in &command.changes {
        let Some(entry) = desired.get(instance.as_str())? else { continue };
        let other: DesiredEntry = serde_json::from_str(entry.value())?;
        // A later command that has set the same state is not a conflict.
        if other.revision > command.base_revision && other.desired_state != *desired_state {
            return Ok(Some(Rejection::Conflict { instance: instance.clone(), other }));
        }
    }
    Ok(None)
}

/// Writes the changes of a command under the next revision, and returns that revision.
fn write_changes(transaction: &WriteTransaction, command: &Command) -> Result<u64, StoreError> {
    let mut meta = transaction.open_table(META)?;
    let mut desired = transaction.open_table(DESIRED)?;
    let revision = 1 + meta.get(REVISION)?.map_or(0, |revision| revision.value());
    meta.insert(REVISION, revision)?;
    for change in &command.changes {
        let entry = DesiredEntry {
            desired_state: change.desired_state,
            revision,
            command: command.id.clone(),
            requested_by: command.requested_by.clone(),
        };
        desired.insert(change.instance.as_str(), serde_json::to_string(&entry)?.as_str())?;
    }
    Ok(revision)
}

fn write_audit_record(
    transaction: &WriteTransaction,
    command: &Command,
    outcome: &Outcome,
) -> Result<(), StoreError> {
    let record = AuditRecord { command: command.clone(), outcome: outcome.clone() };
    let json = serde_json::to_string(&record)?;
    transaction.open_table(COMMANDS)?.insert(command.id.as_str(), json.as_str())?;
    let mut audit = transaction.open_table(AUDIT)?;
    let number = audit.len()?;
    audit.insert(number, json.as_str())?;
    Ok(())
}
