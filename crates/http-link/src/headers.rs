//! Hop-by-hop headers, which apply to a single connection.

use http::header::{
    HeaderName, CONNECTION, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::HeaderMap;

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
