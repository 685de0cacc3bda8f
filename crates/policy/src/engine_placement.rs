//! Selects the engine of a prompt, or of a copy, from the ledgers of a few engines.
//!
//! Load pattern: many VMs choose at the same moment. The engine at which the new prompt
//! would have its first event soonest is used; one without room for the prompt and its
//! answer only if no candidate has room, since a prompt waits there until a generation ends.

use crate::engine_ledger::{expected_answer, LedgerView, MAX_TOKENS};
use skylarkshed_core::ClockTime;

/// The cost of a running generation, as a percentage of the usual prompt: it lengthens the
/// steps, and the prefill of the new prompt slows it down.
const RUNNING_COST_PERCENT: u64 = 10;
/// The time until an engine without room has room, as a percentage of the usual prompt. It
/// takes until a running generation ends, which is seconds.
const NO_ROOM_COST_PERCENT: u64 = 300;
/// Times that differ by at most this percentage of the usual prompt's time are equal: the
/// first candidate is used, at which a caller that returns finds its prompt.
const AFFINITY_PERCENT: u64 = 10;
/// From this time on, as a percentage of the usual prompt's time and beside the prompt's own,
/// engines of other zones are candidates as well.
const BUSY_PERCENT: u64 = 40;
/// Speeds of engines are bounded to this many times the usual, and its inverse.
const MAX_SPEED_FACTOR: u64 = 4;
/// Crowds at one engine within a message's time are small; the bound is for faulty answers.
const MAX_ASSIGNED_PROMPTS: usize = 64;
/// Expected times are bounded: sums of faulty figures must not overflow.
const MAX_EXPECTED: ClockTime = ClockTime::from_millis(600_000);

/// The size of a new prompt or copy, and what is usual at its service.
#[derive(Clone, Copy, Debug)]
pub struct PromptSize {
    /// The length of the prompt, or of the copy.
    pub prompt_tokens: u64,
    /// The expected length of the answer in tokens; zero if unknown.
    pub output_tokens: u64,
    /// The usual length of the service's prompts.
    pub usual_prompt: u64,
    /// The usual speed of the service's engines, in tokens per second.
    pub usual_tokens_per_s: u64,
}

/// The room that the holder of a copy must have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HolderRoom {
    /// For the copy and one more prompt of the usual length, so that copies don't make
    /// prompts wait.
    CopyAndPrompt,
    /// For the copy: those of the most urgent requests go before other prompts.
    CopyOnly,
}

impl HolderRoom {
    /// Returns the room for a request whose route has this rank among the priorities of its
    /// service: 0 is the most urgent, none if all routes have the same priority.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_policy::HolderRoom;
    ///
    /// assert_eq!(HolderRoom::for_urgency(Some(0)), HolderRoom::CopyOnly);
    /// assert_eq!(HolderRoom::for_urgency(Some(1)), HolderRoom::CopyAndPrompt);
    /// assert_eq!(HolderRoom::for_urgency(None), HolderRoom::CopyAndPrompt);
    /// ```
    pub fn for_urgency(urgency: Option<u8>) -> HolderRoom {
        match urgency {
            Some(0) => HolderRoom::CopyOnly,
            Some(_) | None => HolderRoom::CopyAndPrompt,
        }
    }
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

/// Returns the engine to use among the candidates with a view, which are in the order in
/// which the prompt's hash ranks them; `cached` tells which are known to have the prompt.
///
/// Engines with room go before those without, then the soonest first event. The first of
/// nearly equal candidates is used.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::{choose_by_time, LedgerView, PromptSize};
///
/// let size = PromptSize {
///     prompt_tokens: 8_000,
///     output_tokens: 800,
///     usual_prompt: 8_000,
///     usual_tokens_per_s: 8_000,
/// };
/// let full = LedgerView { free_tokens: Some(1_000), ..LedgerView::default() };
/// let busy = LedgerView { due_tokens: 16_000, free_tokens: Some(20_000), ..full };
/// let choice = choose_by_time(&[Some(full), None, Some(busy)], &[], &size).unwrap();
/// assert_eq!((choice.index, choice.expected.as_millis()), (2, 3_000));
/// assert_eq!(choose_by_time(&[None], &[], &size), None);
/// ```
pub fn choose_by_time(
    views: &[Option<LedgerView>],
    cached: &[bool],
    size: &PromptSize,
) -> Option<EngineChoice> {
    let choices = views.iter().enumerate();
    let choices = choices.filter_map(|(index, view)| {
        let is_cached = cached.get(index).copied().unwrap_or(false);
        Some(size.choice(index, view.as_ref()?, is_cached))
    });
    choose_first(choices.collect(), size)
}

/// Returns the time until a new prompt would have its first event at an engine.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::{expected_first_event, LedgerView, PromptSize};
///
/// let size = PromptSize {
///     prompt_tokens: 8_000,
///     output_tokens: 800,
///     usual_prompt: 8_000,
///     usual_tokens_per_s: 8_000,
/// };
/// let idle = LedgerView::default();
/// assert_eq!(expected_first_event(&idle, &size).as_millis(), 1_000);
/// let slow = LedgerView { running: 5, tokens_per_s: Some(4_000), ..idle };
/// assert_eq!(expected_first_event(&slow, &size).as_millis(), 3_000);
/// ```
pub fn expected_first_event(view: &LedgerView, size: &PromptSize) -> ClockTime {
    size.choice(0, view, false).expected
}

/// Reports whether even the best candidate is so busy that engines of other zones should be
/// candidates as well: another prompt has to be prefilled first, or none has room.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::{are_ledgers_busy, LedgerView, PromptSize};
///
/// let size = PromptSize {
///     prompt_tokens: 8_000,
///     output_tokens: 800,
///     usual_prompt: 8_000,
///     usual_tokens_per_s: 8_000,
/// };
/// let busy = LedgerView { due_tokens: 8_000, ..LedgerView::default() };
/// assert!(are_ledgers_busy(&[Some(busy), None], &size));
/// assert!(!are_ledgers_busy(&[Some(busy), Some(LedgerView::default())], &size));
/// ```
pub fn are_ledgers_busy(views: &[Option<LedgerView>], size: &PromptSize) -> bool {
    let Some(best) = choose_by_time(views, &[], size) else {
        return true;
    };
    let view = views[best.index].unwrap_or_default();
    let busy = size.prompt_tokens + size.usual_prompt * BUSY_PERCENT / 100;
    // A slow engine that is idle is not busy, nor is a fast one that still is in time.
    let tokens_per_s = size.speed(&view).min(size.usual_tokens_per_s);
    !best.has_room || best.expected >= size.duration(busy, tokens_per_s)
}

/// Returns the engine to use instead of the chosen one, if the prompts that others placed there
/// since its view, `placed_tokens` in total, made another candidate better.
///
/// The others have seen the same loads and follow the same rule, so not all of their prompts
/// stay at the chosen engine, and not all that leave it may go to the same one. Their prompts
/// are assigned one after another before the new one: the first stays, as nothing was placed
/// before it.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::{choose_by_time, revise_choice, LedgerView, PromptSize};
///
/// let size = PromptSize {
///     prompt_tokens: 8_000,
///     output_tokens: 800,
///     usual_prompt: 8_000,
///     usual_tokens_per_s: 8_000,
/// };
/// let idle = LedgerView::default();
/// let views = [Some(idle), Some(LedgerView { running: 3, ..idle })];
/// let choice = choose_by_time(&views, &[], &size).unwrap();
/// assert_eq!(revise_choice(&choice, &views, 0, &size), None);
/// let next = revise_choice(&choice, &views, 8_000, &size).unwrap();
/// assert_eq!(next.index, 1);
/// // The second prompt went to the other engine, so the third one stays.
/// assert_eq!(revise_choice(&choice, &views, 16_000, &size), None);
/// ```
pub fn revise_choice(
    choice: &EngineChoice,
    views: &[Option<LedgerView>],
    placed_tokens: u64,
    size: &PromptSize,
) -> Option<EngineChoice> {
    let first_view = views.get(choice.index)?.as_ref()?;
    if placed_tokens == 0 {
        return None;
    }
    let other_size = PromptSize {
        prompt_tokens: size.usual_prompt,
        output_tokens: 0,
        ..*size
    };
    let prompt = size.usual_prompt.clamp(1, MAX_TOKENS);
    let mut views = views.to_vec();
    let mut left = placed_tokens.min(MAX_TOKENS);
    for number in 0..MAX_ASSIGNED_PROMPTS {
        // The last one stands for all that are left, so that none is forgotten.
        let tokens = match number + 1 < MAX_ASSIGNED_PROMPTS {
            true => left.min(prompt),
            false => left,
        };
        let current = other_size.choice(choice.index, views[choice.index].as_ref()?, false);
        let next = other_size.better_choice(&current, &views);
        let next = next.filter(|_| number > 0 && number + 1 < MAX_ASSIGNED_PROMPTS);
        let index = next.map_or(choice.index, |next| next.index);
        views[index] = views[index].map(|view| view.with_prompts(tokens));
        left -= tokens;
        if left == 0 {
            break;
        }
    }
    let view = views[choice.index].as_ref()?;
    let added = view.due_tokens.saturating_sub(first_view.due_tokens);
    let current = EngineChoice {
        index: choice.index,
        // The choice knew whether the engine has the prompt in its cache.
        expected: choice.expected + size.duration(added, size.speed(view)),
        has_room: size.has_room(view, false),
    };
    size.better_choice(&current, &views)
}

/// Returns the candidate that is to hold a copy of this size: the one with the most room, or
/// none if no candidate has the `room`. Engines whose room is unknown come last, suspect ones
/// are left out.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::{choose_holder, HolderRoom, LedgerView, PromptSize};
///
/// let size = PromptSize {
///     prompt_tokens: 8_200,
///     output_tokens: 500,
///     usual_prompt: 8_000,
///     usual_tokens_per_s: 8_000,
/// };
/// let with_room = |free| Some(LedgerView { free_tokens: Some(free), ..LedgerView::default() });
/// let room = HolderRoom::CopyAndPrompt;
/// assert_eq!(choose_holder(&[with_room(20_000), with_room(40_000)], &size, room), Some(1));
/// assert_eq!(choose_holder(&[with_room(12_000), None], &size, room), None);
/// let room = HolderRoom::CopyOnly;
/// assert_eq!(choose_holder(&[with_room(12_000), None], &size, room), Some(0));
/// ```
pub fn choose_holder(
    views: &[Option<LedgerView>],
    size: &PromptSize,
    room: HolderRoom,
) -> Option<usize> {
    let needed = size.prompt_tokens
        + match room {
            HolderRoom::CopyAndPrompt => size.usual_prompt + expected_answer(size.usual_prompt, 0),
            HolderRoom::CopyOnly => 0,
        };
    let mut best: Option<(u64, usize)> = None;
    for (index, view) in views.iter().enumerate() {
        let Some(view) = view.as_ref().filter(|view| !view.is_suspect) else {
            continue;
        };
        let free = view.free_tokens.unwrap_or(needed);
        let is_known = view.free_tokens.is_some();
        let rank = free.saturating_add(u64::from(is_known));
        if free >= needed && best.is_none_or(|(highest, _)| rank > highest) {
            best = Some((rank, index));
        }
    }
    best.map(|(_, index)| index)
}

impl LedgerView {
    /// Returns the view after prompts of this total length were placed at the engine.
    fn with_prompts(self, tokens: u64) -> LedgerView {
        let taken = tokens + expected_answer(tokens, 0);
        LedgerView {
            due_tokens: self.due_tokens.saturating_add(tokens),
            free_tokens: self.free_tokens.map(|free| free.saturating_sub(taken)),
            ..self
        }
    }
}

impl PromptSize {
    /// Returns the best other candidate, if it is clearly better than the current one.
    fn better_choice(
        &self,
        current: &EngineChoice,
        views: &[Option<LedgerView>],
    ) -> Option<EngineChoice> {
        let others = views.iter().enumerate();
        let others = others.map(|(index, view)| view.filter(|_| index != current.index));
        let others: Vec<Option<LedgerView>> = others.collect();
        let next = choose_by_time(&others, &[], self)?;
        let is_better = match next.has_room == current.has_room {
            true => next.expected + self.affinity() < current.expected,
            false => next.has_room,
        };
        is_better.then_some(next)
    }

    fn choice(&self, index: usize, view: &LedgerView, is_cached: bool) -> EngineChoice {
        let own = match is_cached {
            true => 0,
            false => self.prompt_tokens,
        };
        let suspicion = match view.is_suspect {
            true => self.usual_prompt,
            false => 0,
        };
        let has_room = self.has_room(view, is_cached);
        let shortage = match has_room {
            true => 0,
            false => self.usual_prompt.saturating_mul(NO_ROOM_COST_PERCENT) / 100,
        };
        let running = (self.usual_prompt * RUNNING_COST_PERCENT / 100).saturating_mul(view.running);
        let parts = [view.due_tokens, running, suspicion, shortage, own];
        let tokens = parts.into_iter().fold(0, u64::saturating_add);
        EngineChoice {
            index,
            expected: self.duration(tokens, self.speed(view)),
            has_room,
        }
    }

    /// Reports whether the prompt and its answer fit; a cached prompt has its room already.
    fn has_room(&self, view: &LedgerView, is_cached: bool) -> bool {
        let answer = expected_answer(self.prompt_tokens, self.output_tokens);
        let needed = match is_cached {
            true => answer,
            false => self.prompt_tokens.saturating_add(answer),
        };
        view.free_tokens.is_none_or(|free| free >= needed)
    }

    fn speed(&self, view: &LedgerView) -> u64 {
        let usual = self.usual_tokens_per_s;
        let bounds = (
            usual / MAX_SPEED_FACTOR,
            usual.saturating_mul(MAX_SPEED_FACTOR),
        );
        view.tokens_per_s.unwrap_or(usual).clamp(bounds.0, bounds.1)
    }

    fn duration(&self, tokens: u64, tokens_per_s: u64) -> ClockTime {
        let millis = tokens.saturating_mul(1_000) / tokens_per_s.max(1);
        ClockTime::from_millis(millis).min(MAX_EXPECTED)
    }

    /// Returns the difference below which two times are equal.
    fn affinity(&self) -> ClockTime {
        let tokens = self.usual_prompt * AFFINITY_PERCENT / 100;
        self.duration(tokens, self.usual_tokens_per_s)
    }
}

/// Returns the first choice that is nearly as good as the best.
fn choose_first(choices: Vec<EngineChoice>, size: &PromptSize) -> Option<EngineChoice> {
    let best = choices
        .iter()
        .min_by_key(|choice| (!choice.has_room, choice.expected))?;
    let limit = best.expected + size.affinity();
    let is_near =
        |choice: &EngineChoice| choice.has_room == best.has_room && choice.expected <= limit;
    choices.iter().copied().find(is_near)
}
