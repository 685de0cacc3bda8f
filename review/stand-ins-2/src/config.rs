//! The operators' configuration.

/// The host of all routes.
pub const HOST: &str = "ficu95.example";
/// The key of the first tenant.
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";
pub const APPLICATION: &str = "counter-app";
pub const ENGINES: &str = "scribe-pool";

/// A version of the configuration.
#[derive(Clone, Debug)]
pub struct Config {
    pub version: u64,
    pub max_header_bytes: usize,
    /// Names and keys of the tenants.
    pub tenants: Vec<(&'static str, &'static str)>,
    pub timeout_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            version: 7,
            max_header_bytes: 16_384,
            tenants: vec![("huka270", KEY)],
            timeout_ms: 3_000,
        }
    }
}

impl Config {
    /// Returns the text of `op/config`.
    pub fn to_json(&self) -> String {
        let tenants = self.tenants.iter().map(|(name, key)| {
            format!("{{\"name\":\"{name}\",\"api_keys\":[\"{key}\"],\"priority\":1}}")
        });
        let tenants = tenants.collect::<Vec<_>>().join(",");
        let call = |name: &str, kind: &str, attempts: u32| {
            format!(
                "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
                 \"timeout_ms\":{},\"target_latency_ms\":300,\"priority\":2,\"service\":\"{APPLICATION}\",\
                 \"attempts\":{attempts},\"public_access\":false,\"session_affinity\":false,\
                 \"stream_resumption\":false,\"target_gap_ms\":0}}",
                self.timeout_ms
            )
        };
        let stream = format!(
            "{{\"name\":\"r-letters\",\"host\":\"{HOST}\",\"prefix\":\"/letters/\",\"kind\":\"streaming\",\
             \"timeout_ms\":25000,\"target_latency_ms\":4500,\"priority\":1,\"service\":\"{ENGINES}\",\
             \"attempts\":5,\"public_access\":false,\"session_affinity\":true,\
             \"stream_resumption\":true,\"target_gap_ms\":700}}"
        );
        format!(
            "{{\"version\":{},\"routes\":[{},{},{stream}],\"services\":[\
             {{\"name\":\"{ENGINES}\",\"health_path\":\"/health\",\"max_connections\":180,\
             \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":16,\"cache_capacity\":88000,\
             \"cache_token_bytes\":18432,\"link_mbps\":370000.0,\"moves\":true,\"backups\":true,\
             \"stride\":8,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":4.0,\
             \"models\":[{{\"name\":\"m\"}}]}}}},\
             {{\"name\":\"{APPLICATION}\",\"health_path\":\"/health\",\"max_connections\":110,\
             \"protocol\":\"h1\",\"tls\":false}}],\
             \"limits\":{{\"max_header_bytes\":{},\"max_body_bytes\":4194304,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{tenants}]}}",
            self.version,
            call("credits", "unsafe", 1),
            call("balances", "safe", 2),
            self.max_header_bytes
        )
    }
}
