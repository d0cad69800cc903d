//! A reference-counted value that is encoded like the value itself.

use std::ops::Deref;
use std::sync::Arc;

use speedy::{Context, Readable, Reader, Writable, Writer};

/// A reference-counted part of a message, for large parts. Clones share one allocation, so that a message to many
/// watchers is held in memory once, and a sender can encode the message once.
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct Shared<T>(Arc<T>);

impl<T> Shared<T> {
    /// Whether `self` and `other` are clones that share one allocation. Cheaper than comparing the values.
    pub fn ptr_eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

impl<T: Clone> Shared<T> {
    /// Returns the value. The value is copied only if other clones exist.
    pub fn into_inner(self) -> T {
        Arc::unwrap_or_clone(self.0)
    }
}

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T: Default> Default for Shared<T> {
    fn default() -> Self {
        Self::from(T::default())
    }
}

impl<T> From<T> for Shared<T> {
    fn from(value: T) -> Self {
        Self(Arc::new(value))
    }
}

impl<T> Deref for Shared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.0
    }
}

impl<'a, C: Context, T: Readable<'a, C>> Readable<'a, C> for Shared<T> {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        T::read_from(reader).map(Self::from)
    }

    fn minimum_bytes_needed() -> usize {
        T::minimum_bytes_needed()
    }
}

impl<C: Context, T: Writable<C>> Writable<C> for Shared<T> {
    fn write_to<W: ?Sized + Writer<C>>(&self, writer: &mut W) -> Result<(), C::Error> {
        self.0.write_to(writer)
    }

    fn bytes_needed(&self) -> Result<usize, C::Error> {
        self.0.bytes_needed()
    }
}
