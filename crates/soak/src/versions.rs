//! Versions of a service's upstreams, and the faults of bad ones.

use crate::checks::VersionQuality;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::Rng;
use skylarkshed_stand_ins::{FaultEffect, ReceivedRequest, VersionFault, MODEL_SERVICE};
use std::sync::atomic::{AtomicUsize, Ordering};

/// The effects of bad versions.
const EFFECTS: [FaultEffect; 3] = [
    FaultEffect::Slow(5),
    FaultEffect::Failing(30),
    FaultEffect::Failing(100),
];
/// The requests that a version serves well before it turns bad.
const GOOD_REQUESTS: std::ops::Range<usize> = 5..30;
/// The route on which a version of the engines may be bad.
const SINGLE_ROUTE: &str = "/note/";

/// A version of a service's upstreams.
#[derive(Debug)]
pub(crate) struct UpstreamVersion {
    pub(crate) name: String,
    pub(crate) fault: Option<VersionFault>,
    /// The requests so far, of all upstreams.
    requests: AtomicUsize,
}

impl UpstreamVersion {
    pub(crate) fn new(name: String, fault: Option<VersionFault>) -> Self {
        UpstreamVersion {
            name,
            fault,
            requests: AtomicUsize::new(0),
        }
    }

    /// Counts a request; returns what the version's fault does to it.
    pub(crate) fn effect_on(&self, request: &ReceivedRequest) -> Option<FaultEffect> {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let fault = self.fault.as_ref()?;
        let path = request.request_line.split(' ').nth(1)?;
        let is_affected = fault.requests.contains(&number) && path.starts_with(fault.path_prefix);
        is_affected.then_some(fault.effect)
    }
}

/// Draws whether a version is good, and the fault of one that isn't.
pub(crate) fn draw_fault(
    service: &str,
    rng: &mut SmallRng,
) -> (VersionQuality, Option<VersionFault>) {
    let effect = *EFFECTS.choose(rng).expect("there are some");
    let fault = VersionFault::new(effect);
    match rng.random_range(0..4) {
        0 => (VersionQuality::Good, None),
        1 => {
            let later = fault.after(rng.random_range(GOOD_REQUESTS));
            (VersionQuality::BadLater, Some(later))
        }
        2 if service == MODEL_SERVICE => (VersionQuality::Bad, Some(fault.on_route(SINGLE_ROUTE))),
        _ => (VersionQuality::Bad, Some(fault)),
    }
}
