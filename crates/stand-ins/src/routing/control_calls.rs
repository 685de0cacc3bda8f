//! The responses of a fake upstream to the gateway's own requests.

use super::config::UPSTREAM_START_MS;
use super::endless_response::EndlessResponse;
use super::engine_report::EngineReport;
use super::received_request::ReceivedRequest;
use serde_json::json;
use std::time::Duration;

/// What a fake upstream knows for the gateway's own requests.
#[derive(Debug, Default)]
pub struct ControlCalls {
    /// The bodies of the requests to copy a KV cache; each names the request whose cache
    /// is copied and the target.
    pub(super) kv_move_requests: Vec<String>,
    /// Whether requests to copy a KV cache fail.
    pub(super) refuses_kv_moves: bool,
    /// The parts of prompts in the KV cache.
    pub(super) cached_parts: Vec<String>,
    /// The load report instead of that of an idle engine.
    pub(super) report: Option<String>,
    /// The status line's rest of load reports; a success by default.
    pub(super) report_status: Option<String>,
    /// The time before a load report is sent.
    pub(super) report_delay: Duration,
    /// The response to all of these requests instead of the regular one.
    pub(super) endless: Option<EndlessResponse>,
}

impl ControlCalls {
    /// Returns the calls of an engine with this load.
    pub fn with_report(report: &EngineReport) -> Self {
        ControlCalls {
            report: Some(report.to_json()),
            ..ControlCalls::default()
        }
    }

    /// Returns how long to wait before the response to a request.
    pub fn delay(&self, request: &ReceivedRequest) -> Duration {
        match request.request_line.starts_with("GET /-/report") {
            true => self.report_delay,
            false => Duration::ZERO,
        }
    }

    /// Returns the response to a request that the gateway itself makes of an engine (load
    /// report, list or copy of the KV cache, release of a copy); `None` for a request
    /// forwarded for a caller.
    pub fn respond(&mut self, request: &ReceivedRequest) -> Option<String> {
        let line = &request.request_line;
        let body = if line.starts_with("GET /-/report") {
            if let Some(report) = &self.report {
                let length = report.len();
                let status = self.report_status.as_deref().unwrap_or("200 OK");
                let head = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n");
                return Some(format!("{head}{report}"));
            }
            json!({"born": UPSTREAM_START_MS, "waiting": 0, "running": 0, "runs": []})
        } else if line.starts_with("GET /-/kv-list") {
            let parts = self.cached_parts.iter();
            let held: Vec<_> = parts.map(|part| json!(["", part, 8_000, "m"])).collect();
            json!({"epoch": 1, "next": 1, "held": held})
        } else if line.starts_with("POST /-/kv-move") {
            let body = String::from_utf8_lossy(&request.body).into_owned();
            self.kv_move_requests.push(body);
            if self.refuses_kv_moves {
                return Some("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_owned());
            }
            json!({"handle": "h-1", "created": 1})
        } else if line.starts_with("DELETE /-/") {
            json!({})
        } else {
            return None;
        };
        let body = body.to_string();
        let length = body.len();
        Some(format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"
        ))
    }
}
