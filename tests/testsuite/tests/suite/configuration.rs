//! Accepted configuration is in force everywhere and never reverts.

use serde_json::json;
use skylarkshed_bench::{CallClient, Fleet, FleetBuilder, GenerationClient};
use skylarkshed_operator::schema::{
    ChangeReply, DescribeRequest, OperatorClient, PutCustomerRequest,
};
use skylarkshed_stand_ins::{PlatformFaults, ProxyFaults};
use skylarkshed_testsuite::{assert_complete_answer, query, SERVICE_CALLS};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;
use volo_grpc::{Code, Status};

/// A change is in force everywhere within this time.
const FORCE_BOUND: Duration = Duration::from_secs(14);

async fn put(
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

/// Watches every VM's revision and remembers any step down.
struct RevisionWatch {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Vec<String>>,
}

impl RevisionWatch {
    fn start(fleet: &Fleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let operators: Vec<OperatorClient> = (0..fleet.vms.len())
            .map(|vm| fleet.operator_client(vm))
            .collect();
        let stopped = stop.clone();
        let task = tokio::spawn(async move {
            let mut last = vec![0; operators.len()];
            let mut steps_down = Vec::new();
            while !stopped.load(Ordering::Relaxed) {
                for (vm, operator) in operators.iter().enumerate() {
                    let asked = operator.describe(DescribeRequest::default());
                    let asked = tokio::time::timeout(Duration::from_millis(100), asked).await;
                    let Ok(Ok(reply)) = asked else { continue };
                    let revision = reply.into_inner().revision;
                    if revision < last[vm] {
                        steps_down.push(format!("vm-{vm}: {} to {revision}", last[vm]));
                    }
                    last[vm] = revision;
                }
            }
            steps_down
        });
        RevisionWatch { stop, task }
    }

    async fn check(self) {
        self.stop.store(true, Ordering::Relaxed);
        assert_eq!(
            self.task.await.unwrap(),
            Vec::<String>::new(),
            "no revision steps down"
        );
    }
}

#[tokio::test]
async fn lost_reply_makes_one_change() {
    let fleet = FleetBuilder::new().start().await.unwrap();
    let faults = PlatformFaults {
        lose_replies: 1,
        ..PlatformFaults::default()
    };
    fleet.set_platform_faults(faults).await.unwrap();
    let first = put(&fleet.operator_client(0), "change-1", "van", 1)
        .await
        .unwrap();
    let again = put(&fleet.operator_client(1), "change-1", "van", 1)
        .await
        .unwrap();
    assert_eq!((first.revision, again.revision), (1, 1));
    let other = put(&fleet.operator_client(1), "change-1", "van", 2)
        .await
        .unwrap_err();
    assert_eq!(other.code(), Code::AlreadyExists, "{other}");
    fleet.wait_for_revision(1).await.unwrap();
    assert_eq!(fleet.revision(2).await.unwrap(), 1);
}

#[tokio::test]
async fn two_operators_at_once_get_one_winner_and_one_clear_conflict() {
    let fleet = FleetBuilder::new().start().await.unwrap();
    let slow = PlatformFaults {
        delay_ms: 150,
        ..PlatformFaults::default()
    };
    fleet.set_platform_faults(slow).await.unwrap();
    let (first, second) = (fleet.operator_client(0), fleet.operator_client(1));
    let (left, right) = tokio::join!(
        put(&first, "left", "van", 1),
        put(&second, "right", "van", 2)
    );
    let (won, lost): (Vec<_>, Vec<_>) = [left, right].into_iter().partition(Result::is_ok);
    assert_eq!((won.len(), lost.len()), (1, 1));
    let lost = lost.into_iter().next().unwrap().unwrap_err();
    assert_eq!(lost.code(), Code::Aborted);
    assert!(lost.message().contains("revision 1"), "{lost}");
}

#[tokio::test]
async fn two_operators_with_different_subjects_both_win() {
    let fleet = FleetBuilder::new().start().await.unwrap();
    let slow = PlatformFaults {
        delay_ms: 100,
        ..PlatformFaults::default()
    };
    fleet.set_platform_faults(slow).await.unwrap();
    let (first, second) = (fleet.operator_client(0), fleet.operator_client(1));
    let (left, right) = tokio::join!(
        put(&first, "left", "van", 1),
        put(&second, "right", "depot", 1)
    );
    let mut revisions = [left.unwrap().revision, right.unwrap().revision];
    revisions.sort_unstable();
    assert_eq!(revisions, [1, 2]);
}

#[tokio::test]
async fn change_during_an_outage_is_refused_and_can_be_sent_again() {
    let fleet = FleetBuilder::new().start().await.unwrap();
    let out = PlatformFaults {
        out: true,
        ..PlatformFaults::default()
    };
    fleet.set_platform_faults(out).await.unwrap();
    let refused = put(&fleet.operator_client(0), "change-1", "van", 1)
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
        put(&fleet.operator_client(2), "change-1", "van", 1)
            .await
            .unwrap()
            .revision,
        1
    );
}

#[tokio::test]
async fn revisions_only_grow_over_freezes_outages_and_replacements() {
    let mut fleet = FleetBuilder::new().start().await.unwrap();
    fleet.wait_for_members(2).await.unwrap();
    let watch = RevisionWatch::start(&fleet);
    put(&fleet.operator_client(0), "change-1", "van", 1)
        .await
        .unwrap();
    fleet.vms[2].process.freeze();
    put(&fleet.operator_client(0), "change-2", "van", 2)
        .await
        .unwrap();
    put(&fleet.operator_client(1), "change-3", "van", 3)
        .await
        .unwrap();
    fleet.vms[2].process.thaw();
    fleet.wait_for_revision(3).await.unwrap();
    // The VM that accepted the next change is killed at once.
    put(&fleet.operator_client(1), "change-4", "van", 4)
        .await
        .unwrap();
    fleet.vms[1].process.kill();
    watch.check().await;
    let replacement = fleet.start_vm(1).await.unwrap();
    fleet.vms[1] = replacement;
    fleet.publish_listing().await.unwrap();
    fleet.wait_ready().await.unwrap();
    assert_eq!(
        fleet.revision(1).await.unwrap(),
        4,
        "a ready VM holds the newest revision"
    );
    fleet.wait_for_revision(4).await.unwrap();
}

#[tokio::test]
async fn new_vm_is_ready_from_peers_alone_while_the_platform_is_out() {
    let fleet = FleetBuilder::new().start().await.unwrap();
    put(&fleet.operator_client(0), "change-1", "van", 1)
        .await
        .unwrap();
    fleet.wait_for_revision(1).await.unwrap();
    let out = PlatformFaults {
        out: true,
        ..PlatformFaults::default()
    };
    fleet.set_platform_faults(out).await.unwrap();
    let seeds: Vec<_> = fleet.vms.iter().map(|vm| vm.peer_address).collect();
    let vm = fleet
        .start_vm_with_settings(3, json!({ "seeds": seeds }))
        .await
        .unwrap();
    fleet.wait_for_vm_ready(&vm).await.unwrap();
    let operator = skylarkshed_operator::connect(vm.operator_address);
    let told = operator
        .describe(DescribeRequest::default())
        .await
        .unwrap()
        .into_inner();
    assert_eq!(told.revision, 1);
}

#[tokio::test]
async fn new_vm_that_can_learn_nothing_is_not_ready() {
    let fleet = FleetBuilder::new().zones(1).start().await.unwrap();
    put(&fleet.operator_client(0), "change-1", "van", 1)
        .await
        .unwrap();
    let out = PlatformFaults {
        out: true,
        ..PlatformFaults::default()
    };
    fleet.set_platform_faults(out).await.unwrap();
    let vm = fleet.start_vm(1).await.unwrap();
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(fleet.readiness(&vm).await, Some(503));
}

#[derive(Clone, Copy, Debug)]
enum Cut {
    Platform,
    Peers,
}

#[rstest::rstest]
#[case::from_platform(Cut::Platform)]
#[case::from_peers(Cut::Peers)]
#[tokio::test]
async fn change_reaches_a_vm_cut_off_on_one_side(#[case] cut: Cut) {
    let builder = FleetBuilder::new().proxy_platform().proxy_peers();
    let fleet = builder.start().await.unwrap();
    fleet.wait_for_members(2).await.unwrap();
    let vm = &fleet.vms[2];
    match cut {
        Cut::Platform => {
            let reset = ProxyFaults {
                reset: true,
                ..ProxyFaults::default()
            };
            fleet
                .set_proxy_faults(vm.platform_proxy.as_ref(), &reset)
                .await
                .unwrap();
        }
        Cut::Peers => cut_from_peers(&fleet, 2).await,
    }
    let start = Instant::now();
    put(&fleet.operator_client(0), "change-1", "van", 1)
        .await
        .unwrap();
    fleet.wait_for_revision(1).await.unwrap();
    assert!(
        start.elapsed() < FORCE_BOUND,
        "{cut:?}: took {:?}",
        start.elapsed()
    );
}

/// Cuts a VM from all others, in both directions.
async fn cut_from_peers(fleet: &Fleet, cut: usize) {
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
    cut_from_peers(&fleet, cut).await;
    let before = fleet.revision(cut).await.unwrap();
    let made = put(&fleet.operator_client(0), "change-1", "van", 1)
        .await
        .unwrap();
    let vm = fleet.vms[cut].caller_address;
    let query = query("while cut off", 30);
    assert_complete_answer(
        "v1",
        &query,
        &GenerationClient::default().generate(vm, &query).await,
    );
    let caller = CallClient::default();
    let keys = caller
        .mint(vm, Fleet::CUSTOMER_KEY, Fleet::PLAIN_SERVICE, 1)
        .await;
    let minted = caller
        .call(
            vm,
            Fleet::CUSTOMER_KEY,
            SERVICE_CALLS,
            Some(&keys[0]),
            "one meter",
        )
        .await;
    assert!(minted.is_success(), "{minted:?}");
    let own = caller
        .call(
            vm,
            Fleet::CUSTOMER_KEY,
            SERVICE_CALLS,
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
        "it holds what it had"
    );
    let healed = ProxyFaults::default();
    fleet
        .set_proxy_faults(fleet.vms[cut].platform_proxy.as_ref(), &healed)
        .await
        .unwrap();
    for vm in &fleet.vms {
        fleet
            .set_proxy_faults(vm.peer_proxy.as_ref(), &healed)
            .await
            .unwrap();
    }
    let start = Instant::now();
    fleet.wait_for_revision(made.revision).await.unwrap();
    assert!(start.elapsed() < FORCE_BOUND, "took {:?}", start.elapsed());
}
