//! Rows and replies of the fake store.

use base64::prelude::{Engine, BASE64_STANDARD};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use percent_encoding::percent_decode_str;
use serde_json::{json, Value};
use std::collections::HashMap;

/// The maximum number of rows in one reply.
pub(super) const MAX_PAGE_ROWS: usize = 500;
/// The size of the values in one reply that ends it, in bytes.
pub(super) const MAX_PAGE_BYTES: usize = 1_000_000;

/// Replaces the address in a row that has one with a substitute.
pub(super) fn substitute(substitutes: &HashMap<String, String>, value: Vec<u8>) -> Vec<u8> {
    let Ok(mut row) = serde_json::from_slice::<Value>(&value) else {
        return value;
    };
    let proxy = row["address"]
        .as_str()
        .and_then(|address| substitutes.get(address));
    let Some(proxy) = proxy else {
        return value;
    };
    row["address"] = json!(proxy);
    row.to_string().into_bytes()
}

pub(super) fn row(table: &str, key: &str, revision: u64, value: Option<&[u8]>) -> Value {
    let mut row = json!({
        "table": table,
        "part": "",
        "key": key,
        "schema_version": revision,
    });
    match value {
        Some(value) => row["value"] = json!(BASE64_STANDARD.encode(value)),
        None => row["removed"] = json!(true),
    }
    row
}

pub(super) fn parse_query(request: &Request<Incoming>) -> HashMap<String, String> {
    let query = request.uri().query().unwrap_or("");
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), decode(value)))
        .collect()
}

/// Decodes a value of a query.
fn decode(value: &str) -> String {
    let value = value.replace('+', " ");
    percent_decode_str(&value).decode_utf8_lossy().into_owned()
}

pub(super) fn reply(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = status;
    response
}
