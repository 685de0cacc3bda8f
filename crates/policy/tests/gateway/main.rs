//! The gateway's decisions, each tested with the load or failure that it handles.

mod budgets;
mod copies;
mod deferral;
mod duration_estimator;
mod engines;
mod feed;
mod fleet_start;
mod latency_estimator;
mod loan_replay;
mod part_quarantine;
mod placement;
mod prefill_timeout;
mod rejected_versions;
mod retry_loans;
mod rollout_bake;
mod rollout_references;
mod rollout_restarts;
mod rollout_times;
mod rollouts;
mod routes;
mod store_contact;
mod store_eras;
mod streams;
mod upstream_table;
