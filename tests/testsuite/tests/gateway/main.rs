//! Tests of a gateway process with a fake store and fake upstreams.

mod caller_connections;
mod caller_disconnects;
mod configuration;
mod crashing_parts;
mod endless_responses;
mod explain_command;
mod fleet_start;
mod framing;
mod leaving;
mod lost_store;
mod odd_entries;
mod open_files;
mod peers;
mod responses;
mod retries;
mod rollout_faults;
mod rollout_fleet;
mod rollout_losses;
mod rollout_orders;
mod rollouts;
mod routing;
mod silent_engines;
mod store_restore;
mod stream_ends;
mod streams;
mod upstream_notices;
