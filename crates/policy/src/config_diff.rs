//! Compares a routing configuration with the version in force.

use crate::config_finding::{ConfigFinding, EntryKind, FindingLabel};
use faststr::FastStr;
use serde::Serialize;
use skylarkshed_core::{
    CallerLimits, ClockTime, CustomerConfig, KeyHash, RequestKind, RouteConfig, RoutingConfig,
    ServiceConfig,
};
use std::collections::{HashMap, HashSet};

/// A field that differs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(untagged)]
pub enum FieldChange {
    /// A value that was replaced.
    Value {
        /// The name of the field.
        field: &'static str,
        /// The value in force.
        old: String,
        /// The new value.
        new: String,
    },
    /// The keys of a customer, of which only the number of changes is told.
    Keys {
        /// The name of the field.
        field: &'static str,
        /// The number of keys that are new.
        added: usize,
        /// The number of keys that are no longer accepted.
        removed: usize,
    },
}

/// An entry with fields that differ.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct EntryChange {
    /// The name of the entry.
    pub name: FastStr,
    /// The fields that differ.
    pub fields: Vec<FieldChange>,
}

/// The differences between the entries of one kind.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct EntryChanges {
    /// The names of new entries.
    pub added: Vec<FastStr>,
    /// The names of entries that no longer exist.
    pub removed: Vec<FastStr>,
    /// The entries that differ.
    pub changed: Vec<EntryChange>,
}

/// The versions of two configurations.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct VersionChange {
    /// The version in force.
    pub old: u64,
    /// The new version.
    pub new: u64,
}

/// The differences between two configurations. They hold no keys and no hashes of keys.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ConfigDiff {
    /// The versions.
    pub version: VersionChange,
    /// The differences of the routes.
    pub routes: EntryChanges,
    /// The differences of the services.
    pub services: EntryChanges,
    /// The differences of the customers.
    pub customers: EntryChanges,
    /// The limits that differ.
    pub limits: Vec<FieldChange>,
    /// Whether requests need keys in the configuration in force alone.
    #[serde(skip)]
    drops_keys: bool,
}

impl ConfigDiff {
    /// Compares a new configuration with the one in force.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_core::{RoutingConfig, ServiceConfig};
    /// use skylarkshed_policy::ConfigDiff;
    ///
    /// let old = RoutingConfig { version: 6, ..RoutingConfig::default() };
    /// let service = ServiceConfig { name: "stores".into(), engine: None };
    /// let new = RoutingConfig { version: 7, services: vec![service], ..old.clone() };
    /// let diff = ConfigDiff::between(&old, &new);
    /// assert_eq!(diff.services.added, ["stores"]);
    /// assert!(diff.check_version().is_none());
    /// ```
    pub fn between(old: &RoutingConfig, new: &RoutingConfig) -> Self {
        ConfigDiff {
            version: VersionChange {
                old: old.version,
                new: new.version,
            },
            routes: compare_entries(&old.routes, &new.routes),
            services: compare_entries(&old.services, &new.services),
            customers: compare_entries(&old.customers, &new.customers),
            limits: compare_fields(limit_fields(&old.limits), limit_fields(&new.limits)),
            drops_keys: old.needs_keys && !new.needs_keys,
        }
    }

    /// Returns what the change of the whole configuration means for VMs and callers.
    pub fn findings(&self) -> impl Iterator<Item = ConfigFinding> {
        self.check_version().into_iter().chain(self.check_keys())
    }

    /// Returns a finding if requests no longer need keys.
    fn check_keys(&self) -> Option<ConfigFinding> {
        self.drops_keys.then(|| {
            ConfigFinding::new(
                FindingLabel::KeysNotNeeded,
                EntryKind::Configuration,
                "customers",
                "all routes are open to everybody, as there is no list of customers any more",
            )
        })
    }

    /// Returns a finding if the new version is not above the one in force.
    pub fn check_version(&self) -> Option<ConfigFinding> {
        let VersionChange { old, new } = self.version;
        (new <= old).then(|| {
            ConfigFinding::new(
                FindingLabel::VersionNotHigher,
                EntryKind::Configuration,
                "version",
                format!("VMs ignore version {new}: version {old} is in force"),
            )
        })
    }
}

/// An entry of a configuration that has a name.
trait NamedEntry {
    fn name(&self) -> &str;

    /// Returns the names and the values of the fields, except of the keys.
    fn fields(&self) -> Vec<(&'static str, String)>;

    fn keys(&self) -> &[KeyHash] {
        &[]
    }
}

impl NamedEntry for RouteConfig {
    fn name(&self) -> &str {
        &self.name
    }

    fn fields(&self) -> Vec<(&'static str, String)> {
        let targets = self.targets.iter();
        let targets = targets.map(|target| format!("{}={}", target.service, target.weight));
        let (is_resumable, gap) = match self.kind {
            RequestKind::EventStream {
                is_resumable,
                target_event_gap,
            } => (is_resumable.to_string(), millis(target_event_gap)),
            RequestKind::Idempotent | RequestKind::NonIdempotent => (none(), none()),
        };
        vec![
            ("host", self.host.to_string()),
            ("prefix", self.prefix.to_string()),
            ("kind", self.kind.label().to_owned()),
            ("is_resumable", is_resumable),
            ("target_event_gap_ms", gap),
            ("max_attempts", self.max_attempts.to_string()),
            ("timeout_ms", millis(self.timeout)),
            ("target_latency_ms", millis(self.target_latency)),
            ("priority", self.priority.to_string()),
            ("services", targets.collect::<Vec<_>>().join(" ")),
            ("is_public", self.is_public.to_string()),
        ]
    }
}

impl NamedEntry for ServiceConfig {
    fn name(&self) -> &str {
        self.name.as_str()
    }

    fn fields(&self) -> Vec<(&'static str, String)> {
        let Some(engine) = &self.engine else {
            return vec![("engine", false.to_string())];
        };
        vec![
            ("engine", true.to_string()),
            ("slots", engine.slots.to_string()),
            (
                "cache_capacity_tokens",
                engine.cache_capacity_tokens.to_string(),
            ),
            ("can_back_up_cache", engine.can_back_up_cache.to_string()),
            ("can_move_cache", engine.can_move_cache.to_string()),
            ("copy_ttl_ms", millis(engine.copy_ttl)),
        ]
    }
}

impl NamedEntry for CustomerConfig {
    fn name(&self) -> &str {
        self.name.as_str()
    }

    fn fields(&self) -> Vec<(&'static str, String)> {
        let priority = self.priority.map(|priority| priority.to_string());
        vec![("priority", priority.unwrap_or_else(none))]
    }

    fn keys(&self) -> &[KeyHash] {
        &self.keys
    }
}

fn limit_fields(limits: &CallerLimits) -> Vec<(&'static str, String)> {
    vec![
        ("max_head_bytes", limits.max_head_bytes.to_string()),
        ("max_body_bytes", limits.max_body_bytes.to_string()),
        ("head_timeout_ms", millis(limits.head_timeout)),
        ("idle_timeout_ms", millis(limits.idle_timeout)),
    ]
}

/// Compares entries by name. Of several entries with the same name, the first ones are
/// compared with each other, then the second ones, and so on.
fn compare_entries<T: NamedEntry>(old: &[T], new: &[T]) -> EntryChanges {
    let mut changes = EntryChanges::default();
    let mut remaining: HashMap<(&str, usize), &T> = numbered(old).collect();
    for (name, entry) in numbered(new) {
        let Some(before) = remaining.remove(&name) else {
            changes.added.push(FastStr::new(entry.name()));
            continue;
        };
        let mut fields = compare_fields(before.fields(), entry.fields());
        fields.extend(compare_keys(before.keys(), entry.keys()));
        if !fields.is_empty() {
            changes.changed.push(EntryChange {
                name: FastStr::new(entry.name()),
                fields,
            });
        }
    }
    let removed = numbered(old).filter(|(name, _)| remaining.contains_key(name));
    changes.removed = removed
        .map(|(_, entry)| FastStr::new(entry.name()))
        .collect();
    changes
}

/// Returns each entry with its name and the number of earlier entries with that name.
fn numbered<T: NamedEntry>(entries: &[T]) -> impl Iterator<Item = ((&str, usize), &T)> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    entries.iter().map(move |entry| {
        let count = counts.entry(entry.name()).or_default();
        *count += 1;
        ((entry.name(), *count - 1), entry)
    })
}

/// Compares fields by name; a field that one side lacks has the value `none` there.
fn compare_fields(
    old: Vec<(&'static str, String)>,
    new: Vec<(&'static str, String)>,
) -> Vec<FieldChange> {
    let mut changes = Vec::new();
    let value = |fields: &[(&'static str, String)], name| {
        let mut fields = fields.iter();
        let field = fields.find(|(field, _)| *field == name);
        field.map_or_else(none, |(_, value)| value.clone())
    };
    let names = old.iter().map(|(name, _)| *name);
    let new_names = new.iter().map(|(name, _)| *name);
    let new_names = new_names.filter(|name| old.iter().all(|(field, _)| field != name));
    for field in names.chain(new_names) {
        let (old, new) = (value(&old, field), value(&new, field));
        if old != new {
            changes.push(FieldChange::Value { field, old, new });
        }
    }
    changes
}

fn compare_keys(old: &[KeyHash], new: &[KeyHash]) -> Option<FieldChange> {
    let (old, new): (HashSet<_>, HashSet<_>) = (old.iter().collect(), new.iter().collect());
    let added = new.difference(&old).count();
    let removed = old.difference(&new).count();
    (added + removed > 0).then_some(FieldChange::Keys {
        field: "keys",
        added,
        removed,
    })
}

fn millis(time: ClockTime) -> String {
    time.as_millis().to_string()
}

fn none() -> String {
    "none".to_owned()
}
