//! Time in milliseconds.

use nix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use std::ops::Add;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point in time or a span of time, in milliseconds.
///
/// Decisions take it as an argument, so that the same code runs under the
/// daemon's clock and under a test's clock.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
///
/// let start = ClockTime::from_millis(1_000);
/// let later = start + ClockTime::from_millis(250);
/// assert_eq!(later.since(start).as_millis(), 250);
/// assert_eq!(start.since(later), ClockTime::ZERO);
/// ```
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClockTime(u64);

impl ClockTime {
    /// The start of the clock, and the empty span.
    pub const ZERO: ClockTime = ClockTime(0);
    /// A time that never comes.
    pub const NEVER: ClockTime = ClockTime(u64::MAX);

    /// Makes a time from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        ClockTime(millis)
    }

    /// Returns the milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the span from `earlier` to this time, or zero if `earlier` is later.
    pub const fn since(self, earlier: ClockTime) -> ClockTime {
        ClockTime(self.0.saturating_sub(earlier.0))
    }

    /// Returns this span as a standard duration.
    pub const fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns the time of the machine's wall clock since the Unix epoch.
    pub fn wall_clock_now() -> Self {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        ClockTime::from(elapsed)
    }
}

impl From<Duration> for ClockTime {
    fn from(duration: Duration) -> Self {
        ClockTime(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl Add for ClockTime {
    type Output = ClockTime;

    fn add(self, span: ClockTime) -> ClockTime {
        ClockTime(self.0.saturating_add(span.0))
    }
}

/// The clock of a process: milliseconds since the process started.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// Starts a clock at zero.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_core::MonotonicClock;
    ///
    /// let clock = MonotonicClock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    pub fn start() -> Self {
        MonotonicClock {
            start: Instant::now(),
        }
    }

    /// Returns the milliseconds since the clock started.
    pub fn now(&self) -> ClockTime {
        ClockTime::from(self.start.elapsed())
    }
}

/// A clock that goes on while the machine is suspended.
///
/// The age of what a VM knows is measured on it: a suspended VM wakes up with
/// knowledge that is older than its monotonic clock says.
#[derive(Clone, Copy, Debug)]
pub struct BootTimeClock {
    start: Duration,
}

impl BootTimeClock {
    /// Starts a clock at zero.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_core::BootTimeClock;
    ///
    /// let clock = BootTimeClock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    pub fn start() -> Self {
        BootTimeClock {
            start: since_boot(),
        }
    }

    /// Returns the milliseconds since the clock started, suspension included.
    pub fn now(&self) -> ClockTime {
        ClockTime::from(since_boot().saturating_sub(self.start))
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    time.map(Duration::from)
        .expect("every Linux kernel has this clock")
}
