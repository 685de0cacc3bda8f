//! Waits for the first event of an attempt, and asks a silent engine for its progress.

use super::attempt::watch_silence;
use crate::counters;
use crate::engine_calls::request_report;
use crate::exchange::CallerRequest;
use crate::gateway_state::{GatewayState, ServiceTraffic};
use crate::platform_api::WireProtocol;
use crate::upstreams::UpstreamState;
use skylarkshed_core::ClockTime;
use skylarkshed_policy::{judge_prefill, LossCause, PrefillVerdict, WaitingPrefill};
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;

/// What is needed to judge the prefill of a stream's request.
#[derive(Clone, Copy)]
pub(super) struct PrefillWatch<'a> {
    pub(super) state: &'a Arc<GatewayState>,
    pub(super) traffic: &'a ServiceTraffic,
    pub(super) request: &'a CallerRequest,
}

/// How long an attempt waits for its first event.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillTimeout {
    since: ClockTime,
    limit: ClockTime,
    /// When the engine last reported that prompts wait, or when the wait began.
    queued_until: ClockTime,
}

impl PrefillTimeout {
    /// Starts the wait for the first event.
    pub(super) fn start(now: ClockTime, limit: ClockTime) -> Self {
        PrefillTimeout {
            since: now,
            limit,
            queued_until: now,
        }
    }
}

/// Waits for a future that ends with the first event or the response's head; fails if the
/// engine is given up.
///
/// The function may be cancelled and called again with the same `timeout`.
pub(super) async fn watch_prefill<P, F>(
    future: F,
    watch: PrefillWatch<'_>,
    upstream: &UpstreamState,
    timeout: &mut PrefillTimeout,
) -> Result<F::Output, LossCause>
where
    P: WireProtocol,
    F: Future,
{
    let clock = watch.state.clock;
    let mut future = pin!(future);
    loop {
        let (since, limit) = (timeout.since, timeout.limit);
        let address = upstream.record.address;
        match watch_silence(&mut future, since, limit, address, clock).await {
            Err(LossCause::Silence) if !watch.request.deadline.is_expired() => {}
            result => return result,
        }
        tokio::select! {
            output = &mut future => return Ok(output),
            wait = ask_engine::<P>(watch, upstream, timeout) => {
                let wait = wait.ok_or(LossCause::Silence)?;
                let wait = wait.min(watch.request.deadline.remaining());
                timeout.limit = clock.now().since(since) + wait;
            }
        }
    }
}

/// Returns how long to wait on; none if the engine is given up.
async fn ask_engine<P: WireProtocol>(
    watch: PrefillWatch<'_>,
    upstream: &UpstreamState,
    timeout: &mut PrefillTimeout,
) -> Option<ClockTime> {
    let report = request_report::<P>(watch.state, upstream).await?;
    let now = watch.state.clock.now();
    if report.waiting > 0 {
        timeout.queued_until = now;
    }
    let request = watch.request;
    let estimator = &watch.traffic.prefill;
    let prompt_tokens = request.head.prompt_tokens;
    let status = report.prefill_status(request.id(), prompt_tokens);
    let target_latency = request.route.target_latency;
    let waiting = WaitingPrefill {
        prompt_tokens,
        other_tokens: report.other_tokens(estimator.usual_prompt(), status, prompt_tokens),
        status,
        waited: now.since(timeout.since),
        prefilling_for: now.since(timeout.queued_until),
        target_time_left: target_latency.since(request.deadline.elapsed()),
    };
    let verdict = judge_prefill(&waiting, estimator);
    log::info!(
        request = request.id(),
        upstream:% = upstream.name(),
        status:? = status,
        other_tokens = waiting.other_tokens,
        verdict:? = verdict,
        after_ms = request.deadline.elapsed().as_millis();
        "silent engine asked for its progress"
    );
    match verdict {
        PrefillVerdict::Wait(wait) => {
            counters::count_extended_prefill();
            Some(wait)
        }
        PrefillVerdict::Abandon => None,
    }
}
