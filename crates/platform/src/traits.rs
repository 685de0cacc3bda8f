//! The interfaces through which the system uses the platform.

use crate::wire::{ScanRequest, TableRow, Transaction, TransactionReply, VmListing};
use std::future::Future;
use thiserror::Error;

/// Why a call to the platform failed.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum PlatformError {
    /// Nothing was sent, or the platform reported that it did nothing.
    #[error("the platform is unavailable: {0}")]
    Unavailable(String),
    /// The request was sent; a write in it may have taken effect.
    #[error("the platform's reply is missing: {0}")]
    ReplyLost(String),
    /// The reply has an unexpected status or can't be parsed; a write may have taken
    /// effect.
    #[error("the platform's reply is malformed: {0}")]
    Malformed(String),
}

/// A transactional table.
///
/// `transact` is atomic. A [`PlatformError::ReplyLost`] leaves open whether it
/// took effect; the caller reads the rows back to find out.
pub trait TableStore: Send + Sync {
    /// Writes rows if all conditions hold.
    fn transact(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<TransactionReply, PlatformError>> + Send;

    /// Reads one row.
    fn read(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<TableRow>, PlatformError>> + Send;

    /// Reads rows in key order.
    fn scan(
        &self,
        request: &ScanRequest,
    ) -> impl Future<Output = Result<Vec<TableRow>, PlatformError>> + Send;
}

/// An object store.
pub trait ObjectStore: Send + Sync {
    /// Writes an object, or replaces it.
    fn put(
        &self,
        key: &str,
        content: &str,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Reads an object.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<String>, PlatformError>> + Send;
}

/// The list of live and leaving VMs. It lags behind their actual state.
pub trait VmDirectory: Send + Sync {
    /// Returns the list.
    fn list(&self) -> impl Future<Output = Result<VmListing, PlatformError>> + Send;
}
