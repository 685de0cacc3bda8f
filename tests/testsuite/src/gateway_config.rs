//! The routing configuration of the gateway tests.

use serde_json::{json, Value};

/// The API key of the customer `depot`.
pub const DEPOT_KEY: &str = "depot-key";
/// The API key of the customer `vendor`.
pub const VENDOR_KEY: &str = "vendor-key";

/// The host of all routes.
pub(crate) const HOST: &str = "stock.example";
pub(crate) const APP_SERVICE: &str = "stores";
/// The service of the model engines.
pub const MODEL_SERVICE: &str = "ledger";

/// Returns the default configuration, with this version number.
pub(crate) fn default_config(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            route("book", "/book/", "unsafe", APP_SERVICE, 1, 1_000),
            route("find", "/find/", "safe", APP_SERVICE, 2, 1_000),
            route("longer", "/find/special/", "unsafe", APP_SERVICE, 1, 1_000),
            route("write", "/write/", "streaming", MODEL_SERVICE, 5, 20_000),
        ],
        "services": [
            {"name": APP_SERVICE, "health_path": "/h", "max_connections": 100},
            {"name": MODEL_SERVICE, "health_path": "/h", "max_connections": 100,
             "engine": {"slots": 16, "cache_capacity": 88_000, "backups": true,
                        "moves": true, "handle_s": 4.0}},
        ],
        "limits": {
            "max_header_bytes": 8192,
            "max_body_bytes": 65_536,
            "header_timeout_ms": 500,
            "idle_timeout_ms": 1_500,
        },
        "tenants": [
            {"name": "depot", "api_keys": [DEPOT_KEY]},
            {"name": "vendor", "api_keys": [VENDOR_KEY]},
        ],
    })
}

fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    service: &str,
    attempts: u32,
    timeout_ms: u64,
) -> Value {
    let is_stream = kind == "streaming";
    json!({
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": if is_stream { 4_500 } else { 300 },
        "priority": 1,
        "service": service,
        "attempts": attempts,
        "public_access": false,
        "session_affinity": is_stream,
        "stream_resumption": is_stream,
        "target_gap_ms": 700,
    })
}
