//! The bound on repeated sends, over all VMs.

use super::totals::total;
use super::World;
use crate::bounds::{RetryBound, RETRY_WINDOW};
use crate::records::{RequestStory, Violation};
use skylarkshed_core::ClockTime;
use std::collections::BTreeMap;

/// The window of a service that used the largest part of the bound.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct RetryPeak {
    pub(crate) service: String,
    pub(crate) until: ClockTime,
    pub(crate) repeats: usize,
    pub(crate) allowed: usize,
}

impl RetryPeak {
    /// Returns the used part of the bound; above a million exactly if the bound is exceeded.
    fn used_millionths(&self) -> usize {
        (self.repeats + 1) * 1_000_000 / (self.allowed + 1)
    }
}

#[derive(Default)]
struct ServiceArrivals {
    /// The first arrivals of requests.
    firsts: Vec<ClockTime>,
    repeats: Vec<ClockTime>,
}

/// In any window, a service gets no more arrivals beyond the first of each request than the
/// settings allow of the requests of that window, of the one before it or of the one half a
/// window before it, whichever has most. Arrivals at all upstreams by way of all VMs count,
/// also those that an upstream rejects.
pub(super) fn check(stories: &[&RequestStory], world: &World, found: &mut Vec<Violation>) {
    for peak in find_peaks(stories, world.retry_bound) {
        if peak.repeats > peak.allowed {
            let (repeats, allowed, service) = (peak.repeats, peak.allowed, peak.service);
            let until_ms = peak.until.as_millis();
            let detail = format!("{repeats} of {allowed} for {service} up to {until_ms} ms");
            found.push(total("retry budget", detail));
        }
    }
}

/// Returns the peak of each service that got repeated sends.
pub(crate) fn find_peaks(stories: &[&RequestStory], bound: RetryBound) -> Vec<RetryPeak> {
    let mut services: BTreeMap<&str, ServiceArrivals> = BTreeMap::new();
    for story in stories {
        for (number, arrival) in story.arrivals.iter().enumerate() {
            let arrivals = services.entry(&arrival.service).or_default();
            match number {
                0 => arrivals.firsts.push(arrival.at),
                _ => arrivals.repeats.push(arrival.at),
            }
        }
    }
    let services = services.into_iter();
    let peaks = services.filter_map(|(service, mut arrivals)| {
        arrivals.firsts.sort_unstable();
        arrivals.repeats.sort_unstable();
        arrivals.find_peak(service, bound)
    });
    peaks.collect()
}

impl ServiceArrivals {
    /// Looks at the windows that end with a repeated send or begin just after a request.
    fn find_peak(&self, service: &str, bound: RetryBound) -> Option<RetryPeak> {
        let after_requests = self.firsts.iter().map(|at| *at + RETRY_WINDOW);
        let ends = self.repeats.iter().copied().chain(after_requests);
        let peaks = ends.map(|until| RetryPeak {
            service: service.to_owned(),
            until,
            repeats: count(&self.repeats, until),
            allowed: bound.allowed(self.counted_requests(until)),
        });
        let peaks = peaks.filter(|peak| peak.repeats > 0);
        peaks.max_by_key(RetryPeak::used_millionths)
    }
}

impl ServiceArrivals {
    /// Returns the requests that count for the window that ends at `until`.
    fn counted_requests(&self, until: ClockTime) -> usize {
        let half_window = ClockTime::from_millis(RETRY_WINDOW.as_millis() / 2);
        let earlier = [ClockTime::ZERO, half_window, RETRY_WINDOW];
        let counts = earlier.map(|by| count(&self.firsts, until.since(by)));
        counts.into_iter().max().unwrap_or(0)
    }
}

/// Returns how many of the sorted times are in the window that ends at `until`.
fn count(times: &[ClockTime], until: ClockTime) -> usize {
    // The first window begins with the soak.
    let before = match until > RETRY_WINDOW {
        true => times.partition_point(|at| *at <= until.since(RETRY_WINDOW)),
        false => 0,
    };
    times.partition_point(|at| *at <= until) - before
}
