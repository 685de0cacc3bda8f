//! Limits the memory of all bodies together.

use bytes::Bytes;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The size of a share of the budget.
const SHARE_BYTES: usize = 1_024;
/// A buffer of this capacity needs no share, so that small ones are read whatever others take.
const FREE_BYTES: usize = 16 * 1_024;

/// The memory that bodies of a process may occupy at the same time.
#[derive(Clone, Debug)]
pub struct BodyBudget(Arc<Semaphore>);

impl BodyBudget {
    /// Creates a budget of this many bytes.
    pub fn new(bytes: usize) -> Self {
        BodyBudget(Arc::new(Semaphore::new(bytes / SHARE_BYTES)))
    }
}

/// The part of a budget that a body occupies.
#[derive(Debug)]
pub(crate) struct BodyReservation<'a> {
    budget: Option<&'a BodyBudget>,
    permit: Option<OwnedSemaphorePermit>,
    bytes: usize,
}

impl<'a> BodyReservation<'a> {
    pub(crate) fn new(budget: Option<&'a BodyBudget>) -> Self {
        BodyReservation {
            budget,
            permit: None,
            bytes: FREE_BYTES,
        }
    }

    /// Extends the reservation to a buffer of this capacity; false if the budget is exhausted.
    pub(crate) fn extend_to(&mut self, bytes: usize) -> bool {
        let Some(budget) = self.budget.filter(|_| bytes > self.bytes) else {
            return true;
        };
        let shares = (bytes - self.bytes).div_ceil(SHARE_BYTES);
        let wanted = u32::try_from(shares).unwrap_or(u32::MAX);
        let Ok(permit) = budget.0.clone().try_acquire_many_owned(wanted) else {
            return false;
        };
        match &mut self.permit {
            Some(held) => held.merge(permit),
            None => self.permit = Some(permit),
        }
        self.bytes += shares * SHARE_BYTES;
        true
    }

    /// Keeps the reservation for as long as the bytes are in use.
    pub(crate) fn attach_to(self, bytes: Bytes) -> Bytes {
        match self.permit {
            Some(permit) => Bytes::from_owner(ReservedBytes {
                bytes,
                _permit: permit,
            }),
            None => bytes,
        }
    }
}

struct ReservedBytes {
    bytes: Bytes,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
