//! Pauses of tasks that all VMs run.

use skylarkshed_core::ClockTime;

/// Returns a period that is up to a fifth shorter or longer, so that VMs that
/// started together do not call the store together for ever.
pub(crate) fn spread(period: ClockTime) -> ClockTime {
    let percent = rand::random_range(80..=120);
    ClockTime::from_millis(period.as_millis() * percent / 100)
}
