//! Collects what callers and upstreams see while the soak runs.

use crate::checks::{check_request, check_totals, ReadinessRecord, World};
use crate::records::{ArrivalRecord, CallerRequest, Outcome, RequestStory, UpstreamRun, Violation};
use crate::timeline::Part;
use skylarkshed_core::{ClockTime, MonotonicClock};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The history of a soak. Its lock is never held across an await point.
pub(crate) struct Observer {
    clock: MonotonicClock,
    state: Mutex<ObserverState>,
}

#[derive(Default)]
pub(crate) struct ObserverState {
    pub(crate) stories: BTreeMap<String, RequestStory>,
    pub(crate) world: World,
    pub(crate) violations: Vec<Violation>,
    /// The requests that changed since they were last checked.
    changed: BTreeSet<String>,
}

/// An arrived request of an upstream, for [`Observer::end_run`].
pub(crate) struct RunKey {
    id: String,
    number: usize,
}

impl Observer {
    pub(crate) fn start() -> Self {
        Observer {
            clock: MonotonicClock::start(),
            state: Mutex::default(),
        }
    }

    pub(crate) fn now(&self) -> ClockTime {
        self.clock.now()
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, ObserverState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a request just before it is sent.
    pub(crate) fn begin_request(&self, request: CallerRequest) {
        let story = RequestStory {
            request: request.clone(),
            outcome: None,
            arrivals: Vec::new(),
            runs: Vec::new(),
        };
        self.lock().stories.insert(request.id, story);
    }

    pub(crate) fn end_request(&self, id: &str, outcome: Outcome) {
        let now = self.now();
        let mut state = self.lock();
        if let Some(story) = state.stories.get_mut(id) {
            story.outcome = Some((now, outcome));
        }
        state.changed.insert(id.to_owned());
    }

    /// Removes a request that was not sent, because its connection had been closed.
    pub(crate) fn forget_request(&self, id: &str) {
        self.lock().stories.remove(id);
    }

    /// Counts a try of a caller that reached no VM.
    pub(crate) fn record_failed_try(&self) {
        let now = self.now();
        self.lock().world.failed_tries.record(now);
    }

    /// Returns the VM that a request was sent to.
    pub(crate) fn vm_of(&self, id: &str) -> Option<usize> {
        self.lock().stories.get(id).map(|story| story.request.vm)
    }

    /// Records that a request arrived at an upstream, whatever the upstream does with it.
    pub(crate) fn record_arrival(&self, id: &str, service: &str) {
        let at = self.now();
        let service = service.to_owned();
        if let Some(story) = self.lock().stories.get_mut(id) {
            story.arrivals.push(ArrivalRecord { service, at });
        }
    }

    /// Returns the number of streams that callers sent since a time.
    pub(crate) fn count_streams(&self, since: ClockTime) -> usize {
        let state = self.lock();
        let requests = state.stories.values().map(|story| &story.request);
        let streams = requests.filter(|request| request.events > 0 && request.sent_at >= since);
        streams.count()
    }

    /// Records a request that an upstream accepts or refuses.
    pub(crate) fn begin_run(&self, id: &str, run: UpstreamRun) -> RunKey {
        let mut state = self.lock();
        let mut number = 0;
        match state.stories.get_mut(id) {
            Some(story) => {
                story.runs.push(run);
                number = story.runs.len() - 1;
            }
            None => state.violations.push(Violation {
                rule: "unchanged requests",
                request: Some(id.to_owned()),
                detail: format!("no caller sent what arrived at {}", run.upstream),
            }),
        }
        state.changed.insert(id.to_owned());
        RunKey {
            id: id.to_owned(),
            number,
        }
    }

    /// Changes the record of a run.
    pub(crate) fn update_run(&self, key: &RunKey, change: impl FnOnce(&mut UpstreamRun)) {
        let mut state = self.lock();
        let story = state.stories.get_mut(&key.id);
        if let Some(run) = story.and_then(|story| story.runs.get_mut(key.number)) {
            change(run);
        }
        state.changed.insert(key.id.clone());
    }

    pub(crate) fn end_run(&self, key: &RunKey, is_broken_off: bool) {
        let now = self.now();
        self.update_run(key, |run| {
            run.ended_at = now;
            run.is_broken_off = is_broken_off;
        });
    }

    /// Records the begin of a disturbance.
    pub(crate) fn disturb(&self, part: Part, cause: &'static str, is_planned: bool) -> usize {
        let now = self.now();
        let mut state = self.lock();
        state.world.timeline.begin(part, cause, now, is_planned)
    }

    /// Records the end of a disturbance.
    pub(crate) fn end_disturbance(&self, number: usize) {
        let now = self.now();
        self.lock().world.timeline.end(number, now);
    }

    pub(crate) fn record_termination(&self, vm: usize) {
        let signal_at = self.now();
        self.lock().world.terminations.push(ReadinessRecord {
            vm,
            signal_at,
            last_ready_at: ClockTime::ZERO,
        });
    }

    /// Reports a broken rule that no request shows.
    pub(crate) fn report(&self, rule: &'static str, detail: String) {
        self.lock().violations.push(Violation {
            rule,
            request: None,
            detail,
        });
    }

    /// Checks the requests that changed since the last call.
    pub(crate) fn check_changed(&self) {
        let now = self.now();
        let mut state = self.lock();
        let changed = std::mem::take(&mut state.changed);
        let ended = changed.iter().filter_map(|id| state.stories.get(id));
        let found: Vec<Violation> = ended
            .flat_map(|story| check_request(story, &state.world, now))
            .collect();
        state.add(found);
    }

    /// Checks all requests and all sums.
    pub(crate) fn check_all(&self) {
        let now = self.now();
        let mut state = self.lock();
        let stories: Vec<&RequestStory> = state.stories.values().collect();
        let mut found = check_totals(&stories, &state.world, now);
        let single = stories.iter();
        found.extend(single.flat_map(|story| check_request(story, &state.world, now)));
        state.add(found);
    }
}

impl ObserverState {
    fn add(&mut self, found: Vec<Violation>) {
        for violation in found {
            let is_known = self
                .violations
                .iter()
                .any(|known| known.rule == violation.rule && known.request == violation.request);
            if !is_known {
                self.violations.push(violation);
            }
        }
    }
}
