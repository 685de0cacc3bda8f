//! Bursts, in which streams come more often than usual.

use crate::callers::{run_burst_stream, CallerContext};
use crate::load_plan::StreamBurst;
use skylarkshed_core::ClockTime;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// The time before a burst in which the usual rate of streams is counted.
const COUNT_MS: u64 = 3_000;

/// Sends additional streams in each burst, at an even rate that doesn't depend on how fast
/// others are served. Their callers have numbers from `first_number` on.
pub(crate) async fn run_bursts(
    bursts: Vec<StreamBurst>,
    first_number: usize,
    context: Arc<CallerContext>,
) {
    let observer = &context.observer;
    let mut number = first_number;
    let mut streams = JoinSet::new();
    for burst in bursts {
        tokio::time::sleep(burst.from.since(observer.now()).to_duration()).await;
        let since = observer.now().since(ClockTime::from_millis(COUNT_MS));
        let usual = observer.count_streams(since).max(1) as u64;
        let interval_ms = COUNT_MS * 100 / (usual * (burst.percent - 100));
        let started_at = observer.now();
        println!(
            "{:>6} ms  burst of streams to {} ms, one more each {interval_ms} ms",
            started_at.as_millis(),
            burst.until.as_millis()
        );
        let mut next = tokio::time::interval(Duration::from_millis(interval_ms.max(1)));
        while observer.now() < burst.until && !*context.stop.borrow() {
            next.tick().await;
            streams.spawn(run_burst_stream(number, context.clone()));
            number += 1;
        }
        let sent = observer.count_streams(started_at);
        let ended_at = observer.now();
        let usual = usual * ended_at.since(started_at).as_millis() / COUNT_MS;
        println!(
            "{:>6} ms  end of the burst: {sent} streams, usually {usual}",
            ended_at.as_millis()
        );
    }
    while streams.join_next().await.is_some() {}
}
