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
    /// The availability zone the VM stands in.
    pub zone: ZoneName,
    /// The region of the availability zone.
    pub region: String,
    /// The addresses the process listens on.
    pub listen: ListenSettings,
    /// The platform's service.
    pub platform: PlatformSettings,
    /// The key shared by all VMs: 64 hexadecimal digits.
    pub peer_key: String,
    /// Peer addresses to start from when the platform's list can't be read.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// How a lost generation goes on.
    #[serde(default)]
    pub resume: ResumeSettings,
    /// How quick calls are sent.
    #[serde(default)]
    pub calls: CallSettings,
    /// Limits on requests and bodies.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// The addresses a process listens on; port 0 takes a free port.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// Operators' remote procedure calls.
    pub operators: SocketAddr,
    /// Other VMs, over TCP and UDP on the same port number.
    pub peers: SocketAddr,
    /// The address told to other VMs, if it is not the one listened on.
    #[serde(default)]
    pub advertise_peers: Option<SocketAddr>,
}

/// Where the platform's table, object store and VM list are.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The address of the platform's service.
    pub address: SocketAddr,
    /// How long one request to the platform may take.
    #[serde(default = "default_platform_timeout")]
    #[serde_as(as = "DurationText")]
    pub timeout: ClockTime,
    /// How often the list of VMs and the configuration's head are read.
    #[serde(default = "default_platform_poll")]
    #[serde_as(as = "DurationText")]
    pub poll: ClockTime,
}

/// How a silent engine is told from a slow one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureDetection {
    /// Lost after a fixed silence.
    FixedTimeout,
    /// Lost after a silence judged against the engine's own gaps.
    OwnGaps,
    /// As `own_gaps`, but the silent attempt may still win a race.
    Race,
}

/// How a generation goes on when its engine dies or falls silent.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ResumeSettings {
    /// How a silent engine is told from a slow one.
    pub detection: FailureDetection,
    /// The silence after which `fixed_timeout` calls an engine lost.
    #[serde_as(as = "DurationText")]
    pub fixed_timeout: ClockTime,
    /// The shortest silence that `own_gaps` and `race` act on.
    #[serde_as(as = "DurationText")]
    pub shortest_silence: ClockTime,
    /// The silence after which any engine is called lost.
    #[serde_as(as = "DurationText")]
    pub longest_silence: ClockTime,
    /// The longest wait for an engine to take over.
    #[serde_as(as = "DurationText")]
    pub patience: ClockTime,
    /// Tokens of extra work allowed per hundred delivered tokens.
    pub race_percent: u32,
    /// The most tokens of extra work that can be saved up.
    pub race_reserve: u32,
}

/// How quick calls are sent.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallSettings {
    /// The longest wait for an upstream's answer.
    #[serde_as(as = "DurationText")]
    pub timeout: ClockTime,
    /// Retries allowed per hundred calls.
    pub retry_percent: u32,
    /// How long claims wait to be written together.
    #[serde_as(as = "DurationText")]
    pub claim_window: ClockTime,
    /// The most minted keys that are kept.
    pub minted_keys: usize,
}

/// Limits on requests and bodies.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The most headers of a request.
    pub headers: usize,
    /// The longest time in which a caller may send a body.
    #[serde_as(as = "DurationText")]
    pub body_time: ClockTime,
    /// The most tokens of one generation.
    pub generation_tokens: u32,
    /// The most requests in progress in this process.
    pub in_progress: usize,
    /// The longest wait for a free place.
    #[serde_as(as = "DurationText")]
    pub queue_time: ClockTime,
    /// How long a leaving process takes new work after it fails readiness.
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
