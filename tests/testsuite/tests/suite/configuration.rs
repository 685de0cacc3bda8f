//! An accepted configuration change becomes active at every VM and is never reverted.

use serde_json::json;
use skylarkshed_bench::{CallClient, Fleet, FleetBuilder, GenerationClient};
use skylarkshed_operator::schema::{
    ChangeReply, DescribeRequest, OperatorClient, PutCustomerRequest,
};
use skylarkshed_stand_ins::{PlatformFaults, ProxyFaults};
use skylarkshed_testsuite::{assert_complete_answer, generation_spec, BOOKING_PATH};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;
use volo_grpc::{Code, Status};

/// A change is active at every VM within this time.
const ACTIVATION_BOUND: Duration = Duration::from_secs(14);

pub(crate) async fn put_customer(
    operator: &OperatorClient,
    change_id: &str,
    name: &str,
    weight: u32,
) -> Result<ChangeReply, Status> {
    let request = PutCustomerRequest {
        change_id: change_id.to_owned().into(),
        name: name.to_owned().into(),
        weight,
        ..PutCustomerRequest::default()
    };
    Ok(operator.put_customer(request).await?.into_inner())
}

/// Polls every VM's revision and records each decrease.
struct RevisionMonitor {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Vec<String>>,
}

impl RevisionMonitor {
    fn start(fleet: &Fleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let operators: Vec<OperatorClient> = (0..fleet.vms.len())
            .map(|vm| fleet.operator_client(vm))
            .collect();
        let stopped = stop.clone();
        let task = tokio::spawn(async move {
            let mut last = vec![0; operators.len()];
            let mut decreases = Vec::new();
            while !stopped.load(Ordering::Relaxed) {
                for (vm, operator) in operators.iter().enumerate() {
                    let request = operator.describe(DescribeRequest::default());
                    let response = tokio::time::timeout(Duration::from_millis(100), request).await;
                    let Ok(Ok(reply)) = response else { continue };
                    let revision = reply.into_inner().revision;
                    if revision < last[vm] {
                        decreases.push(format!("vm-{vm}: {} to {revision}", last[vm]));
                    }
                    last[vm] = revision;
                }
            }
            decreases
        });
        RevisionMonitor { stop, task }
    }

    async fn assert_no_decrease(self) {
        self.stop.store(true, Ordering::Relaxed);
        assert_eq!(
            self.task.await.unwrap(),
            Vec::<String>::new(),
            "no revision decreases"
        );
    }
}

#[tokio::test]
async fn retry_after_a_lost_reply_makes_one_change() {
    let fleet = FleetBuilder::new().start().await.unwrap();
    let faults = PlatformFaults {
        lose_replies: 1,
        ..PlatformFaults::default()
    };
    fleet.set_platform_faults(faults).await.unwrap();
    let first = put_customer(&fleet.operator_client(0), "change-1", "van", 1)
        .await
        .unwrap();
    let again = put_customer(&fleet.operator_client(1), "change-1", "van", 1)
        .await
        .unwrap();
    assert_eq!((first.revision, again.revision), (1, 1));
    let other = put_customer(&fleet.operator_client(1), "change-1", "van", 2)
        .await
        .unwrap_err();
    assert_eq!(other.code(), Code::AlreadyExists, "{other}");
    fleet.wait_for_revision(1).await.unwrap();
    assert_eq!(fleet.revision(2).await.unwrap(), 1);
}

#[tokio::test]
async fn concurrent_changes_of_one_customer_give_one_success_and_one_conflict() {
    let fleet = FleetBuilder::new().start().await.unwrap();
    let slow = PlatformFaults {
        delay_ms: 150,
        ..PlatformFaults::default()
    };
    fleet.set_platform_faults(slow).await.unwrap();
    let (first, second) = (fleet.operator_client(0), fleet.operator_client(1));
    let (left, right) = tokio::join!(
        put_customer(&first, "left", "van", 1),
        put_customer(&second, "right", "van", 2)
    );
    let (succeeded, failed): (Vec<_>, Vec<_>) = [left, right].into_iter().partition(Result::is_ok);
    assert_eq!((succeeded.len(), failed.len()), (1, 1));
    let conflict = failed.into_iter().next().unwrap().unwrap_err();
    assert_eq!(conflict.code(), Code::Aborted);
    assert!(conflict.message().contains("revision 1"), "{conflict}");
}

#[tokio::test]
async fn concurrent_changes_of_different_customers_both_succeed() {
    let fleet = FleetBuilder::new().start().await.unwrap();
    let slow = PlatformFaults {
        delay_ms: 100,
        ..PlatformFaults::default()
    };
    fleet.set_platform_faults(slow).await.unwrap();
    let (first, second) = (fleet.operator_client(0), fleet.operator_client(1));
    let (left, right) = tokio::join!(
        put_customer(&first, "left", "van", 1),
        put_customer(&second, "right", "depot", 1)
    );
    let mut revisions = [left.unwrap().revision, right.unwrap().revision];
    revisions.sort_unstable();
    assert_eq!(revisions, [1, 2]);
}

#[tokio::test]
async fn change_during_an_outage_is_refused_and_can_be_retried() {
    let fleet = FleetBuilder::new().start().await.unwrap();
    let outage = PlatformFaults {
        out: true,
        ..PlatformFaults::default()
    };
    fleet.set_platform_faults(outage).await.unwrap();
    let refused = put_customer(&fleet.operator_client(0), "change-1", "van", 1)
        .await
        .unwrap_err();
    assert_eq!(refused.code(), Code::Unavailable);
    assert!(
        refused.message().contains("same change identifier"),
        "{refused}"
    );
    fleet
        .set_platform_faults(PlatformFaults::default())
        .await
        .unwrap();
    assert_eq!(
        put_customer(&fleet.operator_client(2), "change-1", "van", 1)
            .await
            .unwrap()
            .revision,
        1
    );
}

#[tokio::test]
async fn revisions_only_increase_over_freezes_kills_and_replacements() {
    let mut fleet = FleetBuilder::new().start().await.unwrap();
    fleet.wait_for_members(2).await.unwrap();
    let monitor = RevisionMonitor::start(&fleet);
    put_customer(&fleet.operator_client(0), "change-1", "van", 1)
        .await
        .unwrap();
    fleet.vms[2].process.freeze();
    put_customer(&fleet.operator_client(0), "change-2", "van", 2)
        .await
        .unwrap();
    // A VM that has not heard of the last change refuses another one to the same customer.
    fleet.wait_for_revision_at(1, 2).await.unwrap();
    put_customer(&fleet.operator_client(1), "change-3", "van", 3)
        .await
        .unwrap();
    fleet.vms[2].process.thaw();
    fleet.wait_for_revision(3).await.unwrap();
    // The VM is killed right after it accepted the change.
    put_customer(&fleet.operator_client(1), "change-4", "van", 4)
        .await
        .unwrap();
    fleet.vms[1].process.kill();
    monitor.assert_no_decrease().await;
    let replacement = fleet.start_vm(1).await.unwrap();
    fleet.vms[1] = replacement;
    fleet.publish_listing().await.unwrap();
    fleet.wait_ready().await.unwrap();
    assert_eq!(
        fleet.revision(1).await.unwrap(),
        4,
        "a ready VM has the newest revision"
    );
    fleet.wait_for_revision(4).await.unwrap();
}

#[tokio::test]
async fn new_vm_is_ready_from_peers_alone_during_a_platform_outage() {
    let fleet = FleetBuilder::new().start().await.unwrap();
    put_customer(&fleet.operator_client(0), "change-1", "van", 1)
        .await
        .unwrap();
    fleet.wait_for_revision(1).await.unwrap();
    let outage = PlatformFaults {
        out: true,
        ..PlatformFaults::default()
    };
    fleet.set_platform_faults(outage).await.unwrap();
    let seeds: Vec<_> = fleet.vms.iter().map(|vm| vm.peer_address).collect();
    let vm = fleet
        .start_vm_with_settings(3, json!({ "seeds": seeds }))
        .await
        .unwrap();
    fleet.wait_for_vm_ready(&vm).await.unwrap();
    let operator = skylarkshed_operator::connect(vm.operator_address);
    let description = operator
        .describe(DescribeRequest::default())
        .await
        .unwrap()
        .into_inner();
    assert_eq!(description.revision, 1);
}

#[tokio::test]
async fn new_vm_without_any_configuration_source_is_not_ready() {
    let fleet = FleetBuilder::new().zones(1).start().await.unwrap();
    put_customer(&fleet.operator_client(0), "change-1", "van", 1)
        .await
        .unwrap();
    let outage = PlatformFaults {
        out: true,
        ..PlatformFaults::default()
    };
    fleet.set_platform_faults(outage).await.unwrap();
    let vm = fleet.start_vm(1).await.unwrap();
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(fleet.readiness(&vm).await, Some(503));
}

#[derive(Clone, Copy, Debug)]
enum CutOff {
    Platform,
    Peers,
}

#[rstest::rstest]
#[case::from_platform(CutOff::Platform)]
#[case::from_peers(CutOff::Peers)]
#[tokio::test]
async fn change_reaches_a_vm_cut_off_from_platform_or_peers(#[case] cut: CutOff) {
    let builder = FleetBuilder::new().proxy_platform().proxy_peers();
    let fleet = builder.start().await.unwrap();
    fleet.wait_for_members(2).await.unwrap();
    let vm = &fleet.vms[2];
    match cut {
        CutOff::Platform => {
            let reset = ProxyFaults {
                reset: true,
                ..ProxyFaults::default()
            };
            fleet
                .set_proxy_faults(vm.platform_proxy.as_ref(), &reset)
                .await
                .unwrap();
        }
        CutOff::Peers => cut_off_from_peers(&fleet, 2).await,
    }
    let start = Instant::now();
    put_customer(&fleet.operator_client(0), "change-1", "van", 1)
        .await
        .unwrap();
    fleet.wait_for_revision(1).await.unwrap();
    assert!(
        start.elapsed() < ACTIVATION_BOUND,
        "{cut:?}: took {:?}",
        start.elapsed()
    );
}

/// Cuts a VM off from all others, in both directions.
async fn cut_off_from_peers(fleet: &Fleet, cut: usize) {
    let inbound = ProxyFaults {
        reset: true,
        ..ProxyFaults::default()
    };
    let outbound = ProxyFaults {
        blocked_sources: vec![fleet.vms[cut].ip],
        ..ProxyFaults::default()
    };
    for (number, vm) in fleet.vms.iter().enumerate() {
        let faults = if number == cut { &inbound } else { &outbound };
        fleet
            .set_proxy_faults(vm.peer_proxy.as_ref(), faults)
            .await
            .unwrap();
    }
}

#[tokio::test]
async fn vm_cut_off_from_peers_and_platform_serves_and_catches_up() {
    let builder = FleetBuilder::new().proxy_platform().proxy_peers();
    let fleet = builder.start().await.unwrap();
    fleet.configure().await.unwrap();
    fleet.wait_for_members(2).await.unwrap();
    let cut = 2;
    let reset = ProxyFaults {
        reset: true,
        ..ProxyFaults::default()
    };
    fleet
        .set_proxy_faults(fleet.vms[cut].platform_proxy.as_ref(), &reset)
        .await
        .unwrap();
    cut_off_from_peers(&fleet, cut).await;
    let before = fleet.revision(cut).await.unwrap();
    let change = put_customer(&fleet.operator_client(0), "change-1", "van", 1)
        .await
        .unwrap();
    let vm = fleet.vms[cut].caller_address;
    let spec = generation_spec("while cut off", 30);
    assert_complete_answer(
        "v1",
        &spec,
        &GenerationClient::default().generate(vm, &spec).await,
    );
    let client = CallClient::default();
    let keys = client
        .mint(vm, Fleet::CUSTOMER_KEY, Fleet::PLAIN_SERVICE, 1)
        .await;
    let minted = client
        .call(
            vm,
            Fleet::CUSTOMER_KEY,
            BOOKING_PATH,
            Some(&keys[0]),
            "one meter",
        )
        .await;
    assert!(minted.is_success(), "{minted:?}");
    let own = client
        .call(
            vm,
            Fleet::CUSTOMER_KEY,
            BOOKING_PATH,
            Some("own"),
            "one meter",
        )
        .await;
    assert_eq!(
        (own.reason(), own.outcome()),
        ("claim_unavailable", "not_run")
    );
    assert_eq!(
        fleet.revision(cut).await.unwrap(),
        before,
        "it keeps its last revision"
    );
    let no_faults = ProxyFaults::default();
    fleet
        .set_proxy_faults(fleet.vms[cut].platform_proxy.as_ref(), &no_faults)
        .await
        .unwrap();
    for vm in &fleet.vms {
        fleet
            .set_proxy_faults(vm.peer_proxy.as_ref(), &no_faults)
            .await
            .unwrap();
    }
    let start = Instant::now();
    fleet.wait_for_revision(change.revision).await.unwrap();
    assert!(
        start.elapsed() < ACTIVATION_BOUND,
        "took {:?}",
        start.elapsed()
    );
}
