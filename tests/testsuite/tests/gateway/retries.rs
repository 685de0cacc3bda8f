//! Requests that are not retryable run at most once, and `not_run` is only reported
//! for requests that did not run.

use rstest::rstest;
use skylarkshed_stand_ins::ScriptedResponse;
use skylarkshed_testsuite::HarnessBuilder;
use std::time::{Duration, Instant};

/// Longer than the time after which a lookup is tried at another upstream.
const SLOW: Duration = Duration::from_millis(600);
/// The timeout of the route for lookups.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(1);
const SHORT: Duration = Duration::from_millis(150);

#[rstest]
#[case::reset(ScriptedResponse::Reset, 502)]
#[case::unparsable(ScriptedResponse::Unparsable, 502)]
#[case::truncated(ScriptedResponse::Truncated, 502)]
#[case::wrong_attempt_id(ScriptedResponse::WrongAttemptId, 502)]
#[case::unsigned(ScriptedResponse::Unsigned, 502)]
#[case::silent(ScriptedResponse::NoResponse, 504)]
#[case::stalled_body(ScriptedResponse::StalledBody { status: 200 }, 504)]
#[case::upstream_failure(ScriptedResponse::failure(), 500)]
#[tokio::test]
async fn booking_that_may_have_run_is_not_retried(
    #[case] response_script: ScriptedResponse,
    #[case] status: u16,
) {
    let harness = HarnessBuilder::default().applications(2).start().await;
    for application in &harness.applications {
        application.set_default_response(response_script.clone());
    }
    let response = harness.send_request("POST", "/book/7", "x").await;
    assert_eq!(response.status, status);
    assert_eq!(response.header("retry-after"), None);
    assert_eq!(harness.application_request_count(), 1);
}

#[tokio::test]
async fn booking_goes_to_another_upstream_if_nothing_was_sent() {
    let harness = HarnessBuilder::default().applications(2).start().await;
    harness.applications[0].stop();
    for _ in 0..4 {
        assert_eq!(
            harness.send_request("POST", "/book/7", "x").await.status,
            200
        );
    }
    assert_eq!(harness.applications[1].received_requests().len(), 4);
}

/// An upstream with too many connections resets new ones. Whether the first request was
/// received is unknown; the others are held until the connection is known to stay.
#[rstest]
#[case::some_upstreams(2, 200)]
#[case::all_upstreams(3, 503)]
#[tokio::test]
async fn upstream_that_closes_new_connections_is_not_sent_bookings(
    #[case] closing: usize,
    #[case] status: u16,
) {
    let harness = HarnessBuilder::default().applications(3).start().await;
    for application in &harness.applications[..closing] {
        application.reset_connections();
    }
    let mut unknown = 0;
    for number in 0..30 {
        let path = format!("/book/{number}");
        let response = harness.send_request("POST", &path, "x").await;
        if response.status == 502 {
            unknown += 1;
            continue;
        }
        assert_eq!(response.status, status, "booking {number}");
        let is_refused = status == 503;
        assert_eq!(response.header("retry-after").is_some(), is_refused);
    }
    assert!(unknown <= closing, "{unknown} bookings may have run");
}

#[rstest]
#[case::not_run(ScriptedResponse::NotExecuted)]
#[case::other_upstream(ScriptedResponse::Misdirected)]
#[tokio::test]
async fn refusal_reports_not_run_and_retry_after(#[case] response_script: ScriptedResponse) {
    let harness = HarnessBuilder::default().applications(2).start().await;
    for application in &harness.applications {
        application.set_default_response(response_script.clone());
    }
    let response = harness.send_request("POST", "/book/7", "x").await;
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert!(response.body.contains("\"outcome\":\"not_run\""));
    // The route allows one attempt.
    assert_eq!(harness.application_request_count(), 1);
}

#[tokio::test]
async fn lookup_is_retried_up_to_its_max_attempts() {
    let harness = HarnessBuilder::default().applications(3).start().await;
    for application in &harness.applications {
        application.set_default_response(ScriptedResponse::failure());
    }
    let response = harness.send_request("GET", "/find/7", "").await;
    assert_eq!(
        response.status, 500,
        "the upstream's own failure is passed on"
    );
    assert!(response.header("x-server-signature").is_some());
    assert_eq!(harness.application_request_count(), 2);
}

#[rstest]
#[case::upstream_failure(ScriptedResponse::failure())]
#[case::reset(ScriptedResponse::Reset)]
#[case::not_run(ScriptedResponse::NotExecuted)]
#[case::wrong_attempt_id(ScriptedResponse::WrongAttemptId)]
#[case::truncated(ScriptedResponse::Truncated)]
#[case::slow(ScriptedResponse::Status { status: 200, delay: Duration::from_secs(5) })]
#[tokio::test]
async fn lookup_is_retried_at_another_upstream(#[case] response_script: ScriptedResponse) {
    let harness = HarnessBuilder::default().applications(2).start().await;
    // The upstream in the VM's own zone is tried first.
    harness.applications[0].enqueue_response(response_script);
    let response = harness.send_request("GET", "/find/7", "").await;
    assert_eq!(response.status, 200);
    assert_eq!(response.body, "answer");
    assert_eq!(harness.application_request_count(), 2);
}

#[tokio::test]
async fn address_of_another_upstream_is_not_used_again() {
    let harness = HarnessBuilder::default().applications(2).start().await;
    harness.applications[0].enqueue_response(ScriptedResponse::Misdirected);
    assert_eq!(harness.send_request("GET", "/find/7", "").await.status, 200);
    for _ in 0..3 {
        assert_eq!(
            harness.send_request("POST", "/book/7", "x").await.status,
            200
        );
    }
    assert_eq!(harness.applications[0].received_requests().len(), 1);
}

/// Cancelling a slow call gains nothing if there is no other upstream to retry at.
#[tokio::test]
async fn slow_lookup_is_not_cancelled_if_no_other_upstream_is_left() {
    let harness = HarnessBuilder::default().applications(1).start().await;
    harness.applications[0].set_default_response(ScriptedResponse::Status {
        status: 200,
        delay: Duration::from_millis(500),
    });
    assert_eq!(harness.send_request("GET", "/find/7", "").await.status, 200);
    assert_eq!(harness.application_request_count(), 1);
}

/// One of two upstreams hangs; the lookup is retried at the other within its timeout.
#[tokio::test]
async fn hanging_lookup_is_retried_at_an_upstream_that_responds() {
    let harness = HarnessBuilder::default().applications(2).start().await;
    harness.applications[0].set_default_response(ScriptedResponse::NoResponse);
    for _ in 0..6 {
        assert_eq!(harness.send_request("GET", "/find/7", "").await.status, 200);
    }
}

/// Guards against calls that are refused by one shedding upstream while another has room.
#[tokio::test]
async fn shedding_upstream_is_avoided_and_tried_again_later() {
    let harness = HarnessBuilder::default().applications(2).start().await;
    let shedding = &harness.applications[0];
    shedding.set_default_response(ScriptedResponse::NotExecuted);
    let mut refused = 0;
    for _ in 0..40 {
        let response = harness.send_request("POST", "/book/7", "x").await;
        refused += usize::from(response.status == 503);
    }
    assert!(refused <= 8, "{refused} of 40 calls were refused");
    shedding.set_default_response(ScriptedResponse::success());
    let count = shedding.received_requests().len();
    let calling = async {
        while shedding.received_requests().len() == count {
            harness.send_request("POST", "/book/7", "x").await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let result = tokio::time::timeout(Duration::from_secs(10), calling).await;
    assert!(result.is_ok(), "the upstream is used again");
}

#[rstest]
#[case::reset(ScriptedResponse::Reset)]
#[case::unparsable(ScriptedResponse::Unparsable)]
#[case::truncated(ScriptedResponse::Truncated)]
#[case::wrong_attempt_id(ScriptedResponse::WrongAttemptId)]
#[tokio::test]
async fn broken_response_makes_its_upstream_suspect(#[case] response_script: ScriptedResponse) {
    let harness = HarnessBuilder::default().applications(2).start().await;
    let (broken, sound) = (&harness.applications[0], &harness.applications[1]);
    broken.set_default_response(response_script);
    let response = harness.send_request("POST", "/book/7", "x").await;
    assert_eq!(response.status, 502);
    let response = harness.send_request("POST", "/book/7", "x").await;
    assert_eq!(response.status, 200);
    assert_eq!(broken.received_requests().len(), 1);
    assert_eq!(sound.received_requests().len(), 1);
}

/// Guards against a lookup that leaves a slow upstream for one that then refuses, and fails
/// although the first could have answered.
#[rstest]
#[case::not_run(ScriptedResponse::NotExecuted)]
#[case::reset(ScriptedResponse::Reset)]
#[case::unsigned(ScriptedResponse::Unsigned)]
#[tokio::test]
async fn slow_lookup_is_answered_although_the_other_upstream_refuses(
    #[case] refusal: ScriptedResponse,
) {
    let harness = HarnessBuilder::default().applications(2).start().await;
    harness.applications[0].set_default_response(ScriptedResponse::Status {
        status: 200,
        delay: SLOW,
    });
    harness.applications[1].set_default_response(refusal);
    let response = harness.send_request("GET", "/find/7", "").await;
    assert_eq!(response.status, 200);
    assert_eq!(harness.application_request_count(), 2);
}

#[tokio::test]
async fn slow_lookup_is_answered_although_no_other_upstream_can_be_reached() {
    let harness = HarnessBuilder::default().applications(2).start().await;
    harness.applications[0].set_default_response(ScriptedResponse::Status {
        status: 200,
        delay: SLOW,
    });
    harness.applications[1].stop();
    let response = harness.send_request("GET", "/find/7", "").await;
    assert_eq!(response.status, 200);
}

/// The slow upstream fails first, while the other one is at work.
#[tokio::test]
async fn lookup_is_answered_by_the_second_upstream_after_the_first_has_failed() {
    let harness = HarnessBuilder::default().applications(2).start().await;
    harness.applications[0].set_default_response(ScriptedResponse::Status {
        status: 500,
        delay: SLOW / 2,
    });
    harness.applications[1].set_default_response(ScriptedResponse::Status {
        status: 200,
        delay: SLOW / 2,
    });
    let response = harness.send_request("GET", "/find/7", "").await;
    assert_eq!(response.status, 200);
    assert_eq!(harness.application_request_count(), 2);
}

#[tokio::test]
async fn lookup_that_no_upstream_answers_ends_at_its_deadline() {
    let harness = HarnessBuilder::default().applications(2).start().await;
    harness.applications[0].set_default_response(ScriptedResponse::NoResponse);
    harness.applications[1].set_default_response(ScriptedResponse::NotExecuted);
    let started = Instant::now();
    let response = harness.send_request("GET", "/find/7", "").await;
    assert_eq!(response.status, 504);
    let elapsed = started.elapsed();
    assert!(elapsed < ROUTE_TIMEOUT + 2 * SHORT, "{elapsed:?}");
}
