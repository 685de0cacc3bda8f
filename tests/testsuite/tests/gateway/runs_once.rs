//! Requests that may not be repeated run once at most, and refusals are true.

use rstest::rstest;
use skylarkshed_stand_ins::ScriptedResponse;
use skylarkshed_testsuite::HarnessBuilder;
use std::time::Duration;

#[rstest]
#[case::reset(ScriptedResponse::Reset, 502)]
#[case::garbage(ScriptedResponse::Unparsable, 502)]
#[case::truncated(ScriptedResponse::Truncated, 502)]
#[case::crossed(ScriptedResponse::WrongAttemptId, 502)]
#[case::unsigned(ScriptedResponse::Unsigned, 502)]
#[case::silent(ScriptedResponse::NoResponse, 504)]
#[case::own_failure(ScriptedResponse::failure(), 500)]
#[tokio::test]
async fn a_booking_that_may_have_run_is_not_sent_again(
    #[case] reaction: ScriptedResponse,
    #[case] status: u16,
) {
    let rig = HarnessBuilder::default().applications(2).start().await;
    for application in &rig.applications {
        application.set_default_response(reaction.clone());
    }
    let answer = rig.ask("POST", "/book/7", "x").await;
    assert_eq!(answer.status, status);
    assert_eq!(answer.header("retry-after"), None);
    assert_eq!(rig.heard_by_applications(), 1);
}

#[tokio::test]
async fn a_booking_goes_elsewhere_if_nothing_was_sent() {
    let rig = HarnessBuilder::default().applications(2).start().await;
    rig.applications[0].stop();
    for _ in 0..4 {
        assert_eq!(rig.ask("POST", "/book/7", "x").await.status, 200);
    }
    assert_eq!(rig.applications[1].received_requests().len(), 4);
}

#[rstest]
#[case::full(ScriptedResponse::NotExecuted)]
#[case::other_upstream(ScriptedResponse::Misdirected)]
#[tokio::test]
async fn a_refusal_says_not_run_and_when_to_come_back(#[case] reaction: ScriptedResponse) {
    let rig = HarnessBuilder::default().applications(2).start().await;
    for application in &rig.applications {
        application.set_default_response(reaction.clone());
    }
    let answer = rig.ask("POST", "/book/7", "x").await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert!(answer.body.contains("\"outcome\":\"not_run\""));
    // The route allows one attempt.
    assert_eq!(rig.heard_by_applications(), 1);
}

#[tokio::test]
async fn a_lookup_is_tried_again_within_its_attempts() {
    let rig = HarnessBuilder::default().applications(3).start().await;
    for application in &rig.applications {
        application.set_default_response(ScriptedResponse::failure());
    }
    let answer = rig.ask("GET", "/find/7", "").await;
    assert_eq!(
        answer.status, 500,
        "the upstream's own failure is passed on"
    );
    assert!(answer.header("x-server-signature").is_some());
    assert_eq!(rig.heard_by_applications(), 2);
}

#[rstest]
#[case::own_failure(ScriptedResponse::failure())]
#[case::reset(ScriptedResponse::Reset)]
#[case::not_run(ScriptedResponse::NotExecuted)]
#[case::crossed(ScriptedResponse::WrongAttemptId)]
#[case::truncated(ScriptedResponse::Truncated)]
#[case::slow(ScriptedResponse::Status { status: 200, delay: Duration::from_secs(5) })]
#[tokio::test]
async fn a_lookup_gets_its_answer_from_another(#[case] reaction: ScriptedResponse) {
    let rig = HarnessBuilder::default().applications(2).start().await;
    // The zone of the VM is tried first.
    rig.applications[0].enqueue_response(reaction);
    let answer = rig.ask("GET", "/find/7", "").await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, "answer");
    assert_eq!(rig.heard_by_applications(), 2);
}

#[tokio::test]
async fn an_address_of_another_upstream_is_not_used_again() {
    let rig = HarnessBuilder::default().applications(2).start().await;
    rig.applications[0].enqueue_response(ScriptedResponse::Misdirected);
    assert_eq!(rig.ask("GET", "/find/7", "").await.status, 200);
    for _ in 0..3 {
        assert_eq!(rig.ask("POST", "/book/7", "x").await.status, 200);
    }
    assert_eq!(rig.applications[0].received_requests().len(), 1);
}

/// Cutting a call off brings nothing if no other upstream can do better.
#[tokio::test]
async fn slow_lookup_is_waited_for_if_no_other_upstream_is_left() {
    let rig = HarnessBuilder::default().applications(1).start().await;
    rig.applications[0].set_default_response(ScriptedResponse::Status {
        status: 200,
        delay: Duration::from_millis(500),
    });
    assert_eq!(rig.ask("GET", "/find/7", "").await.status, 200);
    assert_eq!(rig.heard_by_applications(), 1);
}

/// One of two upstreams hangs; the lookup goes to the other before it is late.
#[tokio::test]
async fn hanging_lookup_goes_to_an_upstream_that_answers() {
    let rig = HarnessBuilder::default().applications(2).start().await;
    rig.applications[0].set_default_response(ScriptedResponse::NoResponse);
    for _ in 0..6 {
        assert_eq!(rig.ask("GET", "/find/7", "").await.status, 200);
    }
}
