//! Claims: over any number of VMs and faults, no call runs twice.

use crate::fuzz_config::fuzz_config;
use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use skylarkshed_core::IncarnationId;
use skylarkshed_policy::{
    ClaimAction, ClaimInput, ClaimMachine, ClaimRow, ClaimState, StoredResponse,
};
use std::collections::BTreeMap;

const KEYS: usize = 3;

/// How a request to the table goes.
#[derive(Clone, Copy, Debug)]
enum TableFault {
    Works,
    Unavailable,
    /// It takes effect, but its reply is lost.
    ReplyLost,
    /// Its reply is lost and it takes effect later.
    Delayed,
}

/// What happens next.
#[derive(Clone, Debug)]
enum Happening {
    /// A VM gets a request with a key.
    Request { vm: u64, key: usize },
    /// A claim's next step goes to the table.
    Step { place: usize, fault: TableFault },
    /// A delayed write takes effect.
    TakeEffect,
    /// A call that was sent is answered.
    Answer { place: usize, fault: TableFault },
    /// A granted claim gives its key back without sending.
    Release { place: usize, fault: TableFault },
    /// A VM writes its last finishing write again, as after a lost reply.
    WriteAgain { place: usize },
}

struct Happenings;

impl ReferenceStateMachine for Happenings {
    type State = ();
    type Transition = Happening;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_state: &()) -> BoxedStrategy<Happening> {
        let place = 0..6_usize;
        let fault = prop_oneof![
            5 => Just(TableFault::Works),
            1 => Just(TableFault::Unavailable),
            1 => Just(TableFault::ReplyLost),
            1 => Just(TableFault::Delayed),
        ];
        prop_oneof![
            3 => (1..4_u64, 0..KEYS).prop_map(|(vm, key)| Happening::Request { vm, key }),
            6 => (place.clone(), fault.clone())
                .prop_map(|(place, fault)| Happening::Step { place, fault }),
            2 => Just(Happening::TakeEffect),
            2 => (place.clone(), fault.clone())
                .prop_map(|(place, fault)| Happening::Answer { place, fault }),
            2 => (place.clone(), fault)
                .prop_map(|(place, fault)| Happening::Release { place, fault }),
            1 => place.prop_map(|place| Happening::WriteAgain { place }),
        ]
        .boxed()
    }

    fn apply((): (), _transition: &Happening) {}
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

/// The table, the claims under way, and the oracle: how often each key ran.
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
    fn write(&mut self, write: RowWrite, fault: TableFault) -> ClaimInput {
        match fault {
            TableFault::Unavailable => ClaimInput::Unavailable,
            TableFault::Delayed => {
                self.delayed.push(write);
                ClaimInput::ReplyLost
            }
            TableFault::ReplyLost => {
                self.take_effect(&write);
                ClaimInput::ReplyLost
            }
            TableFault::Works if self.take_effect(&write) => ClaimInput::Inserted,
            TableFault::Works => ClaimInput::AlreadyExists,
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

    fn read(&self, key: usize, fault: TableFault) -> ClaimInput {
        match fault {
            TableFault::Works => ClaimInput::RowRead(self.rows.get(&key).cloned()),
            _ => ClaimInput::RowUnreadable,
        }
    }

    fn step(&mut self, place: usize, fault: TableFault) {
        if place >= self.open.len() {
            return;
        }
        let mut claim = self.open.swap_remove(place);
        let input = match claim.action.clone() {
            ClaimAction::Write(row, version) => self.write(
                RowWrite {
                    key: claim.key,
                    version,
                    row,
                },
                fault,
            ),
            ClaimAction::Read => self.read(claim.key, fault),
            _ => return,
        };
        claim.action = claim.machine.handle(input);
        match claim.action {
            ClaimAction::Write(..) | ClaimAction::Read => self.open.push(claim),
            ClaimAction::Send => self.granted.push(claim),
            _ => {}
        }
    }

    /// Ends a granted claim: the call ran and is answered, or was not sent.
    fn finish(&mut self, place: usize, state: ClaimState, fault: TableFault) {
        if place >= self.granted.len() {
            return;
        }
        let claim = self.granted.swap_remove(place);
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
        self.write(write, fault);
    }
}

struct ClaimTest;

impl StateMachineTest for ClaimTest {
    type SystemUnderTest = FuzzTable;
    type Reference = Happenings;

    fn init_test((): &()) -> FuzzTable {
        FuzzTable::default()
    }

    fn apply(mut table: FuzzTable, (): &(), happening: Happening) -> FuzzTable {
        match happening {
            Happening::Request { vm, key } => {
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
            Happening::Step { place, fault } => table.step(place, fault),
            Happening::TakeEffect => {
                if let Some(write) = table.delayed.pop() {
                    table.take_effect(&write);
                }
            }
            Happening::Answer { place, fault } => {
                let answer = StoredResponse {
                    status: 200,
                    body: "ran".to_owned(),
                };
                table.finish(place, ClaimState::Answered(answer), fault);
            }
            Happening::Release { place, fault } => {
                table.finish(place, ClaimState::Released, fault);
            }
            Happening::WriteAgain { place } => {
                if let Some(write) = table.finished.get(place).cloned() {
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
