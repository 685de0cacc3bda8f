//! The settings of one process.

use crate::clock::ClockTime;
use crate::names::{VmName, ZoneName};
use crate::units::DurationText;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::net::SocketAddr;

/// All settings of one VM's process, read from one JSON file.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::NodeSettings;
///
/// let text = r#"{
///     "name": "vm-a1", "zone": "scot-east-a", "region": "scot-east",
///     "listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"},
///     "platform": {"address": "127.0.0.1:7000"},
///     "peer_key": "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
/// }"#;
/// let settings = NodeSettings::parse("node.json", text).unwrap();
/// assert_eq!(settings.zone.as_str(), "scot-east-a");
/// assert!(NodeSettings::parse("node.json", "{\"nam\": 1}").is_err());
/// ```
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The VM's name, unique within the system.
    pub name: VmName,
    /// The availability zone the VM runs in.
    pub zone: ZoneName,
    /// The region of the availability zone.
    pub region: String,
    /// The addresses the process listens on.
    pub listen: ListenSettings,
    /// How to reach the platform.
    pub platform: PlatformSettings,
    /// The key shared by all VMs: 64 hexadecimal digits.
    pub peer_key: String,
    /// Peer addresses to contact first when the platform's VM list can't be read.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// How a generation is resumed after its engine failed.
    #[serde(default)]
    pub resume: ResumeSettings,
    /// How application calls are sent.
    #[serde(default)]
    pub calls: CallSettings,
    /// Limits on requests and bodies.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// The addresses a process listens on; port 0 selects a free port.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// The address for callers' HTTP requests.
    pub callers: SocketAddr,
    /// The address for operators' remote procedure calls.
    pub operators: SocketAddr,
    /// The address for other VMs, with the same port number for TCP and UDP.
    pub peers: SocketAddr,
    /// The address that is advertised to other VMs, if it differs from `peers`.
    #[serde(default)]
    pub advertise_peers: Option<SocketAddr>,
}

/// How to reach the platform, which provides the table, the object store and the VM list.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The address of the platform's service.
    pub address: SocketAddr,
    /// The timeout of one request to the platform.
    #[serde(default = "default_platform_timeout")]
    #[serde_as(as = "DurationText")]
    pub timeout: ClockTime,
    /// The interval at which the VM list and the newest configuration revision are read.
    #[serde(default = "default_platform_poll")]
    #[serde_as(as = "DurationText")]
    pub poll: ClockTime,
}

/// How a failed engine is distinguished from a slow one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureDetection {
    /// An engine has failed after a fixed time without a message.
    FixedTimeout,
    /// An engine has failed after a time without a message that is long compared
    /// with its own earlier intervals between messages.
    OwnGaps,
    /// Like `own_gaps`, but the unresponsive attempt keeps running beside a hedged
    /// attempt and may still win.
    Race,
}

/// How a generation is resumed when its engine dies or stops responding.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ResumeSettings {
    /// How a failed engine is distinguished from a slow one.
    pub detection: FailureDetection,
    /// The time without a message after which `fixed_timeout` declares an engine failed.
    #[serde_as(as = "DurationText")]
    pub fixed_timeout: ClockTime,
    /// The minimum time without a message before `own_gaps` and `race` act.
    #[serde_as(as = "DurationText")]
    pub shortest_silence: ClockTime,
    /// The time without a message after which any engine is declared failed; a
    /// prefill may take longer.
    #[serde_as(as = "DurationText")]
    pub longest_silence: ClockTime,
    /// The maximum wait for another engine to take over.
    #[serde_as(as = "DurationText")]
    pub patience: ClockTime,
    /// The budget for hedged attempts: extra tokens per hundred delivered tokens.
    pub race_percent: u32,
    /// The maximum number of extra tokens that the budget accumulates.
    pub race_reserve: u32,
}

/// How application calls are sent.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallSettings {
    /// The maximum wait for an upstream's response.
    #[serde_as(as = "DurationText")]
    pub timeout: ClockTime,
    /// Retries allowed per hundred calls.
    pub retry_percent: u32,
    /// How long claims of idempotency keys wait to be written in one batch.
    #[serde_as(as = "DurationText")]
    pub claim_window: ClockTime,
    /// The maximum number of minted idempotency keys that are kept.
    pub minted_keys: usize,
}

/// Limits on requests and bodies.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The maximum number of headers of a request.
    pub headers: usize,
    /// The maximum time that a caller may take to send a body.
    #[serde_as(as = "DurationText")]
    pub body_time: ClockTime,
    /// The maximum number of tokens of one generation.
    pub generation_tokens: u32,
    /// The maximum number of requests in progress in this process.
    pub in_progress: usize,
    /// The maximum time that a request waits for a permit to run.
    #[serde_as(as = "DurationText")]
    pub queue_time: ClockTime,
    /// How long a draining process accepts new work after its readiness check fails.
    #[serde_as(as = "DurationText")]
    pub drain_grace: ClockTime,
}

impl Default for ResumeSettings {
    fn default() -> Self {
        ResumeSettings {
            detection: FailureDetection::Race,
            fixed_timeout: ClockTime::from_millis(2_000),
            shortest_silence: ClockTime::from_millis(500),
            longest_silence: ClockTime::from_millis(2_000),
            patience: ClockTime::from_millis(3_000),
            race_percent: 5,
            race_reserve: 100_000,
        }
    }
}

impl Default for CallSettings {
    fn default() -> Self {
        CallSettings {
            timeout: ClockTime::from_millis(5_000),
            retry_percent: 10,
            claim_window: ClockTime::from_millis(2),
            minted_keys: 100_000,
        }
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        LimitSettings {
            body_bytes: 1 << 20,
            headers: 64,
            body_time: ClockTime::from_millis(10_000),
            generation_tokens: 32_768,
            in_progress: 2_000,
            queue_time: ClockTime::from_millis(500),
            drain_grace: ClockTime::from_millis(1_000),
        }
    }
}

fn default_platform_timeout() -> ClockTime {
    ClockTime::from_millis(500)
}

fn default_platform_poll() -> ClockTime {
    ClockTime::from_millis(1_000)
}
