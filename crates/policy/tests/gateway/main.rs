//! The gateway's decisions, each against the load or failure that it answers.

mod budgets;
mod copies;
mod engines;
mod latency_estimator;
mod news;
mod placement;
mod rollouts;
mod routes;
mod streams;
mod upstream_table;
