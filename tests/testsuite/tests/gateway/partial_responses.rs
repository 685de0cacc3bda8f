//! Responses that break off: none of them reaches a caller as a complete one.

use rstest::rstest;
use skylarkshed_stand_ins::{ResponsePart, ScriptedResponse};
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder};

/// Starts a harness whose first upstreams, which are chosen first, break off.
async fn start(last: ResponsePart, is_reset: bool) -> GatewayHarness {
    let harness = HarnessBuilder::default().start().await;
    let part = ScriptedResponse::Part { last, is_reset };
    harness.applications[0].enqueue_response(part.clone());
    harness.engines[0].enqueue_response(part);
    let events = ScriptedResponse::stream(3, skylarkshed_stand_ins::StreamEnd::Complete);
    harness.engines[1].set_default_response(events);
    harness
}

/// Guards against a success with an empty or short body, framed as whole.
#[rstest]
#[tokio::test]
async fn response_that_breaks_off_is_no_success(
    #[values(
        ResponsePart::HalfStatusLine,
        ResponsePart::StatusLine,
        ResponsePart::FirstHeader,
        ResponsePart::HalfLastHeader,
        ResponsePart::Headers,
        ResponsePart::Head
    )]
    last: ResponsePart,
    #[values(false, true)] is_reset: bool,
) {
    let harness = start(last, is_reset).await;
    let booking = harness.send_request("POST", "/book/7", "x").await;
    assert_eq!(booking.status, 502);
    assert_eq!(harness.application_request_count(), 1);
    let stream = harness.send_request("POST", "/write/7", "x").await;
    assert_eq!((stream.status, stream.is_complete), (200, true));
    assert_eq!(stream.event_ids(), [1, 2, 3]);
}

#[rstest]
#[tokio::test]
async fn call_that_may_be_repeated_is_answered_by_another_upstream(
    #[values(
        ResponsePart::FirstHeader,
        ResponsePart::Head,
        ResponsePart::UnframedBody
    )]
    last: ResponsePart,
) {
    let harness = start(last, true).await;
    let lookup = harness.send_request("GET", "/find/7", "").await;
    assert_eq!((lookup.status, lookup.body.as_str()), (200, "answer"));
    assert_eq!(harness.application_request_count(), 2);
}

/// Guards against a body without a length that is taken for whole although its connection
/// was reset.
#[tokio::test]
async fn body_without_a_length_is_whole_only_if_its_connection_is_closed() {
    let harness = start(ResponsePart::UnframedBody, true).await;
    let reset = harness.send_request("POST", "/book/7", "x").await;
    assert_eq!(reset.status, 502);
    let harness = start(ResponsePart::UnframedBody, false).await;
    let closed = harness.send_request("POST", "/book/7", "x").await;
    assert_eq!((closed.status, closed.body.as_str()), (200, "answer"));
}
