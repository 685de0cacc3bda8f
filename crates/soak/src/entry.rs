//! The entries of the upstreams in the store.

use crate::upstreams::SoakUpstream;
use serde_json::json;
use skylarkshed_core::ClockTime;
use skylarkshed_stand_ins::{upstream_row, FakeStore};
use std::time::{SystemTime, UNIX_EPOCH};

/// The table of the upstreams.
pub(crate) const TABLE: &str = "servers";

/// Returns the wall clock's time in Unix milliseconds.
pub(crate) fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| ClockTime::from(elapsed).as_millis())
}

/// Writes the entry of an upstream in a state.
pub(crate) fn write_entry(upstream: &SoakUpstream, state: &str, store: &FakeStore) {
    let identity = &upstream.identity;
    let (service, zone) = (identity.service, &identity.zone);
    let version = &identity.version.name;
    let mut entry = upstream_row(service, upstream.link.address, zone, version, state);
    if let Some(born) = identity.born {
        entry["born"] = json!(born);
    }
    store.put(TABLE, &identity.name, &entry);
}
