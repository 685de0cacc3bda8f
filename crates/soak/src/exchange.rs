//! One request and its response on an open connection.

use crate::records::{CallerRequest, Outcome, SeenResponse};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use skylarkshed_stand_ins::{headers, HOST};
use std::time::Duration;

pub(crate) fn to_message(request: &CallerRequest) -> Request<Full<Bytes>> {
    let mut message = Request::builder()
        .method(request.method.as_str())
        .uri(&request.path)
        .header(http::header::HOST, HOST)
        .header(headers::REQUEST_ID, &request.id)
        .header(headers::TIME_LEFT, request.time_limit.as_millis());
    if request.events > 0 {
        message = message.header(headers::TOKENS, format!("800,{}", request.events));
        let crashing = request.crashing_part.iter();
        let crashing: String = crashing.map(|part| format!("{part}:300,")).collect();
        let parts = format!("first:200,{crashing}own-{}:300", request.id);
        message = message.header(headers::PROMPT_PARTS, parts);
    }
    if request.last_event > 0 {
        message = message.header(headers::LAST_EVENT, request.last_event);
    }
    if let Some(key) = &request.key {
        message = message.header(http::header::AUTHORIZATION, format!("Token {key}"));
    }
    let body = Full::new(Bytes::from(request.body.clone()));
    message.body(body).expect("the request is well-formed")
}

pub(crate) enum ExchangeEnd {
    /// The connection was closed before the request was sent.
    NotSent,
    /// The outcome, whether the connection may be used again, and the time after which
    /// the caller was told to come back, in seconds.
    Ended(Outcome, bool, Option<f64>),
}

/// Sends a request and reads its response. What arrives of a successful body is in `received`
/// as well, for a caller that stops waiting.
pub(crate) async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    message: Request<Full<Bytes>>,
    reads_slowly: bool,
    received: &mut Vec<u8>,
) -> ExchangeEnd {
    let response = match sender.send_request(message).await {
        Ok(response) => response,
        Err(error) if error.is_canceled() => return ExchangeEnd::NotSent,
        Err(error) if error.is_parse() => {
            let outcome = Outcome::Unparsable(error.to_string());
            return ExchangeEnd::Ended(outcome, false, None);
        }
        Err(_) => return ExchangeEnd::Ended(Outcome::Closed, false, None),
    };
    let text = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let wait = text("retry-after").and_then(|wait| wait.parse().ok());
    let closes = text("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let mut seen = SeenResponse {
        status: response.status().as_u16(),
        signature: text(headers::SIGNATURE),
        request_id: text(headers::REQUEST_ID),
        ..SeenResponse::default()
    };
    let mut other = Vec::new();
    let body = if seen.status == 200 {
        received
    } else {
        &mut other
    };
    seen.is_complete = read_body(response, reads_slowly, body).await;
    seen.body = String::from_utf8_lossy(body).into_owned();
    let is_usable = seen.is_complete && !closes;
    ExchangeEnd::Ended(Outcome::Response(seen), is_usable, wait)
}

/// Reads the body and reports whether it arrived completely.
async fn read_body(
    mut response: Response<Incoming>,
    reads_slowly: bool,
    body: &mut Vec<u8>,
) -> bool {
    while let Some(frame) = response.body_mut().frame().await {
        match frame.map(hyper::body::Frame::into_data) {
            Ok(Ok(data)) => body.extend_from_slice(&data),
            Ok(Err(_)) => {}
            Err(_) => return false,
        }
        if reads_slowly {
            tokio::time::sleep(Duration::from_millis(15)).await;
        }
    }
    true
}
