//! A call that is not idempotent runs at most once, and `not_run` is only reported for
//! calls that did not run.

use rstest::rstest;
use skylarkshed_bench::{CallClient, CallResponse, Fleet, FleetBuilder};
use skylarkshed_stand_ins::{ApplicationFaults, PlatformFaults, ProxyFaults};
use skylarkshed_testsuite::BOOKING_PATH;
use std::time::{Duration, Instant};

pub(crate) async fn start_fleet(builder: FleetBuilder) -> Fleet {
    let fleet = builder.start().await.unwrap();
    fleet.configure().await.unwrap();
    fleet
}

pub(crate) async fn book(fleet: &Fleet, vm: usize, key: &str) -> CallResponse {
    let vm = fleet.vms[vm].caller_address;
    CallClient::default()
        .call(
            vm,
            Fleet::CUSTOMER_KEY,
            BOOKING_PATH,
            Some(key),
            "one meter",
        )
        .await
}

async fn run_count(fleet: &Fleet, key: &str) -> u64 {
    fleet
        .call_counts()
        .await
        .unwrap()
        .get(key)
        .copied()
        .unwrap_or(0)
}

#[tokio::test]
async fn second_use_of_a_key_gets_the_stored_response_at_any_vm() {
    let fleet = start_fleet(FleetBuilder::new()).await;
    let first = book(&fleet, 0, "key").await;
    assert!(first.is_success(), "{first:?}");
    let end = Instant::now() + Duration::from_secs(5);
    loop {
        let second = book(&fleet, 1, "key").await;
        if second.is_success() {
            assert_eq!(second.body, first.body);
            break;
        }
        assert_eq!(second.outcome(), "unknown", "until the response is stored");
        assert!(second.retry_after.is_some() && Instant::now() < end);
    }
    assert_eq!(run_count(&fleet, "key").await, 1);
}

#[tokio::test]
async fn key_of_a_different_request_is_refused() {
    let fleet = start_fleet(FleetBuilder::new().zones(1)).await;
    assert!(book(&fleet, 0, "key").await.is_success());
    let vm = fleet.vms[0].caller_address;
    let client = CallClient::default();
    let other = client
        .call(
            vm,
            Fleet::CUSTOMER_KEY,
            BOOKING_PATH,
            Some("key"),
            "two meters",
        )
        .await;
    assert_eq!((other.status, other.reason()), (422, "key_mismatch"));
    assert_eq!(run_count(&fleet, "key").await, 1);
}

#[tokio::test]
async fn concurrent_calls_with_one_key_run_once() {
    let fleet = start_fleet(FleetBuilder::new()).await;
    for round in 0..10 {
        let key = format!("key-{round}");
        let (a, b, c) = tokio::join!(
            book(&fleet, 0, &key),
            book(&fleet, 1, &key),
            book(&fleet, 2, &key)
        );
        let answered = [a, b, c]
            .iter()
            .filter(|response| response.is_success())
            .count();
        assert!(answered >= 1, "at least one claim succeeds");
        assert_eq!(run_count(&fleet, &key).await, 1);
    }
}

#[tokio::test]
async fn claim_with_a_lost_reply_is_confirmed_by_a_read() {
    let fleet = start_fleet(FleetBuilder::new()).await;
    let faults = PlatformFaults {
        lose_replies: 1,
        ..PlatformFaults::default()
    };
    fleet.set_platform_faults(faults).await.unwrap();
    let first = book(&fleet, 0, "key").await;
    assert!(first.is_success(), "{first:?}");
    assert_eq!(run_count(&fleet, "key").await, 1);
}

#[tokio::test]
async fn platform_outage_is_reported_as_not_run_at_once() {
    let fleet = start_fleet(FleetBuilder::new()).await;
    let outage = PlatformFaults {
        out: true,
        ..PlatformFaults::default()
    };
    fleet.set_platform_faults(outage).await.unwrap();
    let refused = book(&fleet, 0, "key").await;
    assert_eq!(
        (refused.reason(), refused.outcome()),
        ("claim_unavailable", "not_run")
    );
    assert!(refused.retry_after.is_some());
    assert!(
        refused.duration < Duration::from_secs(1),
        "took {:?}",
        refused.duration
    );
    assert_eq!(run_count(&fleet, "key").await, 0);
    fleet
        .set_platform_faults(PlatformFaults::default())
        .await
        .unwrap();
    assert!(book(&fleet, 1, "key").await.is_success());
    assert_eq!(run_count(&fleet, "key").await, 1);
}

#[tokio::test]
async fn slow_platform_leads_to_not_run_or_one_run() {
    let fleet = start_fleet(FleetBuilder::new()).await;
    let slow = PlatformFaults {
        delay_ms: 800,
        ..PlatformFaults::default()
    };
    fleet.set_platform_faults(slow).await.unwrap();
    let refused = book(&fleet, 0, "key").await;
    assert_eq!(refused.outcome(), "not_run", "{refused:?}");
    fleet
        .set_platform_faults(PlatformFaults::default())
        .await
        .unwrap();
    // The claim was written after the refusal; its call did not run and never will.
    let again = book(&fleet, 1, "key").await;
    assert!(
        again.is_success() || again.outcome() == "unknown",
        "{again:?}"
    );
    assert!(run_count(&fleet, "key").await <= 1);
}

#[rstest]
#[case::killed(true)]
#[case::frozen(false)]
#[tokio::test]
async fn call_runs_once_if_its_vm_fails_before_the_response(#[case] is_killed: bool) {
    let fleet = start_fleet(FleetBuilder::new()).await;
    let slow = ApplicationFaults {
        delay_ms: 600,
        ..ApplicationFaults::default()
    };
    for application in &fleet.applications {
        fleet
            .set_application_faults(application, &slow)
            .await
            .unwrap();
    }
    let vm = fleet.vms[0].caller_address;
    let pending = tokio::spawn(async move {
        let client = CallClient::default();
        client
            .call(
                vm,
                Fleet::CUSTOMER_KEY,
                BOOKING_PATH,
                Some("key"),
                "one meter",
            )
            .await
    });
    while run_count(&fleet, "key").await == 0 {
        tokio::task::yield_now().await;
    }
    match is_killed {
        true => fleet.vms[0].process.kill(),
        false => fleet.vms[0].process.freeze(),
    }
    let second = book(&fleet, 1, "key").await;
    assert_eq!(
        (second.reason(), second.outcome()),
        ("key_in_use", "unknown")
    );
    fleet.vms[0].process.thaw();
    pending.await.unwrap();
    assert_eq!(run_count(&fleet, "key").await, 1);
}

#[tokio::test]
async fn unreachable_application_is_reported_as_not_run() {
    let mut fleet = start_fleet(FleetBuilder::new().zones(1)).await;
    fleet.applications[0].process.kill();
    fleet.applications[0]
        .process
        .wait(Duration::from_secs(5))
        .await;
    let refused = book(&fleet, 0, "key").await;
    assert_eq!(refused.outcome(), "not_run", "{refused:?}");
    assert!(refused.retry_after.is_some());
}

#[tokio::test]
async fn reset_after_the_call_was_sent_is_unknown_and_not_retried() {
    let fleet = start_fleet(FleetBuilder::new().proxy_upstreams()).await;
    let slow = ApplicationFaults {
        delay_ms: 400,
        ..ApplicationFaults::default()
    };
    for application in &fleet.applications {
        fleet
            .set_application_faults(application, &slow)
            .await
            .unwrap();
    }
    let vm = fleet.vms[0].caller_address;
    let pending = tokio::spawn(async move {
        let client = CallClient::default();
        client
            .call(vm, Fleet::CUSTOMER_KEY, BOOKING_PATH, None, "no key")
            .await
    });
    while run_count(&fleet, "no key").await == 0 {
        tokio::task::yield_now().await;
    }
    let reset = ProxyFaults {
        reset: true,
        ..ProxyFaults::default()
    };
    for application in &fleet.applications {
        fleet
            .set_proxy_faults(application.proxy.as_ref(), &reset)
            .await
            .unwrap();
    }
    let response = pending.await.unwrap();
    assert_eq!(
        (response.reason(), response.outcome()),
        ("answer_lost", "unknown")
    );
    assert_eq!(run_count(&fleet, "no key").await, 1);
}

#[tokio::test]
async fn minted_keys_work_during_a_platform_outage() {
    let fleet = start_fleet(FleetBuilder::new()).await;
    fleet.wait_for_members(2).await.unwrap();
    let client = CallClient::default();
    let keys = client
        .mint(
            fleet.vms[0].caller_address,
            Fleet::CUSTOMER_KEY,
            Fleet::PLAIN_SERVICE,
            3,
        )
        .await;
    let outage = PlatformFaults {
        out: true,
        ..PlatformFaults::default()
    };
    fleet.set_platform_faults(outage).await.unwrap();
    // The first key is used at the VM that minted it, then again at every VM; the second
    // one is used at another VM.
    let first = book(&fleet, 0, &keys[0]).await;
    assert!(first.is_success(), "{first:?}");
    for vm in 0..3 {
        let again = book(&fleet, vm, &keys[0]).await;
        assert_eq!(
            again.body, first.body,
            "vm-{vm} returns the stored response"
        );
    }
    let forwarded = book(&fleet, 2, &keys[1]).await;
    assert!(forwarded.is_success(), "{forwarded:?}");
    assert_eq!(fleet.call_counts().await.unwrap().values().sum::<u64>(), 2);
}

#[tokio::test]
async fn minted_key_of_a_killed_vm_is_unknown_and_never_runs() {
    let fleet = start_fleet(FleetBuilder::new()).await;
    fleet.wait_for_members(2).await.unwrap();
    let client = CallClient::default();
    let keys = client
        .mint(
            fleet.vms[0].caller_address,
            Fleet::CUSTOMER_KEY,
            Fleet::PLAIN_SERVICE,
            1,
        )
        .await;
    fleet.vms[0].process.kill();
    let response = book(&fleet, 1, &keys[0]).await;
    assert_eq!(
        (response.reason(), response.outcome()),
        ("minter_unreachable", "unknown")
    );
    assert!(fleet.call_counts().await.unwrap().is_empty());
}

#[tokio::test]
async fn minted_key_of_another_customer_is_refused() {
    let fleet = start_fleet(FleetBuilder::new().zones(1)).await;
    fleet.put_customer("van", "van-key", 1, 0, 0).await.unwrap();
    let client = CallClient::default();
    let vm = fleet.vms[0].caller_address;
    let keys = client
        .mint(vm, Fleet::CUSTOMER_KEY, Fleet::PLAIN_SERVICE, 1)
        .await;
    let other = client
        .call(vm, "van-key", BOOKING_PATH, Some(&keys[0]), "one meter")
        .await;
    assert_eq!(
        (other.reason(), other.outcome()),
        ("key_not_minted", "not_run")
    );
    assert!(
        book(&fleet, 0, &keys[0]).await.is_success(),
        "its owner can still use it"
    );
    assert_eq!(run_count(&fleet, &keys[0]).await, 1);
}

#[tokio::test]
async fn key_that_may_have_run_is_not_reported_as_not_run_in_an_outage() {
    let fleet = start_fleet(FleetBuilder::new().zones(1)).await;
    let mismatched = ApplicationFaults {
        crossed: 1,
        ..ApplicationFaults::default()
    };
    fleet
        .set_application_faults(&fleet.applications[0], &mismatched)
        .await
        .unwrap();
    let first = book(&fleet, 0, "key").await;
    assert_eq!(
        (first.reason(), first.outcome()),
        ("wrong_answer", "unknown")
    );
    let outage = PlatformFaults {
        out: true,
        ..PlatformFaults::default()
    };
    fleet.set_platform_faults(outage).await.unwrap();
    let second = book(&fleet, 0, "key").await;
    assert_eq!(
        (second.reason(), second.outcome()),
        ("key_in_use", "unknown")
    );
    let other = book(&fleet, 0, "other key").await;
    assert_eq!(
        (other.reason(), other.outcome()),
        ("claim_unavailable", "not_run")
    );
    assert_eq!(run_count(&fleet, "key").await, 1);
}
