//! A call that may not be repeated runs at most once, and `not_run` is true.

use rstest::rstest;
use skylarkshed_bench::{CallClient, CallResponse, Fleet, FleetBuilder};
use skylarkshed_stand_ins::{ApplicationFaults, PlatformFaults, ProxyFaults};
use skylarkshed_testsuite::SERVICE_CALLS;
use std::time::{Duration, Instant};

async fn fleet(builder: FleetBuilder) -> Fleet {
    let fleet = builder.start().await.unwrap();
    fleet.configure().await.unwrap();
    fleet
}

async fn book(fleet: &Fleet, vm: usize, key: &str) -> CallResponse {
    let vm = fleet.vms[vm].caller_address;
    CallClient::default()
        .call(
            vm,
            Fleet::CUSTOMER_KEY,
            SERVICE_CALLS,
            Some(key),
            "one meter",
        )
        .await
}

async fn runs(fleet: &Fleet, key: &str) -> u64 {
    fleet
        .call_counts()
        .await
        .unwrap()
        .get(key)
        .copied()
        .unwrap_or(0)
}

#[tokio::test]
async fn second_use_of_a_key_gets_the_stored_answer_at_any_vm() {
    let fleet = fleet(FleetBuilder::new()).await;
    let first = book(&fleet, 0, "key").await;
    assert!(first.is_success(), "{first:?}");
    let end = Instant::now() + Duration::from_secs(5);
    loop {
        let second = book(&fleet, 1, "key").await;
        if second.is_success() {
            assert_eq!(second.body, first.body);
            break;
        }
        assert_eq!(second.outcome(), "unknown", "until the answer is stored");
        assert!(second.retry_after.is_some() && Instant::now() < end);
    }
    assert_eq!(runs(&fleet, "key").await, 1);
}

#[tokio::test]
async fn key_of_another_request_is_refused() {
    let fleet = fleet(FleetBuilder::new().zones(1)).await;
    assert!(book(&fleet, 0, "key").await.is_success());
    let vm = fleet.vms[0].caller_address;
    let caller = CallClient::default();
    let other = caller
        .call(
            vm,
            Fleet::CUSTOMER_KEY,
            SERVICE_CALLS,
            Some("key"),
            "two meters",
        )
        .await;
    assert_eq!((other.status, other.reason()), (422, "key_mismatch"));
    assert_eq!(runs(&fleet, "key").await, 1);
}

#[tokio::test]
async fn same_key_at_all_vms_at_once_runs_once() {
    let fleet = fleet(FleetBuilder::new()).await;
    for round in 0..10 {
        let key = format!("key-{round}");
        let (a, b, c) = tokio::join!(
            book(&fleet, 0, &key),
            book(&fleet, 1, &key),
            book(&fleet, 2, &key)
        );
        let answered = [a, b, c].iter().filter(|trace| trace.is_success()).count();
        assert!(answered >= 1, "one claimant wins");
        assert_eq!(runs(&fleet, &key).await, 1);
    }
}

#[tokio::test]
async fn lost_reply_of_the_claim_is_settled_by_reading_it_back() {
    let fleet = fleet(FleetBuilder::new()).await;
    let faults = PlatformFaults {
        lose_replies: 1,
        ..PlatformFaults::default()
    };
    fleet.set_platform_faults(faults).await.unwrap();
    let first = book(&fleet, 0, "key").await;
    assert!(first.is_success(), "{first:?}");
    assert_eq!(runs(&fleet, "key").await, 1);
}

#[tokio::test]
async fn platform_out_means_not_run_at_once() {
    let fleet = fleet(FleetBuilder::new()).await;
    let out = PlatformFaults {
        out: true,
        ..PlatformFaults::default()
    };
    fleet.set_platform_faults(out).await.unwrap();
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
    assert_eq!(runs(&fleet, "key").await, 0);
    fleet
        .set_platform_faults(PlatformFaults::default())
        .await
        .unwrap();
    assert!(book(&fleet, 1, "key").await.is_success());
    assert_eq!(runs(&fleet, "key").await, 1);
}

#[tokio::test]
async fn slow_platform_means_not_run_or_one_run() {
    let fleet = fleet(FleetBuilder::new()).await;
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
    // The claim took effect late; its call did not run and never will.
    let again = book(&fleet, 1, "key").await;
    assert!(
        again.is_success() || again.outcome() == "unknown",
        "{again:?}"
    );
    assert!(runs(&fleet, "key").await <= 1);
}

#[rstest]
#[case::killed(true)]
#[case::paused(false)]
#[tokio::test]
async fn claimant_lost_between_claim_and_answer_runs_once(#[case] killed: bool) {
    let fleet = fleet(FleetBuilder::new()).await;
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
    let asked = tokio::spawn(async move {
        let caller = CallClient::default();
        caller
            .call(
                vm,
                Fleet::CUSTOMER_KEY,
                SERVICE_CALLS,
                Some("key"),
                "one meter",
            )
            .await
    });
    while runs(&fleet, "key").await == 0 {
        tokio::task::yield_now().await;
    }
    match killed {
        true => fleet.vms[0].process.kill(),
        false => fleet.vms[0].process.freeze(),
    }
    let second = book(&fleet, 1, "key").await;
    assert_eq!(
        (second.reason(), second.outcome()),
        ("key_in_use", "unknown")
    );
    fleet.vms[0].process.thaw();
    asked.await.unwrap();
    assert_eq!(runs(&fleet, "key").await, 1);
}

#[tokio::test]
async fn unreachable_application_means_not_run_and_gives_the_key_back() {
    let mut fleet = fleet(FleetBuilder::new().zones(1)).await;
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
async fn reset_after_the_call_was_sent_is_unknown_and_not_repeated() {
    let fleet = fleet(FleetBuilder::new().proxy_upstreams()).await;
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
    let asked = tokio::spawn(async move {
        let caller = CallClient::default();
        caller
            .call(vm, Fleet::CUSTOMER_KEY, SERVICE_CALLS, None, "no key")
            .await
    });
    while runs(&fleet, "no key").await == 0 {
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
    let trace = asked.await.unwrap();
    assert_eq!(
        (trace.reason(), trace.outcome()),
        ("answer_lost", "unknown")
    );
    assert_eq!(runs(&fleet, "no key").await, 1);
}

#[tokio::test]
async fn minted_keys_go_on_with_the_platform_out() {
    let fleet = fleet(FleetBuilder::new()).await;
    fleet.wait_for_members(2).await.unwrap();
    let caller = CallClient::default();
    let keys = caller
        .mint(
            fleet.vms[0].caller_address,
            Fleet::CUSTOMER_KEY,
            Fleet::PLAIN_SERVICE,
            3,
        )
        .await;
    let out = PlatformFaults {
        out: true,
        ..PlatformFaults::default()
    };
    fleet.set_platform_faults(out).await.unwrap();
    // At the minter, through another VM, and the same key again everywhere.
    let first = book(&fleet, 0, &keys[0]).await;
    assert!(first.is_success(), "{first:?}");
    for vm in 0..3 {
        let again = book(&fleet, vm, &keys[0]).await;
        assert_eq!(again.body, first.body, "vm-{vm} gives the stored answer");
    }
    let forwarded = book(&fleet, 2, &keys[1]).await;
    assert!(forwarded.is_success(), "{forwarded:?}");
    assert_eq!(fleet.call_counts().await.unwrap().values().sum::<u64>(), 2);
}

#[tokio::test]
async fn minted_key_of_a_dead_vm_is_unknown_and_never_runs() {
    let fleet = fleet(FleetBuilder::new()).await;
    fleet.wait_for_members(2).await.unwrap();
    let caller = CallClient::default();
    let keys = caller
        .mint(
            fleet.vms[0].caller_address,
            Fleet::CUSTOMER_KEY,
            Fleet::PLAIN_SERVICE,
            1,
        )
        .await;
    fleet.vms[0].process.kill();
    let trace = book(&fleet, 1, &keys[0]).await;
    assert_eq!(
        (trace.reason(), trace.outcome()),
        ("minter_unreachable", "unknown")
    );
    assert!(fleet.call_counts().await.unwrap().is_empty());
}

#[tokio::test]
async fn minted_key_of_another_customer_is_refused() {
    let fleet = fleet(FleetBuilder::new().zones(1)).await;
    fleet.put_customer("van", "van-key", 1, 0, 0).await.unwrap();
    let caller = CallClient::default();
    let vm = fleet.vms[0].caller_address;
    let keys = caller
        .mint(vm, Fleet::CUSTOMER_KEY, Fleet::PLAIN_SERVICE, 1)
        .await;
    let other = caller
        .call(vm, "van-key", SERVICE_CALLS, Some(&keys[0]), "one meter")
        .await;
    assert_eq!(
        (other.reason(), other.outcome()),
        ("key_not_minted", "not_run")
    );
    assert!(
        book(&fleet, 0, &keys[0]).await.is_success(),
        "its owner can still spend it"
    );
    assert_eq!(runs(&fleet, &keys[0]).await, 1);
}

#[tokio::test]
async fn key_that_may_have_run_is_not_told_as_not_run_in_an_outage() {
    let fleet = fleet(FleetBuilder::new().zones(1)).await;
    let crossed = ApplicationFaults {
        crossed: 1,
        ..ApplicationFaults::default()
    };
    fleet
        .set_application_faults(&fleet.applications[0], &crossed)
        .await
        .unwrap();
    let first = book(&fleet, 0, "key").await;
    assert_eq!(
        (first.reason(), first.outcome()),
        ("wrong_answer", "unknown")
    );
    let out = PlatformFaults {
        out: true,
        ..PlatformFaults::default()
    };
    fleet.set_platform_faults(out).await.unwrap();
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
    assert_eq!(runs(&fleet, "key").await, 1);
}
