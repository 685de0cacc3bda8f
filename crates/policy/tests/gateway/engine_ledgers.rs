//! What the owner of an engine's ledger knows of the engine's load.

use rstest::rstest;
use skylarkshed_core::ClockTime;
use skylarkshed_policy::{
    choose_by_time, choose_holder, expected_first_event, revise_choice, EngineLedger, EngineLoad,
    EngineRun, HolderRoom, LedgerView, PlacedWork, PromptEvent, PromptSize, WorkKind,
};

const SIZE: PromptSize = PromptSize {
    prompt_tokens: 8_000,
    output_tokens: 0,
    usual_prompt: 8_000,
    usual_tokens_per_s: 8_000,
};

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn work(request: &'static str, kind: WorkKind) -> PlacedWork {
    PlacedWork {
        placement: placement_of(request, kind),
        request: request.into(),
        kind,
        prompt_tokens: 8_000,
        output_tokens: 500,
    }
}

fn placement_of(request: &str, kind: WorkKind) -> u64 {
    let kind = u64::from(kind == WorkKind::Copy);
    request.bytes().map(u64::from).sum::<u64>() * 2 + kind
}

fn placed_work(number: u64, kind: WorkKind) -> PlacedWork {
    PlacedWork {
        placement: number,
        request: number.to_string().into(),
        ..work("", kind)
    }
}

fn free(tokens: u64) -> EngineLoad {
    EngineLoad {
        free_tokens: Some(tokens),
        ..EngineLoad::default()
    }
}

/// Guards against prompts that count too short, so that others join them, or too long, so
/// that an idle engine stays idle.
#[rstest]
#[case::early_report(Some(1_299), None, 1_400, 8_000)]
#[case::covering_report(Some(1_300), None, 1_400, 0)]
#[case::first_event(None, Some(PromptEvent::FirstEvent { elapsed: at(200) }), 1_400, 0)]
#[case::end(None, Some(PromptEvent::Ended), 1_400, 0)]
#[case::dead_vm(None, None, 11_000, 0)]
#[case::waiting(None, None, 10_999, 8_000)]
fn a_placed_prompt_is_due_until_it_is_reported_started_or_ended(
    #[case] reported_at: Option<u64>,
    #[case] event: Option<PromptEvent>,
    #[case] now: u64,
    #[case] due_tokens: u64,
) {
    let mut ledger = EngineLedger::default();
    ledger.place(work("a", WorkKind::Prompt), at(1_000));
    if let Some(asked_at) = reported_at {
        ledger.record_report(&free(88_000), at(asked_at));
    }
    if let Some(event) = event {
        ledger.record_event(placement_of("a", WorkKind::Prompt), event, at(1_200));
    }
    assert_eq!(ledger.view(at(now), 8_000).due_tokens, due_tokens);
}

/// Guards against answers without room: engines then preempt the newest request, and
/// prefill it again.
#[test]
fn room_counts_all_that_is_placed_and_the_rest_of_the_answers() {
    let mut ledger = EngineLedger::default();
    ledger.record_report(&free(50_000), at(1_000));
    ledger.place(work("a", WorkKind::Prompt), at(1_010));
    ledger.place(work("b", WorkKind::Copy), at(1_020));
    let view = ledger.view(at(1_030), 8_000);
    assert_eq!((view.free_tokens, view.due_tokens), (Some(33_500), 8_000));
    let run = EngineRun {
        request: "a".into(),
        tokens: 8_100,
    };
    let load = EngineLoad {
        running: 1,
        waiting: 1,
        runs: vec![run],
        used_tokens: 8_100,
        ..free(33_900)
    };
    ledger.record_report(&load, at(1_400));
    let view = ledger.view(at(1_400), 8_000);
    assert_eq!((view.free_tokens, view.running), (Some(25_500), 1));
}

/// Guards against engines that are left out, or get all prompts, for a faulty report.
#[test]
fn absurd_figures_count_as_unknown() {
    let mut ledger = EngineLedger::default();
    ledger.place(work("a", WorkKind::Prompt), at(1_000));
    let absurd = EngineLoad {
        waiting: 100_000_000,
        free_tokens: Some(100_000_000),
        ..EngineLoad::default()
    };
    ledger.record_report(&absurd, at(1_500));
    let view = ledger.view(at(1_500), 8_000);
    assert!(ledger.has_absurd_report());
    assert_eq!((view.due_tokens, view.free_tokens), (8_000, None));
    assert_eq!(expected_first_event(&view, &SIZE), at(2_000));
}

/// Guards against sums that overflow for a faulty answer of another VM.
#[test]
fn absurd_views_are_the_last_choice() {
    let absurd = LedgerView {
        due_tokens: u64::MAX,
        running: u64::MAX,
        free_tokens: Some(u64::MAX),
        ..LedgerView::default()
    };
    let views = [Some(absurd), Some(LedgerView::default())];
    assert_eq!(choose_by_time(&views, &[], &SIZE).unwrap().index, 1);
    let choice = choose_by_time(&views[..1], &[], &SIZE).unwrap();
    let next = revise_choice(&choice, &views, u64::MAX, &SIZE);
    assert_eq!(next.map(|next| next.index), Some(1));
    assert_eq!(
        choose_holder(&views, &SIZE, HolderRoom::CopyAndPrompt),
        Some(0)
    );
}

/// Guards against a slow engine that gets as many prompts as the others, and against one
/// that gets none for good after it was slow.
#[test]
fn speed_is_learned_from_prompts_without_others_and_forgotten() {
    let mut ledger = EngineLedger::default();
    let mut play = |number: u64, is_disturbed: bool, elapsed: u64| {
        let now = number * 10_000;
        ledger.place(placed_work(2 * number, WorkKind::Prompt), at(now));
        if is_disturbed {
            ledger.place(placed_work(2 * number + 1, WorkKind::Prompt), at(now + 1));
        }
        let event = PromptEvent::FirstEvent {
            elapsed: at(elapsed),
        };
        ledger.record_event(2 * number, event, at(now + elapsed));
        ledger.record_event(2 * number, PromptEvent::Ended, at(now + elapsed));
        ledger.record_event(2 * number + 1, PromptEvent::Ended, at(now + elapsed));
        ledger.view(at(now + elapsed), 8_000).tokens_per_s
    };
    assert_eq!(play(1, true, 2_000), None);
    assert_eq!(play(2, false, 2_000), Some(4_000));
    // One found in the cache counts as twice the speed at most.
    assert_eq!(play(3, false, 10), Some(5_000));
    let view = ledger.view(at(60_010), 8_000);
    assert_eq!(
        (view.tokens_per_s, ledger.is_unused(at(60_010))),
        (None, true)
    );
    let stuck = LedgerView {
        tokens_per_s: Some(1),
        ..view
    };
    assert_eq!(expected_first_event(&stuck, &SIZE), at(4_000));
}

#[test]
fn returning_callers_find_their_prompt_unless_another_engine_is_clearly_sooner() {
    let view = |due_tokens| {
        Some(LedgerView {
            due_tokens,
            ..LedgerView::default()
        })
    };
    let index = |views: &[_], cached: &[bool]| choose_by_time(views, cached, &SIZE).unwrap().index;
    assert_eq!(index(&[view(700), view(0)], &[]), 0);
    assert_eq!(index(&[view(900), view(0)], &[]), 1);
    assert_eq!(index(&[view(0), view(4_000)], &[false, true]), 1);
}

/// Guards against a revision that moves a prompt from a busy engine to a full one.
#[test]
fn a_choice_is_revised_only_for_a_better_engine() {
    let view = |free| LedgerView {
        free_tokens: Some(free),
        ..LedgerView::default()
    };
    let views = [Some(view(30_000)), Some(view(1_000))];
    let choice = choose_by_time(&views, &[], &SIZE).unwrap();
    assert_eq!(revise_choice(&choice, &views, 16_000, &SIZE), None);
    // The first engine's room is taken, the other one has room.
    let views = [Some(view(15_000)), Some(view(10_000))];
    let next = revise_choice(&choice, &views, 8_000, &SIZE).unwrap();
    assert_eq!((next.index, next.has_room), (1, true));
    // The second prompt of the others takes the room of the other engine.
    let views = [Some(view(60_000)), Some(view(10_000))];
    assert_eq!(revise_choice(&choice, &views, 24_000, &SIZE), None);
}

/// Guards against a crowd that moves from one engine to the next: all VMs choose from the
/// same views, and each is told what was placed before its own prompt.
#[test]
fn a_crowd_of_the_same_millisecond_spreads_over_the_candidates() {
    let mut ledgers: [EngineLedger; 3] = Default::default();
    let views = [0; 3].map(|_| Some(LedgerView::default()));
    let mut prompts = [0; 3];
    for number in 0..9 {
        let choice = choose_by_time(&views, &[], &SIZE).unwrap();
        let ledger = &mut ledgers[choice.index];
        let placed = ledger.placed_tokens_since(views[choice.index].unwrap().placed_total);
        ledger.place(placed_work(number, WorkKind::Prompt), at(1_000));
        let next = revise_choice(&choice, &views, placed, &SIZE);
        if next.is_some() {
            // It leaves the first engine at once, before the others place theirs.
            ledger.record_event(number, PromptEvent::Ended, at(1_000));
        }
        prompts[next.unwrap_or(choice).index] += 1;
    }
    assert_eq!(prompts, [3, 3, 3]);
}

/// Guards against placements that are missed, or counted twice, because they fall into the
/// same millisecond as the view.
#[test]
fn placements_of_the_millisecond_of_a_view_are_told_apart() {
    let mut ledger = EngineLedger::default();
    ledger.place(placed_work(1, WorkKind::Prompt), at(1_000));
    let view = ledger.view(at(1_000), 8_000);
    assert_eq!(ledger.placed_tokens_since(view.placed_total), 0);
    ledger.place(placed_work(2, WorkKind::Copy), at(1_000));
    ledger.place(placed_work(3, WorkKind::Prompt), at(1_000));
    assert_eq!(ledger.placed_tokens_since(view.placed_total), 8_000);
    // The owner was restarted.
    assert_eq!(EngineLedger::default().placed_tokens_since(8_000), 0);
}

/// Guards against copies that take the room of prompts.
#[test]
fn a_copy_goes_where_it_leaves_room_for_a_prompt() {
    let view = |free_tokens| {
        Some(LedgerView {
            free_tokens,
            ..LedgerView::default()
        })
    };
    let holder = |views: &[_]| choose_holder(views, &SIZE, HolderRoom::CopyAndPrompt);
    assert_eq!(
        holder(&[view(Some(17_000)), view(Some(30_000)), None]),
        Some(1)
    );
    assert_eq!(holder(&[view(Some(16_700))]), None);
    assert_eq!(holder(&[view(None), view(Some(17_000))]), Some(1));
}

/// Guards against urgent streams without a copy while the engines are nearly full, and against
/// copies that don't fit: the engine would preempt requests for them.
#[rstest]
#[case::just_fits(Some(0), 8_000, Some(0))]
#[case::does_not_fit(Some(0), 7_999, None)]
#[case::less_urgent(Some(1), 8_000, None)]
#[case::one_priority(None, 8_000, None)]
fn the_most_urgent_copy_needs_no_room_for_a_prompt(
    #[case] urgency: Option<u8>,
    #[case] free_tokens: u64,
    #[case] holder: Option<usize>,
) {
    let view = LedgerView {
        free_tokens: Some(free_tokens),
        ..LedgerView::default()
    };
    let room = HolderRoom::for_urgency(urgency);
    assert_eq!(choose_holder(&[Some(view)], &SIZE, room), holder);
}

/// Guards against prompts that count for 10 s although they have ended: messages of one VM
/// may overtake each other, and arrive twice.
#[test]
fn a_placement_that_arrives_after_its_end_is_ignored() {
    let mut ledger = EngineLedger::default();
    for number in 1..3 {
        ledger.record_event(number, PromptEvent::Ended, at(1_000));
        ledger.place(placed_work(number, WorkKind::Prompt), at(1_005));
        ledger.place(placed_work(number, WorkKind::Prompt), at(1_010));
    }
    assert_eq!(ledger.view(at(1_020), 8_000).due_tokens, 0);
    // The request comes to the same engine again; its first placement ends once more.
    let again = PlacedWork {
        placement: 9,
        ..placed_work(1, WorkKind::Prompt)
    };
    ledger.place(again, at(1_030));
    ledger.record_event(1, PromptEvent::Ended, at(1_040));
    assert_eq!(ledger.view(at(1_050), 8_000).due_tokens, 8_000);
}

/// Guards against a prompt that is forgotten when the copy of the same request, at the engine
/// to which the stream has moved, is given up.
#[test]
fn the_end_of_a_copy_leaves_the_prompt_of_the_same_request() {
    let mut ledger = EngineLedger::default();
    ledger.place(work("a", WorkKind::Copy), at(1_000));
    ledger.place(work("a", WorkKind::Prompt), at(1_010));
    let copy = placement_of("a", WorkKind::Copy);
    ledger.record_event(copy, PromptEvent::Ended, at(1_020));
    assert_eq!(ledger.view(at(1_030), 8_000).due_tokens, 8_000);
}

/// Guards against a faulty VM that fills the memory of an owner, and makes each question scan
/// all that it has placed.
#[test]
fn a_flood_of_placements_is_bounded() {
    let mut ledger = EngineLedger::default();
    for number in 0..5_000 {
        ledger.place(placed_work(number, WorkKind::Prompt), at(1_000));
    }
    assert_eq!(ledger.view(at(1_000), 8_000).due_tokens, 1_024 * 8_000);
}
