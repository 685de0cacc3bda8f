//! What a VM knows of a rollout.

use super::word::RolloutWord;
use skylarkshed_core::{ClockTime, VmName};
use skylarkshed_policy::{
    CanaryAllowance, CanarySpread, RejectedVersions, RolloutSamples, RolloutState,
    VersionKnowledge, VersionSamples,
};
use std::collections::{BTreeMap, HashMap};

/// An attempt without a first event.
#[derive(Debug)]
pub(super) struct OpenAttempt {
    pub(super) route: String,
    pub(super) is_new: bool,
    pub(super) sent_at: ClockTime,
}

/// What a hub knows of another VM.
#[derive(Debug)]
pub(super) struct VmReport {
    /// Identifies the process of the VM.
    pub(super) process: u64,
    pub(super) samples: RolloutSamples,
    /// Whether the VM has a part of the reserve.
    pub(super) has_reserve: bool,
    pub(super) received_at: ClockTime,
}

/// For whom a version is withdrawn.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum WithdrawalScope {
    /// For this VM, which hears no hub, until it hears one.
    Vm,
    /// For all VMs, by a hub that heard from most of them.
    Fleet,
}

#[derive(Debug)]
pub(super) struct RolloutProgress {
    pub(super) state: RolloutState,
    /// Whether the end is stored.
    pub(super) is_stored: bool,
    /// When this VM learned that the rollout is done.
    pub(super) done_at: Option<ClockTime>,
    /// Whether the version was found to be bad after the rollout was done.
    pub(super) withdrawal: Option<WithdrawalScope>,
    /// Whether another version has upstreams.
    pub(super) has_alternative: bool,
    pub(super) samples: RolloutSamples,
    pub(super) allowance: CanaryAllowance,
    /// Whether this VM has a part of the reserve.
    pub(super) has_reserve: bool,
    /// Whether the allowance lacks this part.
    pub(super) needs_reserve: bool,
    /// Identifies this process in reports.
    pub(super) process: u64,
    /// Whether an earlier process of this VM may have reported on the rollout.
    pub(super) may_recover: bool,
    pub(super) open: HashMap<u64, OpenAttempt>,
    next_attempt: u64,
    /// The reports of the VMs, if this VM is a hub.
    pub(super) reports: BTreeMap<VmName, VmReport>,
    /// The newest word of a hub.
    pub(super) word: RolloutWord,
    /// How the requests to the new version are spread, by that word.
    pub(super) spread: CanarySpread,
    /// Until when requests may be sent to the new version.
    pub(super) lease_until: ClockTime,
    pub(super) knowledge: VersionKnowledge,
    /// The versions that earlier rollouts of the service have not completed.
    pub(super) rejected: RejectedVersions,
    seen_at: ClockTime,
    /// How long the rollout had run when this VM first saw it.
    pub(super) elapsed_before: ClockTime,
}

impl RolloutProgress {
    pub(super) fn new(now: ClockTime, allowance: CanaryAllowance, before: VersionSamples) -> Self {
        RolloutProgress {
            state: RolloutState::Running,
            is_stored: false,
            done_at: None,
            withdrawal: None,
            has_alternative: false,
            samples: RolloutSamples::new(before),
            allowance,
            has_reserve: false,
            needs_reserve: false,
            process: rand::random(),
            may_recover: false,
            open: HashMap::new(),
            next_attempt: 0,
            reports: BTreeMap::new(),
            word: RolloutWord::default(),
            spread: CanarySpread::default(),
            lease_until: ClockTime::ZERO,
            knowledge: VersionKnowledge::default(),
            rejected: RejectedVersions::default(),
            seen_at: now,
            elapsed_before: ClockTime::ZERO,
        }
    }

    pub(super) fn set_state(&mut self, state: RolloutState, now: ClockTime) {
        self.state = state;
        self.done_at = (state == RolloutState::Done).then_some(now);
    }

    /// Reports whether the version is withdrawn for all VMs.
    pub(super) fn is_withdrawn_for_all(&self) -> bool {
        self.withdrawal == Some(WithdrawalScope::Fleet)
    }

    /// Returns the time since the rollout began, at a time on this VM's clock.
    pub(super) fn elapsed(&self, at: ClockTime) -> ClockTime {
        self.elapsed_before + at.since(self.seen_at)
    }

    /// Records how long the rollout has run by the knowledge of another.
    pub(super) fn record_elapsed(&mut self, now: ClockTime, elapsed: ClockTime) {
        let own = now.since(self.seen_at);
        self.elapsed_before = self.elapsed_before.max(elapsed.since(own));
    }

    pub(super) fn is_overdue(&self, route: &str, age: ClockTime) -> bool {
        self.word
            .overdue(route)
            .is_some_and(|overdue| age >= overdue)
    }

    pub(super) fn version(&mut self, slice: u64, is_new: bool) -> &mut VersionSamples {
        let pair = self.samples.slice(slice);
        match is_new {
            true => &mut pair.new,
            false => &mut pair.old,
        }
    }

    /// Registers an attempt without a first event and returns its number.
    pub(super) fn open_attempt(&mut self, attempt: OpenAttempt) -> u64 {
        self.next_attempt += 1;
        self.open.insert(self.next_attempt, attempt);
        self.next_attempt
    }
}
