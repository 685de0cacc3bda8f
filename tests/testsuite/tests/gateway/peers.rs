//! VMs share what one of them reads of the store.

use skylarkshed_stand_ins::StoreMode;
use skylarkshed_testsuite::{config_metric, wait_metric, GatewayHarness, HarnessBuilder, OtherVm};
use std::time::Duration;

const PEER_ANSWERED: &str = "gateway_peer_calls_total{source=\"control\",outcome=\"answered\"}";

/// Starts VMs until one of the two asks the other.
async fn start_pair() -> (GatewayHarness, OtherVm, bool) {
    let rig = HarnessBuilder::default().start().await;
    let other = rig.start_other("vm-2").await;
    let other_asks = tokio::select! {
        () = wait_metric(other.metrics, PEER_ANSWERED) => true,
        () = rig.wait_metric(PEER_ANSWERED) => false,
    };
    (rig, other, other_asks)
}

#[tokio::test]
async fn one_vm_of_a_zone_asks_the_other() {
    let (rig, other, _) = start_pair().await;
    let before = rig.store.call_count();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let calls = rig.store.call_count() - before;
    // Two watches of one VM, each answered within 0.8 s, and a list of VMs each.
    assert!(calls <= 14, "{calls} calls of two VMs in 3 s");
    let config = rig.config();
    let version = config["version"].as_u64().unwrap();
    rig.put_config(&config);
    rig.wait_version(version).await;
    wait_metric(other.metrics, &config_metric(version)).await;
}

#[tokio::test]
async fn a_vm_goes_on_when_its_carrier_is_gone() {
    let (mut rig, mut other, other_asks) = start_pair().await;
    let left = match other_asks {
        true => {
            rig.process.kill().await.unwrap();
            other.metrics
        }
        false => {
            other.process.kill().await.unwrap();
            rig.metrics
        }
    };
    let config = rig.config();
    let version = config["version"].as_u64().unwrap();
    rig.put_config(&config);
    wait_metric(left, &config_metric(version)).await;
}

#[tokio::test]
async fn no_vm_vouches_for_what_none_could_read() {
    let (rig, other, _) = start_pair().await;
    rig.store.set_mode(StoreMode::Unavailable);
    // Each VM may ask the other, but the age of what they know only grows.
    tokio::time::sleep(Duration::from_millis(5_300)).await;
    for callers in [rig.callers, other.callers] {
        let mut caller = skylarkshed_testsuite::RawCaller::connect(callers).await;
        let request = GatewayHarness::request("POST", "/book/7", "depot-key", "x");
        caller.send(request.as_bytes()).await;
        assert_eq!(caller.answer().await.unwrap().status, 503);
    }
    rig.store.set_mode(StoreMode::Available);
    rig.wait_ready().await;
}

#[tokio::test]
async fn cut_vms_do_not_hide_from_each_other_that_the_store_is_lost() {
    let (rig, other, _) = start_pair().await;
    rig.store.set_mode(StoreMode::Unavailable);
    // Both ask each other meanwhile, and both lost the store.
    tokio::time::sleep(Duration::from_secs(4)).await;
    rig.store.remove("servers", "app-1");
    rig.store.set_mode(StoreMode::Available);
    let lapsed = "gateway_entries_lapsed_total 1";
    rig.wait_metric(lapsed).await;
    wait_metric(other.metrics, lapsed).await;
}
