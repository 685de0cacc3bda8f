//! The operator's configuration of a small deployment.

use crate::client::{HOST, KEY};

pub const APP: &str = "stores-app";
pub const MODEL: &str = "ledger-llm";

/// Returns a configuration with a route for bookings, one for lookups and one for
/// generations.
pub fn config(version: u64) -> String {
    render(version, &["write"])
}

/// Returns the configuration with a second route for generations.
pub fn config_with_route(version: u64, name: &str) -> String {
    render(version, &["write", name])
}

fn render(version: u64, generations: &[&str]) -> String {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, rest: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","prefix":"/{name}/","kind":"{kind}","priority":1,"service":"{service}","attempts":{attempts},"public_access":false,{rest}}}"#
        )
    };
    let call = r#""timeout_ms":3000,"target_latency_ms":300,"session_affinity":false,"stream_resumption":false,"target_gap_ms":0"#;
    let stream = r#""timeout_ms":25000,"target_latency_ms":4500,"session_affinity":true,"stream_resumption":true,"target_gap_ms":700"#;
    let mut routes = vec![
        route("book", "unsafe", APP, 3, call),
        route("find", "safe", APP, 3, call),
    ];
    let generations = generations.iter();
    routes.extend(generations.map(|name| route(name, "streaming", MODEL, 5, stream)));
    let routes = routes.join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"{MODEL}","health_path":"/health","max_connections":180,"protocol":"h1","tls":false,"engine":{{"slots":16,"cache_capacity":88000,"cache_token_bytes":18432,"link_mbps":370000.0,"moves":true,"backups":true,"stride":8,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":4.0,"models":[{{"name":"m"}}]}}}},{{"name":"{APP}","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"depot","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}
