//! Jitter for periodic tasks that all VMs run.

use skylarkshed_core::ClockTime;

/// Returns the period with up to 20 % of jitter, so that VMs that started together
/// do not keep calling the store at the same time.
pub(crate) fn add_jitter(period: ClockTime) -> ClockTime {
    let percent = rand::random_range(80..=120);
    ClockTime::from_millis(period.as_millis() * percent / 100)
}
