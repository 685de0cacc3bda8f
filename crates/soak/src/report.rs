//! The report of a soak: the broken rules, each with the lines of one request.

use crate::checks::{excuse_cut, find_peaks, is_end_judged, RolloutRecord};
use crate::observer::{Observer, ObserverState};
use crate::records::{Outcome, RequestStory, UpstreamRun, Violation};
use crate::run::SoakOptions;
use crate::timeline::{Part, Timeline};
use crate::vms::SoakVm;
use skylarkshed_core::ClockTime;
use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;
use std::sync::Arc;

/// The log lines of one request that are printed at most.
const MAX_LOG_LINES: usize = 40;
/// The characters of an outcome that are printed at most; bodies can be long.
const MAX_OUTCOME_CHARS: usize = 400;
/// A prompt that has room at once may take a moment to get it.
const MIN_WAIT: ClockTime = ClockTime::from_millis(10);
/// Violations of one rule that are printed in full.
const MAX_EXAMPLES: usize = 3;

/// What a soak found.
#[derive(Debug)]
pub struct SoakReport {
    seed: u64,
    folder: PathBuf,
    requests: usize,
    /// The requests whose VM was in touch from their begin to their end.
    in_touch: usize,
    outcomes: BTreeMap<String, usize>,
    /// The requests that were cut off, by what excuses it.
    cuts: BTreeMap<&'static str, usize>,
    starved: Vec<String>,
    resumed: usize,
    rollouts: Vec<String>,
    /// The rollouts without unplanned disturbances, whose end is checked in full.
    judged_ends: usize,
    power_losses: usize,
    /// The windows with the most repeated sends of what was allowed.
    retry_peaks: Vec<String>,
    /// The arrivals that waited for memory, and those that were rejected.
    waited: usize,
    rejected: usize,
    violations: Vec<(Violation, Vec<String>)>,
}

impl SoakReport {
    pub(crate) fn new(
        options: SoakOptions,
        folder: PathBuf,
        observer: &Observer,
        vms: &[Arc<SoakVm>],
    ) -> Self {
        let state = observer.lock();
        let mut outcomes = BTreeMap::new();
        for story in state.stories.values() {
            *outcomes.entry(outcome_name(story)).or_default() += 1;
        }
        let mut cuts = BTreeMap::new();
        for story in state.stories.values() {
            if let Some(excuse) = excuse_cut(story, &state.world) {
                *cuts.entry(excuse.unwrap_or("nothing")).or_default() += 1;
            }
        }
        let explain = |violation: &Violation| {
            let id = violation.request.as_ref();
            let story = id.and_then(|id| state.stories.get(id));
            let lines = story.map(|story| {
                let mut lines = describe_story(story);
                lines.extend(describe_disturbances(story, &state.world.timeline));
                lines.extend(read_log_lines(&story.request.id, vms));
                lines
            });
            (violation.clone(), lines.unwrap_or_default())
        };
        SoakReport {
            seed: options.seed,
            folder,
            requests: state.stories.len(),
            in_touch: count_in_touch(&state),
            outcomes,
            cuts,
            starved: starved_spans(&state.world.timeline),
            resumed: count_resumed(&state),
            rollouts: describe_rollouts(&state),
            judged_ends: count_judged_ends(&state, observer.now()),
            power_losses: state.world.power_losses.len(),
            retry_peaks: describe_retry_peaks(&state),
            waited: count_runs(&state, |run| run.waited >= MIN_WAIT),
            rejected: count_runs(&state, |run| !run.is_executed),
            violations: state.violations.iter().map(explain).collect(),
        }
    }

    /// Reports whether all rules were kept.
    pub fn is_passed(&self) -> bool {
        self.violations.is_empty()
    }

    /// Removes the logs if all rules were kept.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be removed.
    pub fn clean_up(&self) -> std::io::Result<()> {
        match self.is_passed() {
            true => std::fs::remove_dir_all(&self.folder),
            false => Ok(()),
        }
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
        for (violation, lines) in &self.violations {
            let count = seen.entry(violation.rule).or_default();
            *count += 1;
            let request = violation.request.as_deref().unwrap_or("-");
            let (rule, detail) = (violation.rule, &violation.detail);
            writeln!(formatter, "BROKEN {rule}: request {request}: {detail}")?;
            if *count <= MAX_EXAMPLES {
                for line in lines {
                    writeln!(formatter, "    {line}")?;
                }
            }
        }
        let (seed, requests) = (self.seed, self.requests);
        let in_touch = self.in_touch;
        writeln!(
            formatter,
            "seed {seed}: {requests} requests, {in_touch} at VMs in touch, {:?}",
            self.outcomes
        )?;
        writeln!(formatter, "cut off, excused by: {:?}", self.cuts)?;
        let spans = self.starved.len();
        writeln!(
            formatter,
            "starved by the machine: {spans} spans {:?}",
            self.starved
        )?;
        writeln!(
            formatter,
            "{} streams resumed, {} losses of power, rollouts: {:?}",
            self.resumed, self.power_losses, self.rollouts
        )?;
        writeln!(
            formatter,
            "rollouts judged for their end: {} of {}",
            self.judged_ends,
            self.rollouts.len()
        )?;
        writeln!(
            formatter,
            "repeated sends in 10 s: {}; {} prompts waited for memory, {} arrivals rejected",
            self.retry_peaks.join(", "),
            self.waited,
            self.rejected
        )?;
        if self.is_passed() {
            return writeln!(formatter, "seed {seed}: PASSED");
        }
        let rules: Vec<String> = seen
            .iter()
            .map(|(rule, count)| format!("{rule} ({count})"))
            .collect();
        let (rules, folder) = (rules.join(", "), self.folder.display());
        writeln!(formatter, "seed {seed}: FAILED: {rules}; logs in {folder}")
    }
}

fn outcome_name(story: &RequestStory) -> String {
    match &story.outcome {
        Some((_, Outcome::Response(response))) if response.is_complete => {
            response.status.to_string()
        }
        Some((_, Outcome::Response(response))) => format!("{} cut off", response.status),
        Some((_, Outcome::Closed)) => "closed".to_owned(),
        Some((_, Outcome::Unparsable(_))) => "unparsable".to_owned(),
        Some((_, Outcome::Left)) => "left".to_owned(),
        Some((_, Outcome::TimedOut)) => "timed out".to_owned(),
        None => "open".to_owned(),
    }
}

fn describe_story(story: &RequestStory) -> Vec<String> {
    let request = &story.request;
    let mut lines = vec![format!(
        "{:>6} ms  caller sent {} {} to vm-{} (process {}), {:?}, key {:?}",
        request.sent_at.as_millis(),
        request.method,
        request.path,
        request.vm,
        request.boot,
        request.kind,
        request.key
    )];
    lines.extend(story.runs.iter().map(|run| {
        format!(
            "{:>6} ms  arrived at {}, executed: {}, status {}, ended at {} ms, broke off: {}, \
             customer {:?}, time left {:?}",
            run.at.as_millis(),
            run.upstream,
            run.is_executed,
            run.status,
            run.ended_at.as_millis(),
            run.is_broken_off,
            run.customer,
            run.time_left
        )
    }));
    if let Some((at, outcome)) = &story.outcome {
        let at_ms = at.as_millis();
        let text: String = format!("{outcome:?}")
            .chars()
            .take(MAX_OUTCOME_CHARS)
            .collect();
        lines.push(format!("{at_ms:>6} ms  caller saw {text}"));
    }
    lines
}

fn describe_disturbances(story: &RequestStory, timeline: &Timeline) -> Vec<String> {
    let ended_at = story.ended_at(ClockTime::NEVER);
    let near = timeline.disturbances.iter().filter(|disturbance| {
        let is_of_vm = disturbance.part == Part::Vm(story.request.vm);
        let is_common = matches!(disturbance.part, Part::Store | Part::Machine);
        let names = story.runs.iter().map(|run| &run.upstream);
        let is_of_upstream = names
            .cloned()
            .any(|name| disturbance.part == Part::Upstream(name));
        disturbance.from <= ended_at && (is_of_vm || is_common || is_of_upstream)
    });
    near.map(|disturbance| {
        let (from, until) = (disturbance.from.as_millis(), disturbance.until.as_millis());
        let (part, cause) = (&disturbance.part, disturbance.cause);
        format!("disturbed: {part:?} {cause} from {from} ms to {until} ms")
    })
    .collect()
}

fn read_log_lines(id: &str, vms: &[Arc<SoakVm>]) -> Vec<String> {
    let mut lines = Vec::new();
    let quoted = format!("\"{id}\"");
    for vm in vms {
        // A VM whose process never started has no log.
        let log = std::fs::read_to_string(&vm.log).unwrap_or_default();
        let matching = log.lines().filter(|line| line.contains(&quoted));
        lines.extend(matching.map(|line| format!("vm-{}: {line}", vm.index)));
    }
    lines.truncate(MAX_LOG_LINES);
    lines
}

fn count_in_touch(state: &ObserverState) -> usize {
    let timeline = &state.world.timeline;
    let stories = state.stories.values();
    let in_touch = stories.filter(|story| {
        let request = &story.request;
        let ended_at = story.ended_at(request.sent_at);
        timeline.is_in_touch(request.vm, request.sent_at, ended_at)
    });
    in_touch.count()
}

fn count_resumed(state: &ObserverState) -> usize {
    let stories = state.stories.values();
    let resumed = stories.filter(|story| story.request.last_event > 0);
    resumed.count()
}

fn count_judged_ends(state: &ObserverState, now: ClockTime) -> usize {
    let world = &state.world;
    let rollouts = world.rollouts.iter();
    let judged = rollouts.filter(|rollout| is_end_judged(rollout, world, now));
    judged.count()
}

fn count_runs(state: &ObserverState, is_counted: impl Fn(&UpstreamRun) -> bool) -> usize {
    let runs = state.stories.values().flat_map(|story| &story.runs);
    runs.filter(|run| is_counted(run)).count()
}

fn describe_retry_peaks(state: &ObserverState) -> Vec<String> {
    let stories: Vec<&RequestStory> = state.stories.values().collect();
    let peaks = find_peaks(&stories, state.world.retry_bound).into_iter();
    let peaks =
        peaks.map(|peak| format!("{} of {} for {}", peak.repeats, peak.allowed, peak.service));
    peaks.collect()
}

fn describe_rollouts(state: &ObserverState) -> Vec<String> {
    let describe = |rollout: &RolloutRecord| {
        let RolloutRecord {
            service, quality, ..
        } = rollout;
        let runs = state.stories.values().flat_map(|story| &story.runs);
        let of_version =
            runs.filter(|run| run.service == *service && run.version == rollout.version);
        let (count, bad) = of_version.fold((0, 0), |(count, bad), run| {
            (count + 1, bad + usize::from(run.is_bad))
        });
        let end = match rollout.end {
            Some((at, end)) => {
                let after_ms = at.since(rollout.ordered_at).as_millis();
                format!("{end:?} after {after_ms} ms")
            }
            None => "no end".to_owned(),
        };
        format!("{service} {quality:?}: {end}, {bad} bad of {count} requests")
    };
    state.world.rollouts.iter().map(describe).collect()
}

fn starved_spans(timeline: &Timeline) -> Vec<String> {
    let starved = timeline.disturbances.iter();
    let starved = starved.filter(|disturbance| disturbance.cause == "starved");
    starved
        .map(|span| {
            let (from, until) = (span.from.as_millis(), span.until.as_millis());
            format!("{:?} {from}..{until} ms", span.part)
        })
        .collect()
}
