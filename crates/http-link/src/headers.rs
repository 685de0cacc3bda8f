//! Hop-by-hop headers, which apply to a single connection, and what they tell of a body.

use http::header::{
    HeaderName, CONNECTION, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, Response, Version};
use hyper::body::Body;

/// Reports whether the body of a received response ends with its connection: it has neither
/// a length nor chunks.
///
/// # Examples
///
/// ```
/// use http::Response;
/// use http_body_util::{Full, StreamBody};
/// use hyper::body::{Bytes, Frame};
/// use skylarkshed_http_link::is_close_delimited;
/// use std::convert::Infallible;
///
/// // Its length is unknown.
/// let open = || StreamBody::new(futures::stream::empty::<Result<Frame<Bytes>, Infallible>>());
/// assert!(is_close_delimited(&Response::new(open())));
/// let chunked = Response::builder().header("transfer-encoding", "chunked");
/// assert!(!is_close_delimited(&chunked.body(open()).unwrap()));
/// assert!(!is_close_delimited(&Response::new(Full::<Bytes>::from("answer"))));
/// ```
pub fn is_close_delimited<B: Body>(response: &Response<B>) -> bool {
    let has_length = response.body().size_hint().exact().is_some();
    let encodings = response.headers().get_all(TRANSFER_ENCODING);
    let last = encodings.into_iter().next_back();
    let last = last.and_then(|value| value.to_str().ok()?.rsplit(',').next());
    let is_chunked = response.version() >= Version::HTTP_11
        && last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"));
    !(has_length || is_chunked)
}

/// Removes the hop-by-hop headers, including those that `Connection` names.
///
/// # Examples
///
/// ```
/// use http::HeaderMap;
/// use skylarkshed_http_link::strip_connection_headers;
///
/// let mut headers = HeaderMap::new();
/// headers.insert("connection", "x-hop".parse().unwrap());
/// headers.insert("x-hop", "1".parse().unwrap());
/// headers.insert("x-end", "1".parse().unwrap());
/// strip_connection_headers(&mut headers);
/// assert_eq!(headers.len(), 1);
/// ```
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
    const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
    let named = headers.get_all(CONNECTION).into_iter().filter_map(|value| {
        let names = value.to_str().ok()?.split(',');
        Some(names.filter_map(|name| HeaderName::try_from(name.trim()).ok()))
    });
    let named: Vec<HeaderName> = named.flatten().collect();
    let fixed = [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ];
    for name in fixed.into_iter().chain(named) {
        headers.remove(name);
    }
}
