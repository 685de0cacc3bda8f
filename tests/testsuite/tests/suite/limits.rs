//! Customers' rate and concurrency limits.

use skylarkshed_bench::{CallClient, CallResponse, Fleet, FleetBuilder};
use skylarkshed_stand_ins::{ApplicationFaults, ProxyFaults};

const LOOKUP_PATH: &str = "stores-app/calls/lookup";
const LIMITED_KEY: &str = "limited-key";

/// Sends calls to all VMs concurrently.
async fn send_burst(fleet: &Fleet, key: &'static str, per_vm: usize) -> Vec<CallResponse> {
    let mut calls = Vec::new();
    for vm in &fleet.vms {
        for number in 0..per_vm {
            let address = vm.caller_address;
            calls.push(tokio::spawn(async move {
                let body = format!("call {number}");
                CallClient::default()
                    .call(address, key, LOOKUP_PATH, None, body)
                    .await
            }));
        }
    }
    let mut responses = Vec::new();
    for call in calls {
        responses.push(call.await.unwrap());
    }
    responses
}

#[tokio::test]
async fn rate_limit_holds_if_all_vms_are_cut_off_from_their_peers() {
    let fleet = FleetBuilder::new().proxy_peers().start().await.unwrap();
    fleet.configure().await.unwrap();
    fleet
        .put_customer("limited", LIMITED_KEY, 1, 6, 0)
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
    let responses = send_burst(&fleet, LIMITED_KEY, 10).await;
    let answered = responses
        .iter()
        .filter(|response| response.is_success())
        .count() as f64;
    // At most what the buckets hold at the start plus what is refilled over time.
    let max = 6.0 + 6.0 * start.elapsed().as_secs_f64();
    assert!(
        (1.0..=max).contains(&answered),
        "{answered} answered, {max} allowed"
    );
    let refused = responses.iter().filter(|response| !response.is_success());
    for response in refused {
        assert_eq!(
            (response.reason(), response.outcome()),
            ("rate_limit", "not_run")
        );
        assert!(response.retry_after.is_some());
    }
}

#[tokio::test]
async fn concurrency_limit_is_enforced_and_refusals_are_immediate() {
    let fleet = FleetBuilder::new().start().await.unwrap();
    fleet.configure().await.unwrap();
    fleet
        .put_customer("limited", LIMITED_KEY, 1, 0, 6)
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
    let responses = send_burst(&fleet, LIMITED_KEY, 5).await;
    let answered = responses
        .iter()
        .filter(|response| response.is_success())
        .count();
    assert_eq!(answered, 6, "two slots at each of three VMs");
    let refused = responses.iter().filter(|response| !response.is_success());
    for response in refused {
        assert_eq!(response.reason(), "customer_concurrency");
        assert!(
            response.duration.as_millis() < 400,
            "refused at once: {:?}",
            response.duration
        );
    }
}
