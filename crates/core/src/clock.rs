//! Time in milliseconds, and the clocks that measure it.

use nix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use std::ops::Add;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point in time or a span of time, in milliseconds.
///
/// Policy code takes the time as an argument instead of reading a clock, so that
/// tests can control it.
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
    /// The start of a clock, or an empty span.
    pub const ZERO: ClockTime = ClockTime(0);
    /// A time that is never reached.
    pub const NEVER: ClockTime = ClockTime(u64::MAX);

    /// Creates a time from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        ClockTime(millis)
    }

    /// Returns the number of milliseconds.
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

    /// Returns the wall-clock time since the Unix epoch, or zero if the clock is set
    /// to an earlier time.
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

/// A monotonic clock that does not count the time while the VM is suspended.
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

/// A clock that keeps running while the VM is suspended.
///
/// It measures the age of the data that a VM holds: after a suspension, that data
/// is older than the monotonic clock shows.
#[derive(Clone, Copy, Debug)]
pub struct BootTimeClock {
    start: Duration,
}

impl BootTimeClock {
    /// The time that a clock shows when it is started. Data from another VM can be
    /// older than the process.
    const START: ClockTime = ClockTime::from_millis(24 * 3_600 * 1_000);

    /// Starts a clock at one day.
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
            start: time_since_boot(),
        }
    }

    /// Returns the time, including the time in which the VM was suspended.
    pub fn now(&self) -> ClockTime {
        Self::START + ClockTime::from(time_since_boot().saturating_sub(self.start))
    }
}

fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    time.map(Duration::from)
        .expect("every Linux kernel supports CLOCK_BOOTTIME")
}
