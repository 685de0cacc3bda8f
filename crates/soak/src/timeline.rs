//! When which part was disturbed, and when a VM is in touch.

use crate::bounds::SETTLE_WINDOW;
use skylarkshed_core::ClockTime;

/// The part that a disturbance affects.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Part {
    /// All processes, because the machine was busy.
    Machine,
    /// The store or all paths to it.
    Store,
    /// A VM's process or its links.
    Vm(usize),
    /// An upstream.
    Upstream(String),
}

/// A span in which a part was disturbed.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// The part.
    pub part: Part,
    /// What happened.
    pub cause: &'static str,
    /// When it began.
    pub from: ClockTime,
    /// When it ended; `NEVER` while it lasts.
    pub until: ClockTime,
    /// Whether it is planned work: a termination signal and the start after it.
    pub is_planned: bool,
}

/// All disturbances so far.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// The disturbances, in the order in which they began.
    pub disturbances: Vec<Disturbance>,
}

impl Timeline {
    /// Records the begin of a disturbance; returns its number for [`Timeline::end`].
    pub fn begin(
        &mut self,
        part: Part,
        cause: &'static str,
        from: ClockTime,
        is_planned: bool,
    ) -> usize {
        self.disturbances.push(Disturbance {
            part,
            cause,
            from,
            until: ClockTime::NEVER,
            is_planned,
        });
        self.disturbances.len() - 1
    }

    /// Records the end of a disturbance.
    pub fn end(&mut self, number: usize, until: ClockTime) {
        self.disturbances[number].until = until;
    }

    /// Reports whether a part was disturbed at some time from `from` to `until`.
    pub fn is_disturbed(&self, part: &Part, from: ClockTime, until: ClockTime) -> bool {
        self.overlapping(from, until)
            .any(|disturbance| disturbance.part == *part)
    }

    /// Reports whether a VM was in touch from `from` to `until`: neither its process and
    /// links nor the store were disturbed in that time and the settle window before it,
    /// and the machine left it enough processor time.
    pub fn is_in_touch(&self, vm: usize, from: ClockTime, until: ClockTime) -> bool {
        let from = from.since(SETTLE_WINDOW);
        let mut relevant = self.overlapping(from, until);
        // An undisturbed start is also a start.
        from > ClockTime::ZERO
            && !relevant.any(|disturbance| match &disturbance.part {
                Part::Machine | Part::Store => true,
                Part::Vm(other) => *other == vm,
                Part::Upstream(_) => false,
            })
    }

    /// Reports whether an unplanned disturbance of the VM, of the machine or, if
    /// `needs_store`, of the store lies in the settle window before `from` or up to `until`.
    pub fn is_excused(
        &self,
        vm: usize,
        needs_store: bool,
        from: ClockTime,
        until: ClockTime,
    ) -> bool {
        let mut relevant = self.overlapping(from.since(SETTLE_WINDOW), until);
        relevant.any(|disturbance| match &disturbance.part {
            Part::Machine => true,
            Part::Store => needs_store,
            Part::Vm(other) => *other == vm && !disturbance.is_planned,
            Part::Upstream(_) => false,
        })
    }

    /// Reports whether nothing but planned work disturbed any part from `from` to `until`.
    pub fn is_calm(&self, from: ClockTime, until: ClockTime) -> bool {
        self.overlapping(from, until)
            .all(|disturbance| disturbance.is_planned)
    }

    fn overlapping(&self, from: ClockTime, until: ClockTime) -> impl Iterator<Item = &Disturbance> {
        let disturbances = self.disturbances.iter();
        disturbances.filter(move |other| other.from <= until && other.until >= from)
    }
}
