//! The gateway's decisions, each against the load or failure that it answers.

mod budgets;
mod call_pace;
mod copies;
mod engines;
mod news;
mod placement;
mod rollouts;
mod routes;
mod streams;
mod upstream_book;
