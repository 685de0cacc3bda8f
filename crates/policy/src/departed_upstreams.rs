//! Remembers upstreams whose entries were removed.

use crate::heartbeat_estimate::HeartbeatEstimate;
use skylarkshed_core::{ClockTime, ServiceName, UpstreamName};
use std::collections::HashMap;

/// The number of removed upstreams that are remembered; a fleet replaces fewer in an hour.
const MAX_DEPARTED: usize = 4_096;

/// An upstream whose entry was removed.
#[derive(Clone, Debug)]
pub(crate) struct DepartedUpstream {
    pub(crate) service: ServiceName,
    pub(crate) started: ClockTime,
    pub(crate) was_leaving: bool,
    pub(crate) departed_at: ClockTime,
    /// Whether its entry was not removed but replaced by one that can't be read.
    pub(crate) is_overwritten: bool,
    pub(crate) heartbeats: Option<HeartbeatEstimate>,
}

/// The upstreams that were removed last, by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct DepartedUpstreams {
    upstreams: HashMap<UpstreamName, DepartedUpstream>,
}

impl DepartedUpstreams {
    /// Remembers an upstream.
    pub(crate) fn remember(&mut self, name: UpstreamName, departed: DepartedUpstream) {
        if self.upstreams.len() >= MAX_DEPARTED {
            self.forget_older_half();
        }
        self.upstreams.insert(name, departed);
    }

    /// Records that the store has no entry of an upstream.
    pub(crate) fn confirm(&mut self, name: &UpstreamName, now: ClockTime) {
        if let Some(departed) = self.upstreams.get_mut(name) {
            departed.departed_at = now;
            departed.is_overwritten = false;
        }
    }

    /// Returns what is remembered of an upstream.
    pub(crate) fn get(&self, name: &UpstreamName) -> Option<&DepartedUpstream> {
        self.upstreams.get(name)
    }

    /// Forgets an upstream that is listed again.
    pub(crate) fn take(&mut self, name: &UpstreamName) -> Option<DepartedUpstream> {
        self.upstreams.remove(name)
    }

    fn forget_older_half(&mut self) {
        let times = self.upstreams.values().map(|departed| departed.departed_at);
        let mut times: Vec<ClockTime> = times.collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.upstreams
            .retain(|_, departed| departed.departed_at > median);
    }
}
