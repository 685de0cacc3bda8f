//! A fault that a version of a fake upstream has in its responses.

use super::received_request::ReceivedRequest;
use super::scripted_response::ScriptedResponse;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::time::Instant;

/// The seed of the choice which requests fail.
const FAULT_SEED: u64 = 27;

/// What a faulty version does with the requests that its fault affects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultEffect {
    /// Waits this many times as long: before a response, before the first event of a
    /// stream, and between its events.
    Slow(u32),
    /// Responds with status 500 to this percentage of the requests.
    Failing(u32),
}

/// A fault of a version.
///
/// # Examples
///
/// ```
/// use skylarkshed_stand_ins::{FaultEffect, VersionFault};
///
/// let fault = VersionFault::new(FaultEffect::Failing(50)).on_route("/draft/").after(10);
/// assert_eq!(fault.requests, 10..usize::MAX);
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionFault {
    /// What it does.
    pub effect: FaultEffect,
    /// The start of the paths that it affects.
    pub path_prefix: &'static str,
    /// The requests that it affects, in the order of their arrival since the fault was
    /// set, from 0.
    pub requests: Range<usize>,
}

impl VersionFault {
    /// Returns a fault that affects all requests.
    pub const fn new(effect: FaultEffect) -> Self {
        VersionFault {
            effect,
            path_prefix: "/",
            requests: 0..usize::MAX,
        }
    }

    /// Limits the fault to the paths with this prefix.
    pub const fn on_route(mut self, path_prefix: &'static str) -> Self {
        self.path_prefix = path_prefix;
        self
    }

    /// Lets this many requests pass before the fault begins.
    pub const fn after(mut self, requests: usize) -> Self {
        self.requests.start = requests;
        self
    }

    /// Ends the fault after this many requests.
    pub const fn until(mut self, requests: usize) -> Self {
        self.requests.end = requests;
        self
    }

    fn affects(&self, number: usize, request: &ReceivedRequest) -> bool {
        let path = request.request_line.split(' ').nth(1).unwrap_or("");
        self.requests.contains(&number) && path.starts_with(self.path_prefix)
    }
}

/// The fault of an upstream and what it has done.
#[derive(Debug)]
pub(super) struct FaultState {
    fault: Option<VersionFault>,
    request_count: usize,
    random: SmallRng,
    /// When the affected responses ended.
    pub(super) bad_response_times: Vec<Instant>,
}

impl Default for FaultState {
    fn default() -> Self {
        FaultState {
            fault: None,
            request_count: 0,
            random: SmallRng::seed_from_u64(FAULT_SEED),
            bad_response_times: Vec::new(),
        }
    }
}

impl FaultState {
    pub(super) fn set(&mut self, fault: Option<VersionFault>) {
        self.fault = fault;
        self.request_count = 0;
    }

    /// Returns the response that the faulty version sends in place of a sound one, and
    /// whether the two differ.
    pub(super) fn apply(
        &mut self,
        request: &ReceivedRequest,
        response: ScriptedResponse,
    ) -> (ScriptedResponse, bool) {
        let number = self.request_count;
        self.request_count += 1;
        let fault = self.fault.as_ref();
        let Some(fault) = fault.filter(|fault| fault.affects(number, request)) else {
            return (response, false);
        };
        match fault.effect {
            FaultEffect::Slow(factor) => (response.slowed_by(factor), true),
            FaultEffect::Failing(percent) if self.random.random_range(0..100) < percent => {
                (ScriptedResponse::failure(), true)
            }
            FaultEffect::Failing(_) => (response, false),
        }
    }
}
