//! Shares the store's change feeds between VMs, and tracks which VMs there are.

mod feed_caches;
mod feed_reader;
mod peer_feed;
mod roster;

pub(crate) use feed_caches::FeedCaches;
pub(crate) use feed_reader::{FeedReader, FeedWaits};
pub(crate) use peer_feed::{confirm_contact, FeedHandler, REPLY_TIMEOUT};
pub(crate) use roster::{announce_vm, VmRoster};
