//! The decisions, as state machines without input, output or clock.
//!
//! Each takes events and a time and returns actions; the daemon, the fuzzer
//! and the experiments run the same code.
//!
//! - [`GenerationMachine`] carries one answer over any number of attempts,
//!   with [`TokenLedger`] as the only way to the caller.
//! - [`GapEstimator`] judges an engine's silence against its own gaps.
//! - [`choose_upstream`] picks the upstream of an attempt.
//! - [`WorkBudget`] bounds races and retries, and [`RetryBudget`] the sends
//!   beyond the first over all VMs.
//! - [`AdmissionQueue`] shares a VM's places between customers, and
//!   [`ConcurrencyLimit`] bounds the calls to one upstream.
//! - [`ClaimMachine`] keeps a call that may not be repeated from running twice,
//!   and [`MintedKeys`] does so without the platform.
//! - [`judge_version`] and [`decide_move`] carry traffic to a new version or
//!   back; [`decide_rollout`] does so by an operator's order with a time limit.
//! - [`RouteTable`] finds the route of a plain HTTP request, [`UpstreamBook`]
//!   keeps the upstreams that may get it, and [`choose_place`] picks one.
//! - [`CallPace`] tells when a quick call is slower than others of its service.
//! - [`EventLedger`] lets each event of a stream through once, and
//!   [`recover_stream`] decides how it goes on after a loss, from the copy that
//!   [`plan_copy`] keeps.
//! - [`NewsCache`] holds what a VM read of the platform's store, and
//!   [`NewsRoute`] tells where it reads it.
//! - [`MembershipTable`] tells which VMs are there.

mod admission;
mod budget;
mod call_pace;
mod claim;
mod concurrency;
mod copy_plan;
mod engine_choice;
mod event_ledger;
mod evidence;
mod gaps;
mod generation;
mod generation_types;
mod ledger;
mod membership;
mod membership_types;
mod minted;
mod move_plan;
mod news_cache;
mod news_route;
mod placement;
mod rate;
mod rendezvous;
mod retry_budget;
mod rollout_plan;
mod route_table;
mod routing;
mod stream_recovery;
mod upstream_book;
mod window_count;

pub use admission::{AdmissionQueue, AdmissionRefusal, AdmissionVerdict, TicketNumber};
pub use budget::WorkBudget;
pub use call_pace::CallPace;
pub use claim::{ClaimAction, ClaimInput, ClaimMachine, ClaimRow, ClaimState, StoredAnswer};
pub use concurrency::ConcurrencyLimit;
pub use copy_plan::{plan_copy, CopyKind, CopyState, CopyStep};
pub use engine_choice::{are_all_busy, choose_engine, EngineLoad};
pub use event_ledger::{EventLedger, EventVerdict};
pub use evidence::{judge_version, EvidenceVerdict, RouteCounts, VersionCounts};
pub use gaps::{GapEstimator, SilenceBounds};
pub use generation::GenerationMachine;
pub use generation_types::{
    AttemptFailure, AttemptPhase, FailReason, GenerationAction, GenerationEnvironment,
    GenerationInput, GenerationPlan, HeldAttempt, NoUpstreamReason, NoticeReason, StartReason,
};
pub use ledger::{LedgerVerdict, TokenLedger};
pub use membership::MembershipTable;
pub use membership_types::{
    GossipKind, GossipMessage, LeavingNotice, MemberRecord, MemberState, MembershipAction,
    MembershipTimes,
};
pub use minted::{MintedKeys, MintedState, MintedVerdict};
pub use move_plan::{decide_move, first_share_ppm, MoveDecision};
pub use news_cache::{NewsCache, NewsGap, NewsReading, NewsRow};
pub use news_route::{NewsPlace, NewsRoute, VmEntry};
pub use placement::{choose_place, PlaceCandidate, PlaceQuery};
pub use rate::RateLimit;
pub use rendezvous::{hash_rank, is_among_first};
pub use retry_budget::{RetryBudget, RetryLimits};
pub use rollout_plan::{decide_rollout, version_rule, RolloutState, RolloutStep, VersionRule};
pub use route_table::{choose_service, RouteTable};
pub use routing::{choose_upstream, RouteQuery, UpstreamHealth, UpstreamView};
pub use stream_recovery::{
    recover_stream, silence_limit, LossCause, RecoveryStep, StreamPhase, StreamState,
};
pub use upstream_book::{BookChange, UpstreamBook};
