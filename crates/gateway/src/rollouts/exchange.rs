//! Exchanges evidence on rollouts between VMs.
//!
//! Two VMs of different zones are the hubs of a rollout. Each VM sends both its samples
//! and learns from them what the fleet knows, so that a bad version is known to all
//! within a second, also without the store. Only the hubs use the store.

use super::progress::{VmReport, WithdrawalScope};
use super::record::RolloutRecord;
use super::word::{EarlierReport, RolloutWord};
use crate::gateway_state::GatewayState;
use skylarkshed_core::{ClockTime, VmName};
use skylarkshed_peer::wire::{PeerBody, RolloutReport};
use skylarkshed_policy::{
    hash_rank, overdue_times, slow_paces, RolloutSamples, RolloutState, VmEntry,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The number of hubs of a rollout.
pub(super) const MAX_HUBS: usize = 2;

/// The samples that a VM judges a version by.
pub(super) struct JudgedSamples {
    pub(super) samples: RolloutSamples,
    /// Whether most VMs have reported lately.
    pub(super) has_quorum: bool,
}

/// The hubs of a rollout, from the view of a VM.
pub(super) struct HubView {
    /// The hubs but for this VM.
    pub(super) others: Vec<SocketAddr>,
    /// Which of the hubs this VM is, from 0.
    pub(super) own_rank: Option<u64>,
}

/// Returns the hubs of a rollout; without a list of VMs this VM is the only one.
pub(super) fn find_hubs(state: &GatewayState, record: &RolloutRecord) -> HubView {
    let vms = state.roster.vms();
    let spec = &record.spec;
    let rank = |vm: &VmEntry| hash_rank((&vm.name, &spec.service, spec.revision));
    let mut hubs: Vec<&VmEntry> = vms.iter().collect();
    hubs.sort_by_key(|vm| std::cmp::Reverse(rank(vm)));
    let first_zone = hubs.first().map(|hub| hub.zone.clone());
    let is_elsewhere = |vm: &VmEntry| Some(&vm.zone) != first_zone.as_ref();
    // The first one, then those of other zones.
    if hubs.len() > 1 {
        hubs[1..].sort_by_key(|vm| !is_elsewhere(vm));
    }
    hubs.truncate(MAX_HUBS);
    let own = &state.settings.name;
    let position = hubs.iter().position(|hub| hub.name == *own);
    let others = hubs.iter().filter(|hub| hub.name != *own);
    HubView {
        others: others.map(|hub| hub.address).collect(),
        own_rank: match hubs.is_empty() {
            true => Some(0),
            false => position.map(|rank| rank as u64),
        },
    }
}

/// Sends this VM's samples to a hub and returns what it knows.
pub(super) async fn report_to(
    state: &GatewayState,
    record: &RolloutRecord,
    hub: SocketAddr,
    samples: &str,
) -> Option<RolloutWord> {
    let body = PeerBody::ReportRollout(make_report(state, record, samples));
    let timeout = record.times.reply_timeout;
    let reply = state.peers.request(hub, body, timeout).await;
    match reply {
        Ok(PeerBody::RolloutWord(word)) => parse_word(&word),
        // It has not read the order yet.
        Ok(_) => None,
        Err(error) => {
            log::debug!(hub:%; "can't report on a rollout: {error}");
            None
        }
    }
}

fn make_report(state: &GatewayState, record: &RolloutRecord, samples: &str) -> RolloutReport {
    let progress = record.progress();
    RolloutReport {
        service: record.spec.service.to_string(),
        revision: record.spec.revision,
        vm: state.settings.name.to_string(),
        is_rolled_back: progress.state == RolloutState::RolledBack,
        samples: samples.to_owned(),
        is_withdrawn: progress.is_withdrawn_for_all(),
        process: progress.process,
        may_recover: progress.may_recover,
        has_reserve: progress.has_reserve,
    }
}

fn parse_word(word: &str) -> Option<RolloutWord> {
    serde_json::from_str(word)
        .map_err(|error| log::warn!("can't parse a hub's word on a rollout: {error}"))
        .ok()
}

/// Records the report of another VM and returns the reply, if the order is the same.
pub(super) fn receive_report(record: &RolloutRecord, report: &RolloutReport) -> PeerBody {
    if record.spec.revision != report.revision {
        return PeerBody::Done(false);
    }
    let earlier = match serde_json::from_str::<RolloutSamples>(&report.samples) {
        Ok(samples) => {
            let vm_report = VmReport {
                process: report.process,
                samples,
                has_reserve: report.has_reserve,
                received_at: record.clock.now(),
            };
            let vm = VmName::from(report.vm.as_str());
            record_report(record, vm, vm_report, report.may_recover)
        }
        Err(error) => {
            log::warn!(vm = report.vm.as_str(); "can't parse the samples of a VM: {error}");
            None
        }
    };
    if report.is_rolled_back {
        record.record_state(RolloutState::RolledBack);
    }
    // A hub decided that: this VM may have become one since then.
    if report.is_withdrawn {
        record.record_withdrawal(WithdrawalScope::Fleet);
    }
    let progress = record.progress();
    let word = RolloutWord {
        state: progress.state,
        is_stored: progress.is_stored,
        is_withdrawn: progress.is_withdrawn_for_all(),
        is_other_expected: progress.knowledge.is_other_expected(),
        elapsed_ms: progress.elapsed(record.clock.now()).as_millis(),
        rejected: progress.rejected.rejections(),
        earlier,
        ..progress.word.clone()
    };
    PeerBody::RolloutWord(serde_json::to_string(&word).expect("the word is serialisable"))
}

/// Records this VM's samples, as a hub.
pub(super) fn record_own_report(
    state: &GatewayState,
    record: &RolloutRecord,
    samples: RolloutSamples,
) {
    let report = {
        let progress = record.progress();
        VmReport {
            process: progress.process,
            samples,
            has_reserve: progress.has_reserve,
            received_at: record.clock.now(),
        }
    };
    record_report(record, state.settings.name.clone(), report, false);
}

/// Records the report of a VM. Returns the last one of an earlier process of the VM instead,
/// which is kept until the VM has recovered it.
pub(super) fn record_report(
    record: &RolloutRecord,
    vm: VmName,
    report: VmReport,
    may_recover: bool,
) -> Option<EarlierReport> {
    let mut progress = record.progress();
    if let Some(known) = progress.reports.get_mut(&vm) {
        if may_recover && known.process != report.process {
            known.received_at = report.received_at;
            return Some(EarlierReport {
                samples: known.samples.clone(),
                has_reserve: known.has_reserve,
            });
        }
    }
    progress.reports.insert(vm, report);
    None
}

/// Returns the sum of the reports of all VMs, as a hub, and updates what it tells them.
pub(super) fn review_reports(state: &GatewayState, record: &RolloutRecord) -> JudgedSamples {
    let now = record.clock.now();
    let mut sum = RolloutSamples::default();
    let mut heard = 0;
    let progress = record.progress();
    for report in progress.reports.values() {
        sum.merge(&report.samples);
        heard += usize::from(now.since(report.received_at) < record.times.report_ttl);
    }
    let has_quorum = heard * 2 > state.roster.count().unwrap_or(1);
    let word = RolloutWord {
        state: progress.state,
        is_stored: progress.is_stored,
        is_withdrawn: progress.is_withdrawn_for_all(),
        has_quorum,
        is_other_expected: progress.knowledge.is_other_expected(),
        elapsed_ms: progress.elapsed(now).as_millis(),
        sent: sum.sent_to_new(),
        requests: sum.requests(),
        overdue_ms: to_millis(overdue_times(&sum)),
        slow_pace_ms: to_millis(slow_paces(&sum)),
        rejected: progress.rejected.rejections(),
        earlier: None,
    };
    drop(progress);
    record.apply_word(word);
    JudgedSamples {
        samples: sum,
        has_quorum,
    }
}

/// Reports whether another VM has reported lately.
pub(super) fn has_reports(record: &RolloutRecord) -> bool {
    let now = record.clock.now();
    let progress = record.progress();
    let mut reports = progress.reports.values();
    reports.any(|report| now.since(report.received_at) < record.times.report_ttl)
}

fn to_millis(times: BTreeMap<String, ClockTime>) -> BTreeMap<String, u64> {
    let times = times.into_iter();
    times
        .map(|(route, time)| (route, time.as_millis()))
        .collect()
}
