//! A request, its response and the world around it.

use skylarkshed_core::ClockTime;
use skylarkshed_soak::{
    check_request, check_totals, ArrivalRecord, CallKind, CallerRequest, ConfigVersion, Outcome,
    RequestStory, RouteRule, SeenResponse, UpstreamRun, World,
};

pub(crate) const fn ms(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// The time at which requests are sent: long after the start.
pub(crate) const SENT_AT: ClockTime = ms(20_000);
pub(crate) const NOW: ClockTime = ms(40_000);

pub(crate) fn version(number: u64, accepted_at: ClockTime) -> ConfigVersion {
    ConfigVersion {
        number,
        accepted_at,
        routes: vec![RouteRule {
            prefix: "/book/".to_owned(),
            services: vec!["stores".to_owned()],
            is_public: false,
            timeout: ms(1_000),
        }],
        keys: [("key".to_owned(), "depot".to_owned())].into(),
    }
}

pub(crate) fn world() -> World {
    let mut world = World::default();
    world.configs.versions.push(version(1, ms(0)));
    world
}

pub(crate) fn run() -> UpstreamRun {
    UpstreamRun {
        upstream: "stores-1".to_owned(),
        service: "stores".to_owned(),
        at: SENT_AT + ms(5),
        is_executed: true,
        ended_at: SENT_AT + ms(50),
        status: 200,
        signature: "signature".to_owned(),
        body: "answer".to_owned(),
        target: "POST /book/1".to_owned(),
        request_body: "order".to_owned(),
        customer: Some("depot".to_owned()),
        time_left: Some(ms(3_990)),
        ..UpstreamRun::default()
    }
}

pub(crate) fn arrival() -> ArrivalRecord {
    ArrivalRecord {
        service: "stores".to_owned(),
        at: SENT_AT + ms(5),
    }
}

pub(crate) fn response() -> SeenResponse {
    SeenResponse {
        status: 200,
        signature: Some("signature".to_owned()),
        request_id: Some("r1".to_owned()),
        body: "answer".to_owned(),
        is_complete: true,
    }
}

pub(crate) fn refusal(status: u16) -> SeenResponse {
    SeenResponse {
        status,
        signature: None,
        request_id: None,
        ..response()
    }
}

/// Returns a request that ran once and was answered.
pub(crate) fn story() -> RequestStory {
    RequestStory {
        request: CallerRequest {
            id: "r1".to_owned(),
            vm: 0,
            boot: 1,
            kind: CallKind::Unsafe,
            method: "POST".to_owned(),
            path: "/book/1".to_owned(),
            body: "order".to_owned(),
            key: Some("key".to_owned()),
            events: 0,
            last_event: 0,
            sent_at: SENT_AT,
            time_limit: ms(4_000),
            timeout: ms(1_000),
            crashing_part: None,
            attempts: 1,
        },
        outcome: Some((SENT_AT + ms(60), Outcome::Response(response()))),
        arrivals: vec![arrival()],
        runs: vec![run()],
    }
}

pub(crate) fn respond(story: &mut RequestStory, response: SeenResponse) {
    story.outcome = Some((SENT_AT + ms(60), Outcome::Response(response)));
}

pub(crate) fn stream(body: &str, is_complete: bool) -> RequestStory {
    let mut story = story();
    story.request.kind = CallKind::Stream { is_resumable: true };
    story.request.events = 2;
    let body = body.to_owned();
    let response = SeenResponse {
        body,
        is_complete,
        ..response()
    };
    respond(&mut story, response);
    story
}

/// Returns the rules that one request breaks.
pub(crate) fn broken(story: &RequestStory, world: &World) -> Vec<&'static str> {
    let found = check_request(story, world, NOW);
    found.iter().map(|violation| violation.rule).collect()
}

/// Returns the rules that many requests break, beside an answered one.
pub(crate) fn broken_totals(stories: &[RequestStory], world: &World) -> Vec<&'static str> {
    let mut answered = story();
    answered.request.vm = 1;
    answered.request.path = "/other/1".to_owned();
    answered.request.sent_at = ms(0);
    answered.arrivals.clear();
    answered.runs.clear();
    let mut stories: Vec<&RequestStory> = stories.iter().collect();
    stories.push(&answered);
    let found = check_totals(&stories, world, NOW);
    found.iter().map(|violation| violation.rule).collect()
}

pub(crate) const NONE: [&str; 0] = [];

pub(crate) const FIRST: &str = "id: 1\ndata: piece 1 of r1\n\n";
pub(crate) const SECOND: &str = "id: 2\ndata: piece 2 of r1\n\n";
