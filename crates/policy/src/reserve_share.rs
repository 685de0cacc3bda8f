//! Divides the reserve of the retry budget and its additional retries among VMs.

use crate::retry_budget::RetryLimits;

/// Retries are counted in hundredths.
pub(crate) const HUNDREDTHS_PER_RETRY: u64 = 100;
/// The additional retries that one VM starts with: a VM of a large fleet runs two
/// long streams, and each may lose its engine twice in a short time.
pub(crate) const RESUME_RESERVE: u32 = 4;
/// The reserve is this part of the slack of the bound over all VMs, in percent. The additional
/// retries of all VMs come from the rest.
const RESERVE_PERCENT: u64 = 70;

/// Returns the share of the reserve of one of `vms` VMs, in hundredths of a retry.
pub(crate) fn reserve_share(limits: RetryLimits, vms: usize) -> u64 {
    u64::from(limits.reserve) * HUNDREDTHS_PER_RETRY / vms.max(1) as u64
}

/// Returns the additional retries of each VM; with the shares of the reserve, those of all VMs
/// stay within the slack of the bound.
pub(crate) fn resume_reserve(limits: RetryLimits, vms: usize) -> u32 {
    let vms = vms.max(1) as u64;
    let reserve = u64::from(limits.reserve);
    let slack_share = reserve * 100 / RESERVE_PERCENT / vms;
    let rest = slack_share.saturating_sub(reserve / vms);
    RESUME_RESERVE.min(u32::try_from(rest).unwrap_or(RESUME_RESERVE))
}
