//! Claims: no call runs twice, for any sequence of VM requests and store faults.

use crate::fuzz_config::fuzz_config;
use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use skylarkshed_core::IncarnationId;
use skylarkshed_policy::{
    ClaimAction, ClaimInput, ClaimMachine, ClaimRow, ClaimState, StoredResponse,
};
use std::collections::BTreeMap;

const KEYS: usize = 3;

/// The outcome of a request to the table.
#[derive(Clone, Copy, Debug)]
enum TableOutcome {
    Works,
    Unavailable,
    /// The request takes effect, but its reply is lost.
    ReplyLost,
    /// The reply is lost and the request takes effect later.
    Delayed,
}

/// A transition of the test.
#[derive(Clone, Debug)]
enum ClaimEvent {
    /// A VM receives a request with a key.
    Request { vm: u64, key: usize },
    /// A claim's next request reaches the table.
    Step { index: usize, outcome: TableOutcome },
    /// A delayed write takes effect.
    TakeEffect,
    /// A call that was sent gets a response.
    Respond { index: usize, outcome: TableOutcome },
    /// A granted claim releases its key without sending the call.
    Release { index: usize, outcome: TableOutcome },
    /// A VM repeats its final write, as after a lost reply.
    RepeatWrite { index: usize },
}

struct ClaimEvents;

impl ReferenceStateMachine for ClaimEvents {
    type State = ();
    type Transition = ClaimEvent;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_state: &()) -> BoxedStrategy<ClaimEvent> {
        let index = 0..6_usize;
        let outcome = prop_oneof![
            5 => Just(TableOutcome::Works),
            1 => Just(TableOutcome::Unavailable),
            1 => Just(TableOutcome::ReplyLost),
            1 => Just(TableOutcome::Delayed),
        ];
        prop_oneof![
            3 => (1..4_u64, 0..KEYS).prop_map(|(vm, key)| ClaimEvent::Request { vm, key }),
            6 => (index.clone(), outcome.clone())
                .prop_map(|(index, outcome)| ClaimEvent::Step { index, outcome }),
            2 => Just(ClaimEvent::TakeEffect),
            2 => (index.clone(), outcome.clone())
                .prop_map(|(index, outcome)| ClaimEvent::Respond { index, outcome }),
            2 => (index.clone(), outcome)
                .prop_map(|(index, outcome)| ClaimEvent::Release { index, outcome }),
            1 => index.prop_map(|index| ClaimEvent::RepeatWrite { index }),
        ]
        .boxed()
    }

    fn apply((): (), _transition: &ClaimEvent) {}
}

/// A conditional write of a row.
#[derive(Clone)]
struct RowWrite {
    key: usize,
    version: u64,
    row: ClaimRow,
}

struct OpenClaim {
    key: usize,
    machine: ClaimMachine,
    action: ClaimAction,
}

/// The table, the claims in progress, and the oracle: how often each key ran.
#[derive(Default)]
struct FuzzTable {
    rows: BTreeMap<usize, (ClaimRow, u64)>,
    delayed: Vec<RowWrite>,
    open: Vec<OpenClaim>,
    granted: Vec<OpenClaim>,
    finished: Vec<RowWrite>,
    runs: [u32; KEYS],
    serial: u64,
}

impl FuzzTable {
    fn write(&mut self, write: RowWrite, outcome: TableOutcome) -> ClaimInput {
        match outcome {
            TableOutcome::Unavailable => ClaimInput::Unavailable,
            TableOutcome::Delayed => {
                self.delayed.push(write);
                ClaimInput::ReplyLost
            }
            TableOutcome::ReplyLost => {
                self.take_effect(&write);
                ClaimInput::ReplyLost
            }
            TableOutcome::Works if self.take_effect(&write) => ClaimInput::Inserted,
            TableOutcome::Works => ClaimInput::AlreadyExists,
        }
    }

    fn take_effect(&mut self, write: &RowWrite) -> bool {
        let version = self.rows.get(&write.key).map_or(0, |(_, version)| *version);
        if version != write.version {
            return false;
        }
        self.rows
            .insert(write.key, (write.row.clone(), version + 1));
        true
    }

    fn read(&self, key: usize, outcome: TableOutcome) -> ClaimInput {
        match outcome {
            TableOutcome::Works => ClaimInput::RowRead(self.rows.get(&key).cloned()),
            _ => ClaimInput::RowUnreadable,
        }
    }

    fn step(&mut self, index: usize, outcome: TableOutcome) {
        if index >= self.open.len() {
            return;
        }
        let mut claim = self.open.swap_remove(index);
        let input = match claim.action.clone() {
            ClaimAction::Write(row, version) => self.write(
                RowWrite {
                    key: claim.key,
                    version,
                    row,
                },
                outcome,
            ),
            ClaimAction::Read => self.read(claim.key, outcome),
            _ => return,
        };
        claim.action = claim.machine.handle(input);
        match claim.action {
            ClaimAction::Write(..) | ClaimAction::Read => self.open.push(claim),
            ClaimAction::Send => self.granted.push(claim),
            _ => {}
        }
    }

    /// Finishes a granted claim: the call ran and got a response, or was not sent.
    fn finish(&mut self, index: usize, state: ClaimState, outcome: TableOutcome) {
        if index >= self.granted.len() {
            return;
        }
        let claim = self.granted.swap_remove(index);
        if state != ClaimState::Released {
            self.runs[claim.key] += 1;
        }
        let row = ClaimRow {
            state,
            ..claim.machine.row().clone()
        };
        let version = claim.machine.row_version();
        let write = RowWrite {
            key: claim.key,
            version,
            row,
        };
        self.finished.push(write.clone());
        self.write(write, outcome);
    }
}

struct ClaimTest;

impl StateMachineTest for ClaimTest {
    type SystemUnderTest = FuzzTable;
    type Reference = ClaimEvents;

    fn init_test((): &()) -> FuzzTable {
        FuzzTable::default()
    }

    fn apply(mut table: FuzzTable, (): &(), event: ClaimEvent) -> FuzzTable {
        match event {
            ClaimEvent::Request { vm, key } => {
                table.serial += 1;
                let request = "one request".to_owned();
                let (machine, action) =
                    ClaimMachine::start(IncarnationId(vm), table.serial, request);
                table.open.push(OpenClaim {
                    key,
                    machine,
                    action,
                });
            }
            ClaimEvent::Step { index, outcome } => table.step(index, outcome),
            ClaimEvent::TakeEffect => {
                if let Some(write) = table.delayed.pop() {
                    table.take_effect(&write);
                }
            }
            ClaimEvent::Respond { index, outcome } => {
                let response = StoredResponse {
                    status: 200,
                    body: "ran".to_owned(),
                };
                table.finish(index, ClaimState::Answered(response), outcome);
            }
            ClaimEvent::Release { index, outcome } => {
                table.finish(index, ClaimState::Released, outcome);
            }
            ClaimEvent::RepeatWrite { index } => {
                if let Some(write) = table.finished.get(index).cloned() {
                    table.take_effect(&write);
                }
            }
        }
        table
    }

    fn check_invariants(table: &FuzzTable, (): &()) {
        for (key, runs) in table.runs.iter().enumerate() {
            let granted = table
                .granted
                .iter()
                .filter(|claim| claim.key == key)
                .count();
            assert!(
                *runs as usize + granted <= 1,
                "key {key} may run more than once"
            );
        }
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config())]

    #[test]
    fn no_call_runs_twice(sequential 1..150 => ClaimTest);
}
