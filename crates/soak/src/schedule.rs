//! The schedule of faults, drawn from the seed.

use crate::bounds::RECOVERY;
use crate::operators::ConfigChange;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use skylarkshed_core::ClockTime;

/// The time before the first fault, in which the VMs start.
pub(crate) const FIRST_FAULT: ClockTime = ClockTime::from_millis(3_500);
/// The time after the last fault.
pub(crate) const LAST_FAULT: ClockTime = ClockTime::from_millis(3_000);
/// A series repeats one fault at this interval, in milliseconds.
const SERIES_MS: std::ops::Range<u64> = 100..900;
/// The time of a rollout, in milliseconds, and the pause before the next one. Operators wait
/// for the end of a rollout some time longer.
const ROLLOUT_MS: std::ops::Range<u64> = 6_000..9_000;
const ROLLOUT_PAUSE: ClockTime = ClockTime::from_millis(6_000);

/// How long prompts have a part that ends engines, in milliseconds.
const CRASH_MS: std::ops::Range<u64> = 6_000..15_000;
const CRASH_SEED: u64 = 0x63_7261_7368;

/// A kind of fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FaultKind {
    Terminate,
    Kill,
    Pause,
    HangUp,
    RollingRestart,
    StoreRefuses,
    StoreSilent,
    StoreReset,
    StoreSlow,
    StoreRepliesLost,
    StoreRestored,
    LinkDelayed,
    LinkReset,
    LinkCutOut,
    LinkCutIn,
    LinkSilent,
    UpstreamDown,
    UpstreamRefuses,
    UpstreamSilent,
    UpstreamLeaves,
    UpstreamLosesAnswers,
    UpstreamGarbles,
    UpstreamAddressReused,
    CallersLeave,
    Rollout,
    /// The engines of a zone end together while some VMs are disturbed.
    ZoneLoss,
    /// Some prompts have a part that ends each engine which begins to write on it.
    CrashingPart,
    /// A change of the configuration, after which all VMs lose power.
    PowerLoss(ConfigChange),
    Config(ConfigChange),
}

/// The kinds that are drawn together: a seed uses some of the groups.
const GROUPS: [&[FaultKind]; 6] = [
    &[
        FaultKind::Terminate,
        FaultKind::Terminate,
        FaultKind::HangUp,
        FaultKind::RollingRestart,
    ],
    &[FaultKind::Kill, FaultKind::Pause],
    &[
        FaultKind::StoreRefuses,
        FaultKind::StoreSilent,
        FaultKind::StoreReset,
        FaultKind::StoreSlow,
        FaultKind::StoreRepliesLost,
        FaultKind::StoreRestored,
    ],
    &[
        FaultKind::LinkDelayed,
        FaultKind::LinkReset,
        FaultKind::LinkCutOut,
        FaultKind::LinkCutIn,
        FaultKind::LinkSilent,
    ],
    &[
        FaultKind::UpstreamDown,
        FaultKind::UpstreamRefuses,
        FaultKind::UpstreamSilent,
        FaultKind::UpstreamLeaves,
        FaultKind::UpstreamLosesAnswers,
        FaultKind::UpstreamGarbles,
        FaultKind::UpstreamAddressReused,
    ],
    &[FaultKind::CallersLeave],
];

/// The kinds of a calm soak, whose rollouts nothing but planned work disturbs.
const CALM_KINDS: [FaultKind; 4] = [
    FaultKind::Terminate,
    FaultKind::HangUp,
    FaultKind::RollingRestart,
    FaultKind::CallersLeave,
];
/// Seeds that this number divides are calm soaks.
const CALM_SEEDS: u64 = 8;

/// A fault of the schedule.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedFault {
    pub(crate) at: ClockTime,
    pub(crate) kind: FaultKind,
    /// How long it lasts.
    pub(crate) duration: ClockTime,
    /// Chooses the VM, the link or the upstream.
    pub(crate) choice: u64,
}

/// Draws the faults of a soak from its seed.
pub(crate) fn draw_schedule(seed: u64, length: ClockTime) -> Vec<PlannedFault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let is_calm = seed.is_multiple_of(CALM_SEEDS);
    let kinds = match is_calm {
        true => CALM_KINDS.to_vec(),
        false => draw_kinds(&mut rng),
    };
    let interval_ms = rng.random_range(200..1_200);
    let mut faults = Vec::new();
    let mut at = FIRST_FAULT;
    while at < length.since(LAST_FAULT) {
        let kind = *kinds.choose(&mut rng).expect("there is a group");
        let count = if rng.random_ratio(1, 5) {
            rng.random_range(2..5)
        } else {
            1
        };
        let choice: u64 = rng.random_range(0..1 << 32);
        for number in 0..count {
            // A series hits the same part again, or the next ones.
            let step = if rng.random_ratio(1, 2) { number } else { 0 };
            faults.push(PlannedFault {
                at,
                kind,
                duration: ClockTime::from_millis(rng.random_range(200..2_500)),
                choice: choice + step,
            });
            at = at + ClockTime::from_millis(rng.random_range(SERIES_MS));
        }
        at = at + ClockTime::from_millis(rng.random_range(0..2 * interval_ms));
    }
    faults.extend(draw_rollouts(&mut rng, length, is_calm));
    if !is_calm {
        faults.extend(draw_power_loss(&mut rng, length));
    }
    if !is_calm {
        faults.extend(draw_crashing_part(seed, length));
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Draws the time in which prompts have a part that ends engines, in two of three soaks. It
/// has draws of its own, so that other faults of a seed stay as they were.
fn draw_crashing_part(seed: u64, length: ClockTime) -> Option<PlannedFault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ CRASH_SEED);
    let latest = length.since(LAST_FAULT);
    if latest <= FIRST_FAULT || !rng.random_ratio(2, 3) {
        return None;
    }
    Some(PlannedFault {
        at: ClockTime::from_millis(rng.random_range(FIRST_FAULT.as_millis()..latest.as_millis())),
        kind: FaultKind::CrashingPart,
        duration: ClockTime::from_millis(rng.random_range(CRASH_MS)),
        choice: rng.random_range(0..1 << 32),
    })
}

/// Draws the groups of a seed and whether its configuration changes.
fn draw_kinds(rng: &mut SmallRng) -> Vec<FaultKind> {
    let mut kinds: Vec<FaultKind> = Vec::new();
    for group in GROUPS {
        if rng.random_ratio(3, 5) {
            kinds.extend(group);
        }
    }
    let changes = ConfigChange::ALL.map(FaultKind::Config);
    if kinds.is_empty() || rng.random_ratio(4, 5) {
        kinds.extend(changes);
    }
    kinds
}

/// Draws one rollout after the other, in every other soak and in all calm ones.
fn draw_rollouts(rng: &mut SmallRng, length: ClockTime, is_calm: bool) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut at = FIRST_FAULT + ClockTime::from_millis(rng.random_range(0..1_500));
    if rng.random_ratio(1, 2) && !is_calm {
        return faults;
    }
    loop {
        let duration = ClockTime::from_millis(rng.random_range(ROLLOUT_MS));
        let next = at + duration + ROLLOUT_PAUSE;
        if next > length {
            return faults;
        }
        faults.push(PlannedFault {
            at,
            kind: FaultKind::Rollout,
            duration,
            choice: rng.random_range(0..1 << 32),
        });
        at = next;
    }
}

/// Draws the time at which all VMs lose power, early enough that they recover before the end
/// of the soak; one soak in three has one.
fn draw_power_loss(rng: &mut SmallRng, length: ClockTime) -> Option<PlannedFault> {
    let latest = length.since(RECOVERY + LAST_FAULT);
    if latest <= FIRST_FAULT || !rng.random_ratio(1, 3) {
        return None;
    }
    let at_ms = rng.random_range(FIRST_FAULT.as_millis()..latest.as_millis());
    let change = *ConfigChange::ALL.choose(rng).expect("there are some");
    Some(PlannedFault {
        at: ClockTime::from_millis(at_ms),
        kind: FaultKind::PowerLoss(change),
        duration: ClockTime::ZERO,
        choice: rng.random_range(0..1 << 32),
    })
}
