//! Plays rollouts with the decisions of the gateway.
//!
//! Requests arrive at random VMs. A hub learns of their outcomes after the time of a
//! report, and its decision reaches the VMs after the same time.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use skylarkshed_core::{ClockTime, RolloutSpec};
use skylarkshed_policy::{
    compare_rollout, decide_rollout, CanaryAllowance, CanarySpread, ExposureLimits,
    RolloutDecision, RolloutSamples, VersionSamples,
};
use std::collections::BTreeMap;

pub const LIMITS: ExposureLimits = ExposureLimits {
    percent: 10,
    reserve: 50,
};
const DURATION: ClockTime = ClockTime::from_millis(15_000);
/// The new version's upstreams start this long after the order.
const START_MS: u64 = 3_000;
/// The time before the order that is known of the old version.
const BEFORE_MS: u64 = 15_000;
/// A VM reports, and the hub decides, this often.
const STEP_MS: u64 = 400;
const RARE_ROUTE: &str = "rare";
/// How long an added route gets requests before another one takes its place.
const ADDED_ROUTE_MS: u64 = 1_000;
/// The share of requests that a bad version handles badly.
const BAD_SHARE: f64 = 0.5;
/// The failure rate of a good version.
const USUAL_FAILURES: f64 = 0.003;
const MEDIAN_PACE_MS: f64 = 30.0;
/// The standard deviation of the logarithm of times.
const TIME_SPREAD: f64 = 0.25;

/// A route of the service.
#[derive(Clone, Copy, Debug)]
pub struct RouteProfile {
    name: &'static str,
    /// Its share of the requests.
    share: f64,
    /// The failure rate of a good version.
    failures: f64,
}

/// The requests of a service.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// What these leave goes to routes that are added one after the other.
    routes: &'static [RouteProfile],
    median_first_ms: f64,
    /// The events of a stream after which its pace is known; none for calls.
    pace_events: f64,
}

/// Streams on two routes that hardly ever fail.
pub const SOUND_STREAMS: Traffic = Traffic {
    routes: &[
        RouteProfile {
            name: "usual",
            share: 0.8,
            failures: USUAL_FAILURES,
        },
        RouteProfile {
            name: RARE_ROUTE,
            share: 0.2,
            failures: USUAL_FAILURES,
        },
    ],
    median_first_ms: 900.0,
    pace_events: 8.0,
};

/// Calls on routes that fail by themselves, among them one that always does, and on routes
/// that changes of the configuration add.
pub const UNRELIABLE_CALLS: Traffic = Traffic {
    routes: &[
        RouteProfile {
            name: "usual",
            share: 0.67,
            failures: USUAL_FAILURES,
        },
        RouteProfile {
            name: RARE_ROUTE,
            share: 0.27,
            failures: 0.14,
        },
        RouteProfile {
            name: "broken",
            share: 0.02,
            failures: 1.0,
        },
    ],
    median_first_ms: 60.0,
    pace_events: 0.0,
};

/// What is wrong with the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// Half of the requests take this many times as long.
    Slow(f64),
    /// This share of the requests fails.
    Errors(f64),
    /// Half of the requests of the rare route fail.
    OneRoute,
    /// Half of the requests fail from this time on, in milliseconds.
    Late(u64),
}

/// How a rollout ended.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub is_rolled_back: bool,
    pub ended_ms: u64,
    /// Requests that arrived at the new version until the time limit.
    pub arrivals: u64,
    /// The number that a bad version may receive.
    pub allowed: u64,
}

struct Sample {
    is_new: bool,
    slice: u64,
    route: String,
    is_failed: bool,
    first: ClockTime,
    pace: ClockTime,
}

struct Simulation {
    random: StdRng,
    traffic: Traffic,
    fault: Fault,
    vms: Vec<CanaryAllowance>,
    known: RolloutSamples,
    spread: CanarySpread,
    /// Samples by the time at which the hub learns of them.
    pending: BTreeMap<u64, Vec<Sample>>,
    requests: u64,
    arrivals: u64,
}

/// Plays one rollout at a number of requests per second.
pub fn play(traffic: Traffic, fault: Fault, per_s: f64, vms: usize, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(traffic, fault, per_s, vms, seed);
    let spec = RolloutSpec {
        service: "service".into(),
        to: "v2".into(),
        duration: DURATION,
        revision: 1,
    };
    let mut end: Option<(bool, u64)> = None;
    for now in (0..DURATION.as_millis()).step_by(STEP_MS as usize) {
        simulation.learn(now);
        if end.is_none() {
            let findings = compare_rollout(&simulation.known);
            let elapsed = ClockTime::from_millis(now + STEP_MS);
            match decide_rollout(&spec, LIMITS, &findings, elapsed) {
                RolloutDecision::Wait => {}
                RolloutDecision::Finish => end = Some((false, now)),
                RolloutDecision::RollBack(_) => end = Some((true, now)),
            }
        }
        // The decision reaches the VMs in the next step.
        let applied = end.filter(|(_, at)| *at < now);
        simulation.send_requests(
            now,
            per_s,
            applied.map(|(is_rolled_back, _)| is_rolled_back),
        );
    }
    let (is_rolled_back, ended_ms) = end.unwrap_or((false, DURATION.as_millis()));
    Outcome {
        is_rolled_back,
        ended_ms,
        arrivals: simulation.arrivals,
        allowed: simulation.requests * LIMITS.percent / 100 + LIMITS.reserve,
    }
}

impl Simulation {
    fn new(traffic: Traffic, fault: Fault, per_s: f64, vms: usize, seed: u64) -> Self {
        let vms = (0..vms).map(|index| CanaryAllowance::new(LIMITS, vms, index));
        let mut simulation = Simulation {
            random: StdRng::seed_from_u64(seed),
            traffic,
            fault,
            vms: vms.collect(),
            known: RolloutSamples::default(),
            spread: CanarySpread::default(),
            pending: BTreeMap::new(),
            requests: 0,
            arrivals: 0,
        };
        let before = simulation.play_before(per_s);
        simulation.known = RolloutSamples::new(before);
        simulation
    }

    fn play_before(&mut self, per_s: f64) -> VersionSamples {
        let mut before = VersionSamples::default();
        for _ in 0..(per_s * BEFORE_MS as f64 / 1_000.0) as u64 {
            let route = self.random_route(0);
            let sample = self.random_sample(0, route, false);
            record(&mut before, &sample);
        }
        before
    }

    /// Records what the hub learns in this step.
    fn learn(&mut self, now: u64) {
        let later = self.pending.split_off(&(now + 1));
        let known = std::mem::replace(&mut self.pending, later);
        for sample in known.into_values().flatten() {
            let pair = self.known.slice(sample.slice);
            let version = match sample.is_new {
                true => &mut pair.new,
                false => &mut pair.old,
            };
            version.route(&sample.route).open -= 1;
            record(version, &sample);
        }
        let (sent, requests) = (self.known.sent_to_new(), self.known.requests());
        self.spread = CanarySpread::new(&sent, &requests);
    }

    fn send_requests(&mut self, now: u64, per_s: f64, end: Option<bool>) {
        let mut at = 0.0;
        loop {
            at -= self.random.random::<f64>().ln() / per_s * 1_000.0;
            if at >= STEP_MS as f64 {
                return;
            }
            self.send_request(now + at as u64, end);
        }
    }

    fn send_request(&mut self, now: u64, end: Option<bool>) {
        let route = self.random_route(now);
        self.requests += 1;
        let vm = self.random.random_range(0..self.vms.len());
        let is_new = match end {
            Some(is_rolled_back) => !is_rolled_back,
            None => now >= START_MS && self.take_canary(vm, &route, now),
        };
        self.vms[vm].record_request();
        self.arrivals += u64::from(is_new);
        let sample = self.random_sample(now, route, is_new);
        let pair = self.known.slice(sample.slice);
        let version = match is_new {
            true => &mut pair.new,
            false => &mut pair.old,
        };
        let samples = version.route(&sample.route);
        samples.sent += 1;
        samples.open += 1;
        let pace_ms = sample.pace.as_millis() as f64 * self.traffic.pace_events;
        let ended_ms = match sample.is_failed {
            true => now + sample.first.as_millis() / 2,
            false => now + sample.first.as_millis() + pace_ms as u64,
        };
        let report_ms = self.random.random_range(0..STEP_MS);
        let learned = self.pending.entry(ended_ms + report_ms);
        learned.or_default().push(sample);
    }

    fn take_canary(&mut self, vm: usize, route: &str, now: u64) -> bool {
        let priority = self.spread.priority(route, 0);
        self.vms[vm].try_take(priority, ClockTime::from_millis(now), DURATION)
    }

    fn random_route(&mut self, now: u64) -> String {
        let mut left: f64 = self.random.random();
        for route in self.traffic.routes {
            left -= route.share;
            if left < 0.0 {
                return route.name.to_owned();
            }
        }
        format!("added-{}", now / ADDED_ROUTE_MS)
    }

    fn random_sample(&mut self, now: u64, route: String, is_new: bool) -> Sample {
        let is_hit = is_new && self.random.random_bool(BAD_SHARE);
        let mut routes = self.traffic.routes.iter();
        let usual = routes.find(|known| known.name == route);
        let usual = usual.map_or(USUAL_FAILURES, |known| known.failures);
        let (factor, failures) = match self.fault {
            Fault::Slow(factor) if is_hit => (factor, usual),
            Fault::Errors(share) if is_new => (1.0, share.max(usual)),
            Fault::OneRoute if is_hit && route == RARE_ROUTE => (1.0, 1.0),
            Fault::Late(from_ms) if is_hit && now >= from_ms => (1.0, 1.0),
            _ => (1.0, usual),
        };
        Sample {
            is_new,
            slice: RolloutSamples::slice_at(ClockTime::from_millis(now), DURATION),
            route,
            is_failed: self.random.random_bool(failures),
            first: self.random_time(self.traffic.median_first_ms * factor),
            pace: self.random_time(MEDIAN_PACE_MS * factor),
        }
    }

    /// Returns a log-normal time; the sum of twelve uniform values is nearly normal.
    fn random_time(&mut self, median_ms: f64) -> ClockTime {
        let sum: f64 = (0..12).map(|_| self.random.random::<f64>()).sum();
        let millis = median_ms * ((sum - 6.0) * TIME_SPREAD).exp();
        ClockTime::from_millis(millis as u64)
    }
}

fn record(version: &mut VersionSamples, sample: &Sample) {
    let samples = version.route(&sample.route);
    samples.total += 1;
    if sample.is_failed {
        samples.failed += 1;
        return;
    }
    samples.first.record(sample.first);
    samples.pace.record(sample.pace);
}
