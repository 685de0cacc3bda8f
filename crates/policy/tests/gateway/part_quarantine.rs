//! Which parts of prompts are blocked after engines have ended.

use faststr::FastStr;
use skylarkshed_core::{ClockTime, ServiceName};
use skylarkshed_policy::{AttemptProgress, CrashReport, PartBlock, PartQuarantine, PartVerdict};

const START: ClockTime = ClockTime::from_millis(1_000_000);

fn service() -> ServiceName {
    "scribe".into()
}

fn parts(ids: &[&'static str]) -> Vec<FastStr> {
    ids.iter().map(|id| FastStr::new(*id)).collect()
}

fn after_ms(millis: u64) -> ClockTime {
    START + ClockTime::from_millis(millis)
}

/// A quarantine, and the time in milliseconds that grows with each event.
#[derive(Default)]
struct Trial {
    quarantine: PartQuarantine,
    now_ms: u64,
}

impl Trial {
    fn end(&mut self, engine: &'static str, ids: &[&'static str], progress: AttemptProgress) {
        self.now_ms += 100;
        let report = CrashReport {
            service: service(),
            engine: engine.into(),
            parts: parts(ids),
            progress,
        };
        self.quarantine.record_crash(&report, after_ms(self.now_ms));
    }

    fn begun(&mut self, engine: &'static str, ids: &[&'static str]) {
        self.end(engine, ids, AttemptProgress::Begun);
    }

    fn waiting(&mut self, engine: &'static str, ids: &[&'static str]) {
        self.end(engine, ids, AttemptProgress::Waiting);
    }

    fn sound(&mut self, ids: &[&'static str]) {
        let now = after_ms(self.now_ms);
        self.quarantine.record_sound(&service(), &parts(ids), now);
    }

    fn is_blocked(&self, ids: &[&'static str]) -> bool {
        self.verdict(ids, self.now_ms, false) != PartVerdict::Allowed
    }

    fn verdict(&self, ids: &[&'static str], at_ms: u64, is_prober: bool) -> PartVerdict {
        let now = after_ms(at_ms);
        self.quarantine
            .check(&service(), &parts(ids), now, |_| is_prober.then_some(0))
    }

    fn block(&self) -> PartBlock {
        self.quarantine.blocks(START)[0].0.clone()
    }
}

#[test]
fn second_end_under_a_begun_response_blocks_its_part() {
    let mut trial = Trial::default();
    trial.sound(&["first"]);
    trial.begun("e1", &["first", "bad"]);
    assert!(!trial.is_blocked(&["first", "bad"]));
    trial.begun("e2", &["first", "bad"]);
    assert!(trial.is_blocked(&["other", "bad"]));
    assert!(!trial.is_blocked(&["first"]));
}

#[test]
fn reports_of_several_vms_on_one_end_count_once() {
    let mut trial = Trial::default();
    for _ in 0..5 {
        trial.begun("e1", &["bad"]);
    }
    assert!(!trial.is_blocked(&["bad"]));
}

#[test]
fn engine_that_ends_twice_counts_twice() {
    let mut trial = Trial::default();
    trial.begun("e1", &["bad"]);
    trial.now_ms += 4_000;
    trial.begun("e1", &["bad"]);
    assert!(trial.is_blocked(&["bad"]));
}

#[test]
fn request_that_waits_beside_the_culprit_is_not_blamed() {
    let mut trial = Trial::default();
    for engine in ["e1", "e2", "e3", "e4", "e5", "e6", "e7"] {
        trial.waiting(engine, &["waits"]);
        trial.begun(engine, &["bad"]);
    }
    assert!(trial.is_blocked(&["bad"]));
    assert!(!trial.is_blocked(&["waits"]));
}

/// An engine may end before the head of its response arrives.
#[test]
fn sixth_end_under_waiting_requests_blocks_their_part() {
    let mut trial = Trial::default();
    for engine in ["e1", "e2", "e3", "e4", "e5"] {
        trial.waiting(engine, &["bad"]);
    }
    assert!(!trial.is_blocked(&["bad"]));
    trial.waiting("e6", &["bad"]);
    assert!(trial.is_blocked(&["bad"]));
}

#[test]
fn parts_that_nothing_tells_apart_are_blocked_together() {
    let mut trial = Trial::default();
    trial.begun("e1", &["first", "bad"]);
    trial.begun("e2", &["first", "bad"]);
    assert!(trial.is_blocked(&["first", "bad"]));
    assert!(!trial.is_blocked(&["first"]));
    assert!(!trial.is_blocked(&["bad"]));
    // A sound request tells them apart.
    trial.sound(&["first"]);
    assert!(trial.is_blocked(&["bad"]));
    assert!(!trial.is_blocked(&["first"]));
}

#[test]
fn part_beside_different_others_is_blocked_alone() {
    let mut trial = Trial::default();
    trial.begun("e1", &["a", "bad"]);
    trial.begun("e2", &["b", "bad"]);
    assert!(trial.is_blocked(&["bad"]));
    assert!(!trial.is_blocked(&["a"]));
    assert!(!trial.is_blocked(&["a", "b"]));
}

#[test]
fn sound_part_is_never_blocked() {
    let mut trial = Trial::default();
    trial.sound(&["first"]);
    for engine in ["e1", "e2", "e3", "e4"] {
        trial.begun(engine, &["first"]);
    }
    assert!(!trial.is_blocked(&["first"]));
}

#[test]
fn response_that_goes_on_lifts_the_block() {
    let mut trial = Trial::default();
    trial.begun("e1", &["rare"]);
    trial.begun("e2", &["rare"]);
    assert!(trial.is_blocked(&["rare"]));
    trial.sound(&["rare"]);
    assert!(!trial.is_blocked(&["rare"]));
    assert!(trial.block().is_lifted);
}

#[test]
fn blocks_of_one_service_do_not_concern_another() {
    let mut trial = Trial::default();
    trial.begun("e1", &["bad"]);
    trial.begun("e2", &["bad"]);
    let other = ServiceName::from("other");
    let verdict = trial
        .quarantine
        .check(&other, &parts(&["bad"]), START, |_| None);
    assert_eq!(verdict, PartVerdict::Allowed);
}

#[test]
fn one_vm_probes_one_request_at_a_time_and_ever_more_rarely() {
    let mut trial = Trial::default();
    trial.begun("e1", &["bad"]);
    trial.begun("e2", &["bad"]);
    let due_ms = trial.now_ms + 10_000;
    let is_blocked = |verdict| matches!(verdict, PartVerdict::Blocked { .. });
    assert!(is_blocked(trial.verdict(&["bad"], due_ms - 1, true)));
    assert!(is_blocked(trial.verdict(&["bad"], due_ms, false)));
    let PartVerdict::Probe(block) = trial.verdict(&["bad"], due_ms, true) else {
        panic!("a probe is due");
    };
    assert!(trial.quarantine.start_probe(&block));
    assert!(is_blocked(trial.verdict(&["bad"], due_ms, true)));
    let failed = trial.quarantine.end_probe(&block, true, after_ms(due_ms));
    assert_eq!(failed.map(|block| block.failed_probes), Some(1));
    assert!(is_blocked(trial.verdict(&["bad"], due_ms + 79_999, true)));
    let verdict = trial.verdict(&["bad"], due_ms + 80_000, true);
    assert!(matches!(verdict, PartVerdict::Probe(_)));
}

#[test]
fn later_word_on_a_block_counts_and_order_does_not() {
    let mut trial = Trial::default();
    trial.begun("e1", &["rare"]);
    trial.begun("e2", &["rare"]);
    let blocked = trial.block();
    trial.sound(&["rare"]);
    let lifted = trial.block();
    for words in [[&blocked, &lifted], [&lifted, &blocked]] {
        let mut other = Trial::default();
        for word in words {
            other
                .quarantine
                .merge(word.clone(), ClockTime::ZERO, false, START);
        }
        assert!(!other.is_blocked(&["rare"]));
    }
}

#[test]
fn blocks_are_bounded() {
    let mut quarantine = PartQuarantine::default();
    for number in 0..1_000 {
        let block = PartBlock {
            service: service(),
            parts: vec![FastStr::new(number.to_string())],
            round: 0,
            is_lifted: false,
            failed_probes: 0,
        };
        let now = after_ms(number);
        quarantine.merge(block, ClockTime::ZERO, true, now);
    }
    assert!(quarantine.count() <= 256);
    let last = [FastStr::new("999")];
    let verdict = quarantine.check(&service(), &last, after_ms(1_000), |_| None);
    assert!(matches!(verdict, PartVerdict::Blocked { .. }));
}

/// Guards against ends under other requests that count for a part, as when a zone loses
/// power.
#[test]
fn ends_under_other_waiting_requests_do_not_count() {
    let mut trial = Trial::default();
    for (engine, part) in [
        ("e1", "a"),
        ("e2", "b"),
        ("e3", "c"),
        ("e4", "d"),
        ("e5", "e"),
    ] {
        trial.waiting(engine, &[part]);
    }
    trial.begun("e6", &["rare"]);
    trial.waiting("e7", &["other"]);
    for part in ["rare", "other", "a"] {
        assert!(!trial.is_blocked(&[part]), "{part}");
    }
}

/// A caller may state thousands of parts; only the first ones are compared.
#[test]
fn parts_of_a_report_are_bounded() {
    let mut quarantine = PartQuarantine::default();
    let ids: Vec<FastStr> = (0..10_000).map(|id| FastStr::new(id.to_string())).collect();
    for engine in ["e1", "e2"] {
        let report = CrashReport {
            service: service(),
            engine: engine.into(),
            parts: ids.clone(),
            progress: AttemptProgress::Begun,
        };
        quarantine.record_crash(&report, START);
    }
    let blocks = quarantine.blocks(START);
    assert_eq!(blocks.len(), 1);
    assert_eq!(blocks[0].0.parts.len(), 64);
}

/// Guards against a block that stays because the VM that probes it gets no such request, or
/// is gone.
#[test]
fn another_vm_probes_if_the_first_one_does_not() {
    let mut trial = PartQuarantine::default();
    for engine in ["e1", "e2"] {
        let report = CrashReport {
            service: service(),
            engine: engine.into(),
            parts: parts(&["bad"]),
            progress: AttemptProgress::Begun,
        };
        trial.record_crash(&report, START);
    }
    let is_probe = |at_ms: u64, turn: usize| {
        let verdict = trial.check(&service(), &parts(&["bad"]), after_ms(at_ms), |_| {
            Some(turn)
        });
        matches!(verdict, PartVerdict::Probe(_))
    };
    assert!(!is_probe(9_999, 0));
    assert!(is_probe(10_000, 0));
    assert!(!is_probe(12_999, 1));
    assert!(is_probe(13_000, 1));
    assert!(!is_probe(15_999, 2));
    assert!(is_probe(16_000, 2));
}
