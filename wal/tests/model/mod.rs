//! An in-memory disk that implements the crash model of `ivyhatch_wal`: it enumerates all states of the disk that a
//! power loss may leave, and injects a crash or an error at any operation.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::path::PathBuf;
use std::rc::Rc;

use ivyhatch_wal::Storage;

/// A change of a file since its last sync.
#[derive(Clone, Debug)]
enum Pending {
    Write { offset: usize, bytes: Vec<u8> },
    Truncate { length: usize },
}

impl Pending {
    fn apply(&self, bytes: &mut Vec<u8>) {
        match self {
            Self::Write { offset, bytes: written } => {
                let end = offset + written.len();
                if bytes.len() < end {
                    bytes.resize(end, 0);
                }
                bytes[*offset..end].copy_from_slice(written);
            }
            Self::Truncate { length } => bytes.truncate(*length),
        }
    }

    /// The parts of the change that a power loss may leave: nothing, all, its first half, or its first half followed
    /// by zeros.
    fn outcomes(&self) -> Vec<Option<Pending>> {
        let mut outcomes = vec![None, Some(self.clone())];
        if let Self::Write { offset, bytes } = self {
            let half = bytes.len() / 2;
            outcomes.push(Some(Self::Write { offset: *offset, bytes: bytes[..half].to_vec() }));
            let mut hole = bytes.clone();
            hole[half..].fill(0);
            outcomes.push(Some(Self::Write { offset: *offset, bytes: hole }));
        }
        outcomes
    }
}

#[derive(Clone, Debug, Default)]
struct Inode {
    durable: Vec<u8>,
    pending: Vec<Pending>,
}

impl Inode {
    fn bytes(&self) -> Vec<u8> {
        let mut bytes = self.durable.clone();
        self.pending.iter().for_each(|pending| pending.apply(&mut bytes));
        bytes
    }

    /// All contents of the file that a power loss may leave.
    fn after_power_loss(&self) -> Vec<Vec<u8>> {
        let mut contents = vec![self.durable.clone()];
        for pending in &self.pending {
            let outcomes = pending.outcomes();
            contents = contents
                .into_iter()
                .flat_map(|bytes| {
                    outcomes.iter().map(move |outcome| {
                        let mut bytes = bytes.clone();
                        if let Some(outcome) = outcome {
                            outcome.apply(&mut bytes);
                        }
                        bytes
                    })
                })
                .collect();
        }
        contents.sort();
        contents.dedup();
        contents
    }
}

type Names = BTreeMap<String, usize>;

#[derive(Clone, Debug, Default)]
struct Files {
    inodes: Vec<Inode>,
    names: Names,
    durable_names: Names,
}

impl Files {
    fn used(&self) -> usize {
        self.names.values().map(|inode| self.inodes[*inode].bytes().len()).sum()
    }

    /// All sets of names that a power loss may leave: each changed name is kept or lost independently.
    fn names_after_power_loss(&self) -> Vec<Names> {
        let mut all = vec![Names::new()];
        let keys = self.names.keys().chain(self.durable_names.keys());
        for name in keys.collect::<std::collections::BTreeSet<_>>() {
            let mut choices = vec![self.names.get(name).copied(), self.durable_names.get(name).copied()];
            choices.dedup();
            all = all
                .into_iter()
                .flat_map(|names| {
                    choices.iter().map(move |choice| {
                        let mut names = names.clone();
                        if let Some(inode) = choice {
                            names.insert(name.clone(), *inode);
                        }
                        names
                    })
                })
                .collect();
        }
        all
    }
}

/// An injected fault.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The process is killed within this operation, counted from 0.
    CrashAt(usize),
    /// This operation fails after taking partial effect.
    FailAt(usize, ErrorKind),
    /// The operations from the first number up to, but not including, the second fail without any effect.
    FailFrom(usize, usize, ErrorKind),
}

#[derive(Debug, Default)]
struct Model {
    files: RefCell<Files>,
    operations: Cell<usize>,
    fault: Cell<Option<Fault>>,
    capacity: Cell<Option<usize>>,
}

/// An in-memory disk. Clones share one disk.
#[derive(Clone, Debug, Default)]
pub struct ModelDisk(Rc<Model>);

/// How much of an operation takes effect.
enum Effect {
    Full,
    /// The operation takes partial effect and fails with this error.
    Partial(ErrorKind),
    /// The operation takes no effect and fails with this error.
    None(ErrorKind),
}

impl ModelDisk {
    fn of(files: Files) -> Self {
        Self(Rc::new(Model { files: RefCell::new(files), ..Model::default() }))
    }

    pub fn with_fault(fault: Fault) -> Self {
        let disk = Self::default();
        disk.0.fault.set(Some(fault));
        disk
    }

    /// Limits the total length of all files, in bytes.
    pub fn set_capacity(&self, bytes: Option<usize>) {
        self.0.capacity.set(bytes);
    }

    pub fn operations(&self) -> usize {
        self.0.operations.get()
    }

    pub fn used(&self) -> usize {
        self.0.files.borrow().used()
    }

    pub fn file_names(&self) -> Vec<String> {
        self.0.files.borrow().names.keys().cloned().collect()
    }

    /// The disk that the next process finds after this process was killed.
    pub fn after_kill(&self) -> Self {
        Self::of(self.0.files.borrow().clone())
    }

    /// All states of the disk that a power loss may leave.
    pub fn after_power_loss(&self) -> Vec<Self> {
        let files = self.0.files.borrow();
        let contents: Vec<Vec<Vec<u8>>> = files.inodes.iter().map(Inode::after_power_loss).collect();
        let mut disks = Vec::new();
        for names in files.names_after_power_loss() {
            let mut inodes: Vec<Vec<Inode>> = vec![Vec::new()];
            for (number, choices) in contents.iter().enumerate() {
                // The contents of a file without a name don't matter, so only one of them is kept.
                let count = if names.values().any(|inode| *inode == number) { choices.len() } else { 1 };
                inodes = inodes
                    .into_iter()
                    .flat_map(|made| {
                        choices[..count].iter().map(move |durable| {
                            let mut made = made.clone();
                            made.push(Inode { durable: durable.clone(), pending: Vec::new() });
                            made
                        })
                    })
                    .collect();
            }
            for inodes in inodes {
                let durable_names = names.clone();
                disks.push(Self::of(Files { inodes, names: names.clone(), durable_names }));
            }
        }
        disks
    }

    fn next_effect(&self) -> Effect {
        let number = self.0.operations.get();
        self.0.operations.set(number + 1);
        match self.0.fault.get() {
            Some(Fault::CrashAt(at)) if number == at => Effect::Partial(ErrorKind::Other),
            Some(Fault::CrashAt(at)) if number > at => Effect::None(ErrorKind::Other),
            Some(Fault::FailAt(at, kind)) if number == at => Effect::Partial(kind),
            Some(Fault::FailFrom(from, to, kind)) if (from..to).contains(&number) => Effect::None(kind),
            _ => Effect::Full,
        }
    }

    /// Runs an operation that may take effect even if it fails.
    fn run_partially<T>(&self, operation: impl FnOnce(&mut Files) -> T) -> io::Result<T> {
        match self.next_effect() {
            Effect::Full => Ok(operation(&mut self.0.files.borrow_mut())),
            Effect::Partial(kind) => {
                operation(&mut self.0.files.borrow_mut());
                Err(kind.into())
            }
            Effect::None(kind) => Err(kind.into()),
        }
    }

    /// Runs an operation that takes no effect if it fails.
    fn run_atomically<T>(&self, operation: impl FnOnce(&mut Files) -> T) -> io::Result<T> {
        match self.next_effect() {
            Effect::Full => Ok(operation(&mut self.0.files.borrow_mut())),
            Effect::Partial(kind) | Effect::None(kind) => Err(kind.into()),
        }
    }
}

impl Storage for ModelDisk {
    type File = usize;

    fn path(&self, name: &str) -> PathBuf {
        PathBuf::from("/model").join(name)
    }

    fn create_directory(&self) -> io::Result<()> {
        Ok(())
    }

    fn open(&self, name: &str) -> io::Result<Option<usize>> {
        self.run_atomically(|files| files.names.get(name).copied())
    }

    fn create(&self, name: &str) -> io::Result<usize> {
        self.run_partially(|files| {
            files.inodes.push(Inode::default());
            let inode = files.inodes.len() - 1;
            files.names.insert(name.to_owned(), inode);
            inode
        })
    }

    fn read(&self, file: &mut usize) -> io::Result<Vec<u8>> {
        self.run_atomically(|files| files.inodes[*file].bytes())
    }

    fn write(&self, file: &mut usize, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let offset = offset as usize;
        let written = match self.next_effect() {
            Effect::Full => Ok(bytes.len()),
            Effect::Partial(kind) => Err((bytes.len() / 2, kind)),
            Effect::None(kind) => Err((0, kind)),
        };
        let mut files = self.0.files.borrow_mut();
        let free = self.0.capacity.get().map_or(usize::MAX, |capacity| capacity.saturating_sub(files.used()));
        let (length, result) = match written {
            Ok(length) if length > free => (free, Err(ErrorKind::StorageFull.into())),
            Ok(length) => (length, Ok(())),
            Err((length, kind)) => (length.min(free), Err(kind.into())),
        };
        if length > 0 {
            files.inodes[*file].pending.push(Pending::Write { offset, bytes: bytes[..length].to_vec() });
        }
        result
    }

    fn truncate(&self, file: &mut usize, length: u64) -> io::Result<()> {
        let length = length as usize;
        self.run_partially(|files| files.inodes[*file].pending.push(Pending::Truncate { length }))
    }

    fn sync(&self, file: &mut usize) -> io::Result<()> {
        self.run_atomically(|files| {
            let inode = &mut files.inodes[*file];
            inode.durable = inode.bytes();
            inode.pending.clear();
        })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.run_partially(|files| {
            if let Some(inode) = files.names.remove(from) {
                files.names.insert(to.to_owned(), inode);
            }
        })
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.run_partially(|files| {
            files.names.remove(name);
        })
    }

    fn exists(&self, name: &str) -> io::Result<bool> {
        self.run_atomically(|files| files.names.contains_key(name))
    }

    fn sync_directory(&self) -> io::Result<()> {
        self.run_atomically(|files| files.durable_names = files.names.clone())
    }
}
