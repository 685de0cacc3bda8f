//! The operators: they change routes, services, limits and API keys.

use crate::configs::{ConfigVersion, RouteRule};
use crate::load_plan::LoadPlan;
use crate::observer::Observer;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::Rng;
use serde_json::{json, Value};
use skylarkshed_core::ClockTime;
use skylarkshed_stand_ins::{default_config, route, FakeStore, APP_SERVICE, MODEL_SERVICE};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

/// The second service of calls, to which routes are moved.
pub(crate) const SPARE_SERVICE: &str = "spares";
/// The priority of routes, but of those of the engines under load.
const USUAL_PRIORITY: u8 = 1;
/// The routes that are added and removed.
const EXTRA_ROUTES: u32 = 6;
/// Requests still use a removed route or key for this long, one in eight.
const REMEMBERED: ClockTime = ClockTime::from_millis(12_000);

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RouteKind {
    Safe,
    Unsafe,
    Resumable,
    Single,
}

/// A route that callers use.
#[derive(Clone, Debug)]
pub(crate) struct SoakRoute {
    pub(crate) prefix: String,
    pub(crate) kind: RouteKind,
    pub(crate) services: Vec<&'static str>,
    pub(crate) timeout: ClockTime,
    pub(crate) is_public: bool,
    pub(crate) attempts: usize,
    pub(crate) priority: u8,
}

/// A change of the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConfigChange {
    AddRoute,
    RemoveRoute,
    MoveRoute,
    SplitRoute,
    Timeout,
    Limits,
    AddKey,
    RevokeKey,
    Nothing,
}

impl ConfigChange {
    pub(crate) const ALL: [ConfigChange; 9] = [
        ConfigChange::AddRoute,
        ConfigChange::RemoveRoute,
        ConfigChange::MoveRoute,
        ConfigChange::SplitRoute,
        ConfigChange::Timeout,
        ConfigChange::Limits,
        ConfigChange::AddKey,
        ConfigChange::RevokeKey,
        ConfigChange::Nothing,
    ];
}

struct OperatorState {
    version: u64,
    routes: BTreeMap<String, SoakRoute>,
    /// The customers by API key.
    keys: BTreeMap<String, String>,
    removed_routes: Vec<(SoakRoute, ClockTime)>,
    removed_keys: Vec<(String, ClockTime)>,
    next_key: u64,
    idle_timeout_ms: u64,
    /// The memory of an engine, if it is limited.
    engine_tokens: Option<u64>,
}

/// The operators and the configuration that they wrote last.
pub(crate) struct Operators {
    state: Mutex<OperatorState>,
    observer: Arc<Observer>,
    store: Arc<FakeStore>,
}

impl Operators {
    pub(crate) fn new(
        observer: Arc<Observer>,
        store: Arc<FakeStore>,
        load: Option<&LoadPlan>,
    ) -> Self {
        let timeout = ClockTime::from_millis(1_500);
        let make = |prefix: &str, kind, service, attempts| SoakRoute {
            prefix: prefix.to_owned(),
            kind,
            services: vec![service],
            timeout,
            is_public: prefix == "/open/",
            attempts,
            priority: USUAL_PRIORITY,
        };
        let mut routes = vec![
            make("/book/", RouteKind::Unsafe, APP_SERVICE, 1),
            make("/change/", RouteKind::Unsafe, APP_SERVICE, 3),
            make("/find/", RouteKind::Safe, APP_SERVICE, 2),
            make("/open/", RouteKind::Unsafe, APP_SERVICE, 2),
            make("/write/", RouteKind::Resumable, MODEL_SERVICE, 5),
            make("/note/", RouteKind::Single, MODEL_SERVICE, 2),
        ];
        for route in routes
            .iter_mut()
            .filter(|route| route.services[0] == MODEL_SERVICE)
        {
            route.timeout = ClockTime::from_millis(15_000);
            if let Some(load) = load {
                let [resumable, single] = load.priorities;
                route.priority = match route.kind {
                    RouteKind::Resumable => resumable,
                    _ => single,
                };
            }
        }
        let keys = (0..4).map(|number| (format!("key-{number}"), customer(number)));
        let state = OperatorState {
            version: 0,
            routes: routes
                .into_iter()
                .map(|route| (route.prefix.clone(), route))
                .collect(),
            keys: keys.collect(),
            removed_routes: Vec::new(),
            removed_keys: Vec::new(),
            next_key: 4,
            idle_timeout_ms: 1_500,
            engine_tokens: load.map(|load| load.memory_tokens),
        };
        Operators {
            state: Mutex::new(state),
            observer,
            store,
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, OperatorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a route for a request, at times one that was removed.
    pub(crate) fn draw_route(&self, rng: &mut SmallRng, is_stream: bool) -> SoakRoute {
        let now = self.observer.now();
        let state = self.lock();
        let is_wanted = |route: &&SoakRoute| (route.services[0] == MODEL_SERVICE) == is_stream;
        let current: Vec<&SoakRoute> = state.routes.values().filter(is_wanted).collect();
        let removed = state.removed_routes.iter();
        let removed = removed.filter(|(route, at)| {
            now.since(*at) < REMEMBERED && !state.routes.contains_key(&route.prefix)
        });
        let removed: Vec<&SoakRoute> = removed.map(|(route, _)| route).collect();
        let chosen = match !is_stream && rng.random_ratio(1, 8) {
            true => removed.choose(rng).or_else(|| current.choose(rng)),
            false => current.choose(rng),
        };
        (*chosen.expect("the first routes are never removed")).clone()
    }

    /// Returns a key for a request, at times one that was revoked.
    pub(crate) fn draw_key(&self, rng: &mut SmallRng) -> String {
        let now = self.observer.now();
        let state = self.lock();
        let current: Vec<&String> = state.keys.keys().collect();
        let revoked = state.removed_keys.iter();
        let revoked = revoked.filter(|(_, at)| now.since(*at) < REMEMBERED);
        let revoked: Vec<&String> = revoked.map(|(key, _)| key).collect();
        let chosen = match rng.random_ratio(1, 8) {
            true => revoked.choose(rng).or_else(|| current.choose(rng)),
            false => current.choose(rng),
        };
        (*chosen.expect("the last key is never revoked")).clone()
    }

    /// Changes the configuration and writes it to the store.
    pub(crate) fn change(&self, change: ConfigChange, rng: &mut SmallRng) {
        let now = self.observer.now();
        let mut state = self.lock();
        state.apply(change, rng, now);
        // Versions increase in uneven steps.
        state.version += rng.random_range(1..4);
        let version = state.to_version(now);
        let config = state.to_config();
        // Recorded first, so that no VM acts on a version that the checks don't know.
        self.observer.lock().world.configs.versions.push(version);
        self.store.put("op", "config", &config);
    }

    /// Writes the newest configuration again, after the store has lost it.
    pub(crate) fn write_again(&self) {
        let config = self.lock().to_config();
        self.store.put("op", "config", &config);
    }
}

fn customer(number: u64) -> String {
    format!("customer-{}", number % 3)
}

impl OperatorState {
    fn apply(&mut self, change: ConfigChange, rng: &mut SmallRng, now: ClockTime) {
        let extra = format!("/extra-{}/", rng.random_range(0..EXTRA_ROUTES));
        let calls = ["/book/", "/change/", "/find/"];
        let call = (*calls.choose(rng).expect("there are some")).to_owned();
        match change {
            ConfigChange::AddRoute => {
                let service = [APP_SERVICE, SPARE_SERVICE][rng.random_range(0..2)];
                let route = SoakRoute {
                    prefix: extra.clone(),
                    kind: [RouteKind::Safe, RouteKind::Unsafe][rng.random_range(0..2)],
                    services: vec![service],
                    timeout: ClockTime::from_millis(1_500),
                    is_public: rng.random_ratio(1, 4),
                    attempts: 2,
                    priority: USUAL_PRIORITY,
                };
                // A prefix that callers know keeps its kind.
                self.routes.entry(extra).or_insert(route);
            }
            ConfigChange::RemoveRoute => {
                let extras: Vec<String> = self.routes.keys().cloned().collect();
                let extras = extras.iter().filter(|prefix| prefix.starts_with("/extra"));
                let extras: Vec<&String> = extras.collect();
                if let Some(route) = extras
                    .choose(rng)
                    .and_then(|prefix| self.routes.remove(*prefix))
                {
                    self.removed_routes.push((route, now));
                }
            }
            ConfigChange::MoveRoute => {
                let route = self.routes.get_mut(&call).expect("it is never removed");
                let is_moved = route.services == [SPARE_SERVICE];
                route.services = vec![if is_moved { APP_SERVICE } else { SPARE_SERVICE }];
            }
            ConfigChange::SplitRoute => {
                let route = self.routes.get_mut(&call).expect("it is never removed");
                route.services = vec![APP_SERVICE, SPARE_SERVICE];
            }
            ConfigChange::Timeout => {
                let route = self.routes.get_mut(&call).expect("it is never removed");
                route.timeout = ClockTime::from_millis(rng.random_range(900..2_500));
            }
            ConfigChange::Limits => self.idle_timeout_ms = rng.random_range(1_500..4_000),
            ConfigChange::AddKey => {
                let number = self.next_key;
                self.next_key += 1;
                self.keys.insert(format!("key-{number}"), customer(number));
            }
            ConfigChange::RevokeKey => {
                let keys: Vec<String> = self.keys.keys().cloned().collect();
                if let Some(key) = keys.choose(rng).filter(|_| keys.len() > 2) {
                    self.keys.remove(key);
                    self.removed_keys.push((key.clone(), now));
                }
            }
            ConfigChange::Nothing => {}
        }
    }

    fn to_version(&self, accepted_at: ClockTime) -> ConfigVersion {
        let rules = self.routes.values().map(|route| RouteRule {
            prefix: route.prefix.clone(),
            services: route.services.iter().map(ToString::to_string).collect(),
            is_public: route.is_public,
            timeout: route.timeout,
        });
        ConfigVersion {
            number: self.version,
            accepted_at,
            routes: rules.collect(),
            keys: self.keys.clone(),
        }
    }

    fn to_config(&self) -> Value {
        let mut config = default_config(self.version);
        let routes: Vec<Value> = self.routes.values().map(SoakRoute::to_row).collect();
        config["routes"] = json!(routes);
        let mut services = config["services"].as_array().cloned().unwrap_or_default();
        let mut spare = services[0].clone();
        spare["name"] = json!(SPARE_SERVICE);
        services.push(spare);
        if let Some(tokens) = self.engine_tokens {
            services[1]["engine"]["cache_capacity"] = json!(tokens);
        }
        config["services"] = json!(services);
        config["limits"]["idle_timeout_ms"] = json!(self.idle_timeout_ms);
        let mut customers: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (key, customer) in &self.keys {
            customers.entry(customer).or_default().push(key);
        }
        let customers = customers.iter();
        let customers = customers.map(|(name, keys)| json!({"name": name, "api_keys": keys}));
        config["tenants"] = json!(customers.collect::<Vec<_>>());
        config
    }
}

impl SoakRoute {
    fn to_row(&self) -> Value {
        let kind = match self.kind {
            RouteKind::Safe => "safe",
            RouteKind::Unsafe => "unsafe",
            RouteKind::Resumable | RouteKind::Single => "streaming",
        };
        let name = self.prefix.trim_matches('/');
        let attempts = u32::try_from(self.attempts).unwrap_or(1);
        let timeout_ms = self.timeout.as_millis();
        let mut row = route(
            name,
            &self.prefix,
            kind,
            self.services[0],
            attempts,
            timeout_ms,
        );
        row["priority"] = json!(self.priority);
        row["public_access"] = json!(self.is_public);
        row["stream_resumption"] = json!(self.kind == RouteKind::Resumable);
        if self.services.len() > 1 {
            let split = self.services.iter();
            let split = split.map(|service| json!({"service": service, "weight": 1}));
            row["traffic_split"] = json!(split.collect::<Vec<_>>());
        }
        row
    }
}
