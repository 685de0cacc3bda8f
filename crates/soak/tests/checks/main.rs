//! Each check finds a history that breaks its rule, and only then.

mod crashes;
mod fixtures;
mod recovery;
mod requests;
mod rollouts;
mod totals;
