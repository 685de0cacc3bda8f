//! What was seen of each service just before a rollout.

use skylarkshed_core::{ClockTime, ServiceName};
use skylarkshed_policy::{FailureKind, VersionSamples};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The samples are those of one to two periods of this length.
const PERIOD: ClockTime = ClockTime::from_millis(15_000);

#[derive(Debug, Default)]
struct RecentPeriods {
    began_at: ClockTime,
    current: VersionSamples,
    previous: VersionSamples,
}

/// The recent samples of all services without a rollout.
#[derive(Debug, Default)]
pub(super) struct RecentSamples {
    services: Mutex<HashMap<ServiceName, RecentPeriods>>,
}

impl RecentSamples {
    /// Records how a request ended; `first` is the time to its response or first event.
    pub(super) fn record_outcome(
        &self,
        service: &ServiceName,
        route: &str,
        now: ClockTime,
        first: Result<ClockTime, FailureKind>,
    ) {
        let mut services = self.lock();
        let samples = current(&mut services, service, now).route(route);
        match first {
            Ok(first) => samples.record_first(first),
            Err(kind) => samples.record_failure(kind),
        }
    }

    /// Records the median interval between events of a stream.
    pub(super) fn record_pace(
        &self,
        service: &ServiceName,
        route: &str,
        now: ClockTime,
        median: ClockTime,
    ) {
        let mut services = self.lock();
        let samples = current(&mut services, service, now).route(route);
        samples.pace.record(median);
    }

    /// Returns the recent samples of a service.
    pub(super) fn of_service(&self, service: &ServiceName, now: ClockTime) -> VersionSamples {
        let mut services = self.lock();
        let mut sum = current(&mut services, service, now).clone();
        if let Some(periods) = services.get(service) {
            sum.merge(&periods.previous);
        }
        sum
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceName, RecentPeriods>> {
        // The map is consistent between changes, so a poisoned lock is usable.
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the samples of the current period, and begins another if it is over.
fn current<'a>(
    services: &'a mut HashMap<ServiceName, RecentPeriods>,
    service: &ServiceName,
    now: ClockTime,
) -> &'a mut VersionSamples {
    let periods = services.entry(service.clone()).or_default();
    let age = now.since(periods.began_at);
    if age >= PERIOD {
        let ended = std::mem::take(&mut periods.current);
        periods.previous = match age >= PERIOD + PERIOD {
            true => VersionSamples::default(),
            false => ended,
        };
        periods.began_at = now;
    }
    &mut periods.current
}
