//! Keeps requests away from engines whose prompts have a part that ends engines.
//!
//! Such a request is a "query of death": each engine that begins to answer it ends, with all
//! the streams that it serves, and retries carry it to the next engine. What it has in common
//! with other such requests is a part of its prompt. A part is held to end engines once
//! enough engines have ended under responses that had just begun on it; one on which a
//! response has gone on for a while is sound. Parts that nothing tells apart are blocked
//! together: only requests that have all of them are refused.

use crate::crash_evidence::{CrashEvidence, CrashReport, MAX_REPORT_PARTS};
use crate::sound_parts::SoundParts;
use faststr::FastStr;
use skylarkshed_core::{ClockTime, ServiceName};

/// How many blocks are kept, lifted ones included; each costs two engine ends.
const MAX_BLOCKS: usize = 256;
/// The time from the last end under a blocked part to the first probe.
const FIRST_PROBE_DELAY: ClockTime = ClockTime::from_millis(10_000);
/// The factor by which the time to the next probe grows after each that ended an engine.
const PROBE_DELAY_FACTOR: u64 = 8;
const MAX_PROBE_DELAY: ClockTime = ClockTime::from_millis(6 * 3_600_000);

/// The time after which the next VM probes, because the one before got no request or is
/// gone. The end of an engine under a probe is known to all VMs by then.
const PROBE_TURN_TIME: ClockTime = ClockTime::from_millis(3_000);

fn delay_of_turn(turn: usize) -> ClockTime {
    ClockTime::from_millis(PROBE_TURN_TIME.as_millis() * turn as u64)
}

/// Parts of prompts that end engines, as VMs tell each other and the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartBlock {
    /// The service of the engines.
    pub service: ServiceName,
    /// The parts, sorted; requests that have all of them are refused.
    pub parts: Vec<FastStr>,
    /// How often the parts have been blocked and lifted; the later word counts.
    pub round: u64,
    /// Whether they have turned out to be sound.
    pub is_lifted: bool,
    /// How many probes have ended an engine.
    pub failed_probes: u32,
}

impl PartBlock {
    /// Reports whether this is the block of the same parts.
    fn is_of(&self, other: &PartBlock) -> bool {
        self.service == other.service && self.parts == other.parts
    }

    /// Reports whether this is about fewer parts than another block that is in force, so
    /// that it refuses more requests.
    fn covers(&self, other: &PartBlock) -> bool {
        self.service == other.service
            && !self.is_lifted
            && self.parts.len() < other.parts.len()
            && self.parts.iter().all(|part| other.parts.contains(part))
    }

    /// Returns the order of two words on the same block.
    fn progress(&self) -> (u64, bool, u32) {
        (self.round, self.is_lifted, self.failed_probes)
    }
}

/// A block and what this VM knows of it.
#[derive(Clone, Debug)]
struct KnownBlock {
    block: PartBlock,
    last_end_at: ClockTime,
    is_probed: bool,
    is_stored: bool,
}

impl KnownBlock {
    fn probe_at(&self) -> ClockTime {
        let factor = PROBE_DELAY_FACTOR.saturating_pow(self.block.failed_probes);
        let delay_ms = FIRST_PROBE_DELAY.as_millis().saturating_mul(factor);
        self.last_end_at + ClockTime::from_millis(delay_ms).min(MAX_PROBE_DELAY)
    }
}

/// Whether a request may be sent to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PartVerdict {
    /// It may.
    Allowed,
    /// It may as the probe of this block, if no other one is on its way.
    Probe(PartBlock),
    /// It may not, until another probe is due.
    Blocked {
        /// The time until then.
        retry_after: ClockTime,
    },
}

/// The blocked parts of all services, and the evidence for and against parts.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::{AttemptProgress, CrashReport, PartQuarantine, PartVerdict};
///
/// let mut quarantine = PartQuarantine::default();
/// let now = ClockTime::from_millis(1_000);
/// for engine in ["e1", "e2"] {
///     quarantine.record_crash(&CrashReport {
///         service: "scribe".into(),
///         engine: engine.into(),
///         parts: vec!["5c1e".into()],
///         progress: AttemptProgress::Begun,
///     }, now);
/// }
/// let check = |parts: &[&'static str]| {
///     let parts: Vec<_> = parts.iter().map(|part| (*part).into()).collect();
///     quarantine.check(&"scribe".into(), &parts, now, |_| Some(0))
/// };
/// assert!(matches!(check(&["0a", "5c1e"]), PartVerdict::Blocked { .. }));
/// assert_eq!(check(&["0a"]), PartVerdict::Allowed);
/// ```
#[derive(Debug, Default)]
pub struct PartQuarantine {
    sound: SoundParts,
    evidence: CrashEvidence,
    blocks: Vec<KnownBlock>,
}

impl PartQuarantine {
    /// Records that a response with these parts has gone on for a while; returns the blocks
    /// that are lifted by it.
    pub fn record_sound(
        &mut self,
        service: &ServiceName,
        parts: &[FastStr],
        now: ClockTime,
    ) -> Vec<PartBlock> {
        self.sound.record(service, parts, now);
        let sound = &self.sound;
        let mut lifted = Vec::new();
        for known in &mut self.blocks {
            let block = &mut known.block;
            let is_sound = |part: &FastStr| sound.contains(service, part, now);
            if block.service == *service && !block.is_lifted && block.parts.iter().all(is_sound) {
                block.is_lifted = true;
                known.is_stored = false;
                lifted.push(block.clone());
            }
        }
        lifted
    }

    /// Reports whether all parts are known to be sound, so that the end of an engine says
    /// nothing about them.
    pub fn is_sound(&self, service: &ServiceName, parts: &[FastStr], now: ClockTime) -> bool {
        let mut parts = parts.iter();
        parts.all(|part| self.sound.contains(service, part, now))
    }

    /// Records the end of an engine, as this VM or another one has seen it; returns the
    /// blocks that follow from it.
    pub fn record_crash(&mut self, report: &CrashReport, now: ClockTime) -> Vec<PartBlock> {
        let service = &report.service;
        let parts = report.parts.iter();
        let parts = parts.filter(|part| !self.sound.contains(service, part, now));
        let report = CrashReport {
            parts: parts.take(MAX_REPORT_PARTS).cloned().collect(),
            service: service.clone(),
            engine: report.engine.clone(),
            progress: report.progress,
        };
        if report.parts.is_empty() {
            return Vec::new();
        }
        self.evidence.record(&report, now);
        let mut blocked = Vec::new();
        for known in self.blocks_in_force(service) {
            if known
                .block
                .parts
                .iter()
                .all(|part| report.parts.contains(part))
            {
                known.last_end_at = now;
            }
        }
        for part in &report.parts {
            let known: Vec<Vec<FastStr>> = self
                .blocks_in_force(service)
                .map(|known| known.block.parts.clone())
                .collect();
            let Some(parts) = self.evidence.suspects(service, part, &known) else {
                continue;
            };
            blocked.extend(self.block(service, parts, now));
        }
        blocked
    }

    fn blocks_in_force<'a>(
        &'a mut self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a mut KnownBlock> {
        let blocks = self.blocks.iter_mut();
        blocks.filter(move |known| known.block.service == *service && !known.block.is_lifted)
    }

    /// Blocks parts, unless they or fewer of them are blocked already.
    fn block(
        &mut self,
        service: &ServiceName,
        parts: Vec<FastStr>,
        now: ClockTime,
    ) -> Option<PartBlock> {
        let earlier = self
            .blocks
            .iter()
            .map(|known| &known.block)
            .find(|block| block.service == *service && block.parts == parts);
        if earlier.is_some_and(|block| !block.is_lifted) {
            return None;
        }
        let block = PartBlock {
            service: service.clone(),
            parts,
            round: earlier.map_or(0, |block| block.round + 1),
            is_lifted: false,
            // Parts that were blocked by mistake before are not probed more often.
            failed_probes: earlier.map_or(0, |block| block.failed_probes),
        };
        self.insert(block.clone(), now, false).then_some(block)
    }

    /// Adds or replaces a block; reports whether it was news.
    fn insert(&mut self, block: PartBlock, last_end_at: ClockTime, is_stored: bool) -> bool {
        if self.blocks.iter().any(|known| known.block.covers(&block)) {
            return false;
        }
        self.blocks.retain(|known| !block.covers(&known.block));
        if let Some(known) = self
            .blocks
            .iter_mut()
            .find(|known| known.block.is_of(&block))
        {
            known.is_stored |= is_stored && known.block == block;
            if block.progress() <= known.block.progress() {
                return false;
            }
            known.last_end_at = known.last_end_at.max(last_end_at);
            known.is_stored = is_stored;
            known.block = block;
            return true;
        }
        if self.blocks.len() == MAX_BLOCKS {
            let oldest = self.blocks.iter().enumerate();
            let oldest = oldest.min_by_key(|(_, known)| known.last_end_at);
            if let Some((index, _)) = oldest {
                self.blocks.swap_remove(index);
            }
        }
        self.blocks.push(KnownBlock {
            block,
            last_end_at,
            is_probed: false,
            is_stored,
        });
        true
    }

    /// Records a block that another VM or the store knows, with the time since the last end
    /// under its parts; reports whether it was news.
    pub fn merge(
        &mut self,
        block: PartBlock,
        age: ClockTime,
        is_stored: bool,
        now: ClockTime,
    ) -> bool {
        let last_end_at = now.since(age);
        self.insert(block, last_end_at, is_stored)
    }

    /// Returns whether a request may be sent. `probe_turn` tells when it is this VM's turn to
    /// probe a block, counted from 0; one VM of the fleet has each turn.
    pub fn check(
        &self,
        service: &ServiceName,
        parts: &[FastStr],
        now: ClockTime,
        probe_turn: impl Fn(&PartBlock) -> Option<usize>,
    ) -> PartVerdict {
        let mut verdict = PartVerdict::Allowed;
        for known in self.blocks.iter().filter(|known| !known.block.is_lifted) {
            if known.block.service != *service || !self.matches(&known.block, parts, now) {
                continue;
            }
            let probe_at = known.probe_at();
            let turn = probe_turn(&known.block);
            let is_due = turn.is_some_and(|turn| now >= probe_at + delay_of_turn(turn));
            if !is_due || known.is_probed {
                let retry_after = probe_at.since(now).max(FIRST_PROBE_DELAY);
                return PartVerdict::Blocked { retry_after };
            }
            verdict = PartVerdict::Probe(known.block.clone());
        }
        verdict
    }

    /// Reports whether a request has all parts of a block that are not sound.
    fn matches(&self, block: &PartBlock, parts: &[FastStr], now: ClockTime) -> bool {
        let is_unsound = |part: &&FastStr| !self.sound.contains(&block.service, part, now);
        let mut unsound = block.parts.iter().filter(is_unsound).peekable();
        unsound.peek().is_some() && unsound.all(|part| parts.contains(part))
    }

    /// Marks a block as probed; reports whether no other probe was on its way.
    pub fn start_probe(&mut self, block: &PartBlock) -> bool {
        let known = self
            .blocks
            .iter_mut()
            .find(|known| known.block.is_of(block));
        known.is_some_and(|known| !std::mem::replace(&mut known.is_probed, true))
    }

    /// Records the end of a probe; returns the block if the probe ended an engine.
    pub fn end_probe(
        &mut self,
        block: &PartBlock,
        has_crashed: bool,
        now: ClockTime,
    ) -> Option<PartBlock> {
        let known = self
            .blocks
            .iter_mut()
            .find(|known| known.block.is_of(block))?;
        known.is_probed = false;
        if !has_crashed || known.block.is_lifted {
            return None;
        }
        known.block.failed_probes += 1;
        known.last_end_at = now;
        known.is_stored = false;
        Some(known.block.clone())
    }

    /// Returns all blocks, each with the time since the last end under its parts and whether
    /// the store has it.
    pub fn blocks(&self, now: ClockTime) -> Vec<(PartBlock, ClockTime, bool)> {
        let blocks = self.blocks.iter();
        let shared = blocks.map(|known| {
            let age = now.since(known.last_end_at);
            (known.block.clone(), age, known.is_stored)
        });
        shared.collect()
    }

    /// Returns the number of blocks in force.
    pub fn count(&self) -> usize {
        let blocks = self.blocks.iter();
        blocks.filter(|known| !known.block.is_lifted).count()
    }

    /// Records that the store has a block in this state.
    pub fn mark_stored(&mut self, block: &PartBlock) {
        let known = self.blocks.iter_mut().find(|known| known.block == *block);
        if let Some(known) = known {
            known.is_stored = true;
        }
    }

    /// Records that the store may have lost all blocks.
    pub fn mark_all_unstored(&mut self) {
        self.blocks
            .iter_mut()
            .for_each(|known| known.is_stored = false);
    }
}
