//! Which parts of prompts were at engines that ended.

use crate::attempt_progress::AttemptProgress;
use faststr::FastStr;
use skylarkshed_core::{ClockTime, ServiceName, UpstreamName};
use std::collections::VecDeque;

/// Reports on one engine within this time are about the same end; an engine that starts
/// again takes longer until it begins to write an answer.
const SAME_END_TIME: ClockTime = ClockTime::from_millis(1_500);
/// Evidence older than this is dropped.
const EVIDENCE_TTL: ClockTime = ClockTime::from_millis(300_000);
/// The number of ends and of reports on one of them that are kept. Parts are chosen by
/// callers, so the memory is bounded.
const MAX_ENDS: usize = 64;
const MAX_WITNESSES: usize = 32;
/// The number of parts of a report that are kept, the first ones.
pub(crate) const MAX_REPORT_PARTS: usize = 64;
/// The weight of an end under a response that had begun, and of one under a request that
/// still waited, if no response was known to have begun there.
const BEGUN_WEIGHT: u32 = 3;
const WAITING_WEIGHT: u32 = 1;
/// The weight from which on a part is held to end engines: two ends under responses that
/// had begun, or six under requests that waited.
const SUSPECT_WEIGHT: u32 = 6;

/// The end of an engine, as seen by a stream that it had not served for long.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// The engine's service.
    pub service: ServiceName,
    /// The engine.
    pub engine: UpstreamName,
    /// The parts of the stream's prompt that other requests may share.
    pub parts: Vec<FastStr>,
    /// How far the engine had come with the response.
    pub progress: AttemptProgress,
}

/// A stream that was at an engine when it ended.
#[derive(Clone, Debug)]
struct CrashWitness {
    parts: Vec<FastStr>,
    has_begun: bool,
}

/// An engine that ended.
#[derive(Clone, Debug)]
struct EngineEnd {
    service: ServiceName,
    engine: UpstreamName,
    at: ClockTime,
    witnesses: Vec<CrashWitness>,
}

impl EngineEnd {
    /// Returns the weight of this end for a part and the witnesses that support it.
    fn weigh(&self, part: &FastStr) -> (u32, Vec<&CrashWitness>) {
        let witnesses = self.witnesses.iter();
        let with_part = witnesses.filter(|witness| witness.parts.contains(part));
        let (begun, waiting): (Vec<&CrashWitness>, Vec<&CrashWitness>) =
            with_part.partition(|witness| witness.has_begun);
        // A response that had begun is the likelier cause.
        let has_likelier = self.witnesses.iter().any(|witness| witness.has_begun);
        match (begun.is_empty(), waiting.is_empty() || has_likelier) {
            (false, _) => (BEGUN_WEIGHT, begun),
            (true, false) => (WAITING_WEIGHT, waiting),
            (true, true) => (0, Vec::new()),
        }
    }

    /// Reports whether a response with all of these parts had begun.
    fn is_explained_by(&self, parts: &[FastStr]) -> bool {
        self.witnesses.iter().any(|witness| {
            witness.has_begun && parts.iter().all(|part| witness.parts.contains(part))
        })
    }
}

/// The ends of engines under streams whose parts were not known to be sound.
#[derive(Debug, Default)]
pub(crate) struct CrashEvidence {
    ends: VecDeque<EngineEnd>,
}

impl CrashEvidence {
    /// Records a report, whose parts are those that are not known to be sound.
    pub(crate) fn record(&mut self, report: &CrashReport, now: ClockTime) {
        self.ends.retain(|end| now.since(end.at) < EVIDENCE_TTL);
        let witness = CrashWitness {
            parts: report.parts.clone(),
            has_begun: report.progress != AttemptProgress::Waiting,
        };
        let is_same = |end: &&mut EngineEnd| {
            end.service == report.service
                && end.engine == report.engine
                && now.since(end.at) < SAME_END_TIME
        };
        if let Some(end) = self.ends.iter_mut().find(is_same) {
            if end.witnesses.len() < MAX_WITNESSES {
                end.witnesses.push(witness);
            }
            return;
        }
        if self.ends.len() == MAX_ENDS {
            self.ends.pop_front();
        }
        self.ends.push_back(EngineEnd {
            service: report.service.clone(),
            engine: report.engine.clone(),
            at: now,
            witnesses: vec![witness],
        });
    }

    /// Returns the parts that end engines, if `part` is one of them: itself and those that
    /// were beside it each time, so that nothing tells them apart. Ends that one of the
    /// `known` sets of parts explains don't count.
    pub(crate) fn suspects(
        &self,
        service: &ServiceName,
        part: &FastStr,
        known: &[Vec<FastStr>],
    ) -> Option<Vec<FastStr>> {
        let mut weight = 0;
        let mut common: Option<Vec<FastStr>> = None;
        for end in self.ends.iter().filter(|end| end.service == *service) {
            let is_other = |parts: &&Vec<FastStr>| !parts.contains(part);
            let mut others = known.iter().filter(is_other);
            if others.any(|parts| end.is_explained_by(parts)) {
                continue;
            }
            let (end_weight, witnesses) = end.weigh(part);
            weight += end_weight;
            for witness in witnesses {
                let common = common.get_or_insert_with(|| witness.parts.clone());
                common.retain(|part| witness.parts.contains(part));
            }
        }
        let mut parts = common.filter(|_| weight >= SUSPECT_WEIGHT)?;
        parts.sort();
        parts.dedup();
        Some(parts)
    }
}
