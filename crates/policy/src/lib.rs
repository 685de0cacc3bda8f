//! The decisions, as state machines without input, output or clock.
//!
//! Each takes events and a time and returns actions; the daemon, the fuzzer
//! and the experiments run the same code.
//!
//! - [`GenerationMachine`] carries one answer over any number of attempts,
//!   with [`TokenLedger`] as the only way to the caller.
//! - [`IntervalEstimator`] judges an engine's silence against its own gaps.
//! - [`choose_upstream`] picks the upstream of an attempt.
//! - [`WorkBudget`] bounds races and retries, and [`RetryBudget`] the sends
//!   beyond the first over all VMs.
//! - [`AdmissionQueue`] shares a VM's places between customers, and
//!   [`ConcurrencyLimiter`] bounds the calls to one upstream.
//! - [`ClaimMachine`] keeps a call that may not be repeated from running twice,
//!   and [`MintedKeys`] does so without the platform.
//! - [`compare_versions`] and [`decide_move`] carry traffic to a new version or
//!   back; [`decide_rollout`] does so by an operator's order with a time limit.
//! - [`RouteTable`] finds the route of a plain HTTP request, [`UpstreamTable`]
//!   keeps the upstreams that may get it, and [`choose_candidate`] picks one.
//! - [`LatencyEstimator`] tells when a quick call is slower than others of its service.
//! - [`EventLedger`] lets each event of a stream through once, and
//!   [`decide_recovery`] decides how it goes on after a loss, from the copy that
//!   [`decide_copy`] keeps.
//! - [`FeedCache`] holds what a VM read of the platform's store, and
//!   [`FeedRoute`] tells where it reads it.
//! - [`MembershipTable`] tells which VMs are there.

mod admission;
mod budget;
mod claim;
mod concurrency;
mod copy_plan;
mod engine_choice;
mod event_ledger;
mod evidence;
mod feed_cache;
mod feed_route;
mod gaps;
mod generation;
mod generation_types;
mod latency_estimator;
mod ledger;
mod membership;
mod membership_types;
mod minted;
mod move_plan;
mod placement;
mod rate;
mod rendezvous;
mod retry_budget;
mod rollout_plan;
mod route_table;
mod routing;
mod stream_recovery;
mod upstream_table;
mod window_count;

pub use admission::{AdmissionQueue, AdmissionRefusal, AdmissionVerdict, TicketNumber};
pub use budget::WorkBudget;
pub use claim::{ClaimAction, ClaimInput, ClaimMachine, ClaimRow, ClaimState, StoredResponse};
pub use concurrency::ConcurrencyLimiter;
pub use copy_plan::{decide_copy, CopyDecision, CopyKind, CopyState};
pub use engine_choice::{are_all_busy, choose_engine, EngineLoad};
pub use event_ledger::{EventLedger, EventVerdict};
pub use evidence::{compare_versions, RouteCounts, VersionCounts, VersionVerdict};
pub use feed_cache::{FeedBatch, FeedCache, FeedError, FeedRow};
pub use feed_route::{FeedEndpoint, FeedRoute, VmEntry};
pub use gaps::{IntervalEstimator, SilenceBounds};
pub use generation::GenerationMachine;
pub use generation_types::{
    AttemptFailure, AttemptPhase, FailReason, GenerationAction, GenerationEnvironment,
    GenerationInput, GenerationPlan, HeldAttempt, NoUpstreamReason, NoticeReason, StartReason,
};
pub use latency_estimator::LatencyEstimator;
pub use ledger::{LedgerVerdict, TokenLedger};
pub use membership::MembershipTable;
pub use membership_types::{
    GossipKind, GossipMessage, LeavingNotice, MemberRecord, MemberState, MembershipAction,
    MembershipSettings,
};
pub use minted::{MintedKeys, MintedState, MintedVerdict};
pub use move_plan::{decide_move, first_share_ppm, MoveDecision};
pub use placement::{choose_candidate, PlacementQuery, UpstreamCandidate};
pub use rate::RateLimiter;
pub use rendezvous::{hash_rank, is_top_ranked};
pub use retry_budget::{RetryBudget, RetryLimits};
pub use rollout_plan::{
    decide_rollout, select_version_rule, RolloutDecision, RolloutState, VersionRule,
};
pub use route_table::{choose_service, RouteTable};
pub use routing::{choose_upstream, PrefixQuery, UpstreamHealth, UpstreamView};
pub use stream_recovery::{
    decide_recovery, silence_limit, LossCause, RecoveryDecision, StreamPhase, StreamState,
};
pub use upstream_table::{UpstreamChange, UpstreamTable};
