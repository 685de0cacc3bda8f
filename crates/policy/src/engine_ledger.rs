//! Keeps what is known of one engine's load at the VM that owns the engine's ledger.
//!
//! Load pattern: many VMs choose engines at the same moment from reports that are 200 ms
//! old, so that engines are overloaded in turns while others are idle. The owner of an
//! engine's ledger adds what all VMs have placed there since the report.

use crate::engine_choice::EngineLoad;
use faststr::FastStr;
use skylarkshed_core::ClockTime;

/// Work that a VM has sent to an engine.
#[derive(Clone, Debug)]
pub struct PlacedWork {
    /// The request's identifier.
    pub request: FastStr,
    /// What the engine does with it.
    pub kind: WorkKind,
    /// The length of the prompt, or of the copy.
    pub prompt_tokens: u64,
    /// The expected length of the answer; zero if unknown.
    pub output_tokens: u64,
}

/// The kind of work that is placed at an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkKind {
    /// A prompt to prefill.
    Prompt,
    /// A copy of a KV cache, which takes room but no prefill.
    Copy,
}

/// What became of placed work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromptEvent {
    /// The first event came this time after the prompt was sent.
    FirstEvent {
        /// The time from the send to the first event.
        elapsed: ClockTime,
    },
    /// The stream ended, or left the engine.
    Ended,
}

/// The load of an engine as its owner knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LedgerView {
    /// The prompts that are due: waiting, being prefilled and placed since the report.
    pub due_tokens: u64,
    /// The running generations that have produced events.
    pub running: u64,
    /// The room of the KV cache that nothing placed is expected to take; unknown if the
    /// engine does not tell its capacity.
    pub free_tokens: Option<u64>,
    /// The speed of the engine's prefills, if it is known.
    pub tokens_per_s: Option<u64>,
    /// The time since the last report was asked for; [`ClockTime::NEVER`] without one.
    pub age: ClockTime,
    /// Whether a request of the choosing VM has just failed at the engine.
    pub is_suspect: bool,
}

/// What is known of one engine's load.
#[derive(Debug, Default)]
pub struct EngineLedger;

impl EngineLedger {
    /// Reports whether the last report is so old that the engine has to be asked.
    pub fn needs_report(&self, _now: ClockTime) -> bool {
        true
    }

    /// Records a report of the engine.
    pub fn record_report(&mut self, _load: &EngineLoad, _asked_at: ClockTime) {}

    /// Adds work that a VM sends to the engine.
    pub fn place(&mut self, _work: PlacedWork, _now: ClockTime) {}

    /// Records what became of placed work.
    pub fn record_event(&mut self, _request: &str, _event: PromptEvent, _now: ClockTime) {}

    /// Returns the engine's load; `usual_prompt` is the usual length of prompts.
    pub fn view(&self, _now: ClockTime, _usual_prompt: u64) -> LedgerView {
        LedgerView::default()
    }

    /// Returns the total length of the prompts that any VM has placed after `since`.
    pub fn placed_tokens_since(&self, _since: ClockTime) -> u64 {
        0
    }

    /// Reports whether nothing was recorded for so long that the ledger may be dropped.
    pub fn is_unused(&self, _now: ClockTime) -> bool {
        false
    }
}
