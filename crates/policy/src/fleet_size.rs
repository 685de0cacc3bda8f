//! Decides among how many VMs the reserve of the retry budgets is divided.
//!
//! Load pattern: all VMs are restarted, or the store loses its entries, while engines fail. A
//! VM whose list names three of eight VMs would take a third of the reserve.

use skylarkshed_core::ClockTime;
use std::collections::VecDeque;

/// How long the first list must be unchanged. VMs that start together announce themselves
/// within a second, and the others read it up to a second later.
const STABLE_TIME: ClockTime = ClockTime::from_millis(2_000);
/// How long a longer list still counts. VMs whose entries were lost write them again within
/// some 12 s, and removed ones may have spent their share up to 11.5 s before.
const HOLD_TIME: ClockTime = ClockTime::from_millis(15_000);

/// The number of VMs that share the reserve, by the lists that were read.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::FleetSize;
///
/// let ms = ClockTime::from_millis;
/// let mut size = FleetSize::default();
/// size.record(3, ms(0));
/// assert_eq!(size.get(ms(1_999)), None);
/// assert_eq!(size.get(ms(2_000)), Some(3));
/// ```
#[derive(Debug, Default)]
pub struct FleetSize {
    /// The length of the last list, and since when lists have had it.
    current: Option<(usize, ClockTime)>,
    /// Earlier lengths and those of other VMs' lists, longest first, and until when lists had
    /// them.
    earlier: VecDeque<(usize, ClockTime)>,
    /// Whether a list was unchanged for [`STABLE_TIME`].
    is_settled: bool,
}

impl FleetSize {
    /// Records the length of a list that contains this VM.
    pub fn record(&mut self, vms: usize, now: ClockTime) {
        self.update(now);
        match self.current {
            Some((current, _)) if current == vms => return,
            Some((current, _)) => self.hold(current, now),
            None => {}
        }
        self.current = Some((vms, now));
    }

    /// Records the length of the list that another VM has. It counts for 15 s if it is longer.
    pub fn record_other(&mut self, vms: usize, now: ClockTime) {
        self.update(now);
        self.hold(vms, now);
    }

    /// Returns the number of VMs; none until the first list was unchanged for a while. A
    /// longer list counts at once, a shorter one after 15 s.
    pub fn get(&mut self, now: ClockTime) -> Option<usize> {
        self.update(now);
        let (current, _) = self.current.filter(|_| self.is_settled)?;
        let earlier = self.earlier.iter().map(|(vms, _)| *vms);
        earlier.chain([current]).max()
    }

    fn hold(&mut self, vms: usize, now: ClockTime) {
        // Lengths that a later one exceeds make no difference any more.
        while matches!(self.earlier.back(), Some((earlier, _)) if *earlier <= vms) {
            self.earlier.pop_back();
        }
        self.earlier.push_back((vms, now));
    }

    fn update(&mut self, now: ClockTime) {
        let is_stable = |(_, since): (usize, ClockTime)| now.since(since) >= STABLE_TIME;
        self.is_settled |= self.current.is_some_and(is_stable);
        while matches!(self.earlier.front(), Some((_, until)) if now.since(*until) >= HOLD_TIME) {
            self.earlier.pop_front();
        }
    }
}
