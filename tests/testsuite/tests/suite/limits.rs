//! Customers' limits and shares.

use skylarkshed_bench::{CallClient, CallResponse, Fleet, FleetBuilder};
use skylarkshed_stand_ins::{ApplicationFaults, ProxyFaults};

const LOOKUP: &str = "stores-app/calls/lookup";
const LIMITED: &str = "limited-key";

/// Sends calls to every VM at once.
async fn burst(fleet: &Fleet, key: &'static str, per_vm: usize) -> Vec<CallResponse> {
    let mut calls = Vec::new();
    for vm in &fleet.vms {
        for number in 0..per_vm {
            let address = vm.caller_address;
            calls.push(tokio::spawn(async move {
                let body = format!("call {number}");
                CallClient::default()
                    .call(address, key, LOOKUP, None, body)
                    .await
            }));
        }
    }
    let mut traces = Vec::new();
    for call in calls {
        traces.push(call.await.unwrap());
    }
    traces
}

#[tokio::test]
async fn rate_limit_holds_with_every_vm_cut_off_from_its_peers() {
    let fleet = FleetBuilder::new().proxy_peers().start().await.unwrap();
    fleet.configure().await.unwrap();
    fleet
        .put_customer("limited", LIMITED, 1, 6, 0)
        .await
        .unwrap();
    let revision = fleet.revision(0).await.unwrap();
    fleet.wait_for_revision(revision).await.unwrap();
    let cut = ProxyFaults {
        reset: true,
        ..ProxyFaults::default()
    };
    for vm in &fleet.vms {
        fleet
            .set_proxy_faults(vm.peer_proxy.as_ref(), &cut)
            .await
            .unwrap();
    }
    while fleet
        .metric_sum(&fleet.vms[0], "members_present")
        .await
        .unwrap()
        > 0.0
    {
        tokio::task::yield_now().await;
    }
    let start = std::time::Instant::now();
    let traces = burst(&fleet, LIMITED, 10).await;
    let answered = traces.iter().filter(|trace| trace.is_success()).count() as f64;
    // The limit's own bound: what the buckets hold, and what the time adds.
    let most = 6.0 + 6.0 * start.elapsed().as_secs_f64();
    assert!(
        (1.0..=most).contains(&answered),
        "{answered} answered, {most} allowed"
    );
    let refused = traces.iter().filter(|trace| !trace.is_success());
    for trace in refused {
        assert_eq!((trace.reason(), trace.outcome()), ("rate_limit", "not_run"));
        assert!(trace.retry_after.is_some());
    }
}

#[tokio::test]
async fn concurrency_limit_is_kept_and_told_at_once() {
    let fleet = FleetBuilder::new().start().await.unwrap();
    fleet.configure().await.unwrap();
    fleet
        .put_customer("limited", LIMITED, 1, 0, 6)
        .await
        .unwrap();
    let revision = fleet.revision(0).await.unwrap();
    fleet.wait_for_revision(revision).await.unwrap();
    let slow = ApplicationFaults {
        delay_ms: 500,
        ..ApplicationFaults::default()
    };
    for application in &fleet.applications {
        fleet
            .set_application_faults(application, &slow)
            .await
            .unwrap();
    }
    let traces = burst(&fleet, LIMITED, 5).await;
    let answered = traces.iter().filter(|trace| trace.is_success()).count();
    assert_eq!(answered, 6, "two places at each of three VMs");
    let refused = traces.iter().filter(|trace| !trace.is_success());
    for trace in refused {
        assert_eq!(trace.reason(), "customer_concurrency");
        assert!(
            trace.duration.as_millis() < 400,
            "refused at once: {:?}",
            trace.duration
        );
    }
}
