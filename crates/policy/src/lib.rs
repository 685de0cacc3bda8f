//! Decision logic, written as pure state machines and functions.
//!
//! Nothing here performs I/O or reads a clock: callers pass in events and the
//! current time and carry out the returned actions. The daemon, the fuzz tests
//! and the experiments run the same code.
//!
//! - [`GenerationMachine`] produces one generation over any number of attempts;
//!   [`TokenLedger`] decides which tokens reach the caller.
//! - [`IntervalEstimator`] derives an engine's silence limit from its own token
//!   intervals.
//! - [`choose_upstream`] selects the upstream of an attempt.
//! - [`WorkBudget`] bounds races (hedged attempts) and retries on one VM, and
//!   [`RetryBudget`] bounds retries over all VMs.
//! - [`AdmissionQueue`] shares a VM's slots between customers, and
//!   [`ConcurrencyLimiter`] bounds the concurrent calls to one upstream.
//! - [`ClaimMachine`] ensures that a non-idempotent call runs at most once;
//!   [`MintedKeys`] does so without the platform.
//! - [`compare_versions`] and [`decide_move`] shift traffic to a new version or
//!   back. For a rollout with a time limit, [`CanaryAllowance`] bounds the requests of
//!   the new version, and [`compare_rollout`] and [`decide_rollout`] judge it.
//! - [`RouteTable`] finds the route of a plain HTTP request, [`UpstreamTable`]
//!   holds the upstreams that can serve it, and [`choose_candidate`] selects one.
//!   [`deferred_until`], [`return_delay`] and [`outage_delay`] say when an upstream that refused, and a
//!   caller that was refused, are heard again.
//! - [`LatencyEstimator`] sets the attempt timeout of an application call.
//! - [`EventLedger`] passes each event of a stream on exactly once.
//!   [`decide_recovery`] decides how a stream continues after a failure, and
//!   [`decide_copy`] keeps the KV cache copy that it can continue from.
//!   [`judge_prefill`] decides whether to wait for a late first event, and
//!   [`choose_engine`] selects the engine of a prompt.
//! - [`EngineLedger`] keeps what all VMs have placed at one engine since its last report,
//!   and [`choose_by_time`] selects the engine of a prompt from a few ledgers.
//!   [`decide_admission`] refuses streams that no engine can serve in time.
//! - [`ProcessCheck`] tells whether a response without a length is complete.
//! - [`PartQuarantine`] finds the parts of prompts that end engines, and keeps requests
//!   with them away.
//! - [`DurationEstimator`] tells which requests end before a draining VM is killed.
//! - [`FeedCache`] caches what a VM has read from the platform's store, and
//!   [`FeedRoute`] chooses the endpoints that it reads from. [`TableServer`] limits
//!   how fast a VM sends whole tables to VMs that start.
//! - [`MembershipTable`] tracks which VMs are alive.
//! - [`check_config`] finds faults of a routing configuration before it is sent, and
//!   [`ConfigDiff`] compares it with the version in force.

mod admission;
mod attempt_progress;
mod canary_spread;
mod claim;
mod concurrency_limiter;
mod config_check;
mod config_diff;
mod config_finding;
mod copy_plan;
mod crash_evidence;
mod deferral;
mod departed_upstreams;
mod duration_estimator;
mod engine_choice;
mod engine_ledger;
mod engine_placement;
mod event_ledger;
mod evidence;
mod feed_cache;
mod feed_route;
mod fleet_size;
mod generation;
mod generation_types;
mod heartbeat_estimate;
mod interval_estimator;
mod latency_estimator;
mod ledger_owner;
mod loan_book;
mod membership;
mod membership_types;
mod minted_keys;
mod move_plan;
mod part_quarantine;
mod placement;
mod prefill_speed;
mod prefill_timeout;
mod process_check;
mod rate_limiter;
mod refusal_rate;
mod rejected_versions;
mod rendezvous;
mod request_urgency;
mod reserve_share;
mod retry_budget;
mod retry_loans;
mod rollout_allowance;
mod rollout_bake;
mod rollout_comparison;
mod rollout_plan;
mod rollout_samples;
mod rollout_times;
mod route_table;
mod routing;
mod sound_parts;
mod store_contact;
mod stream_admission;
mod stream_pace;
mod stream_recovery;
mod table_server;
mod token_ledger;
mod upstream_entry;
mod upstream_table;
mod window_counter;
mod work_budget;

pub use admission::{AdmissionQueue, AdmissionRefusal, AdmissionVerdict, TicketNumber};
pub use attempt_progress::AttemptProgress;
pub use canary_spread::{CanarySpread, RoutePriority};
pub use claim::{ClaimAction, ClaimInput, ClaimMachine, ClaimRow, ClaimState, StoredResponse};
pub use concurrency_limiter::ConcurrencyLimiter;
pub use config_check::check_config;
pub use config_diff::{ConfigDiff, EntryChange, EntryChanges, FieldChange, VersionChange};
pub use config_finding::{ConfigFinding, EntryKind, FindingKind, FindingLabel};
pub use copy_plan::{decide_copy, CopyDecision, CopyKind, CopyState};
pub use crash_evidence::CrashReport;
pub use deferral::{deferred_until, outage_delay, return_delay};
pub use duration_estimator::DurationEstimator;
pub use engine_choice::{are_all_busy, choose_engine, EngineLoad, EngineRun};
pub use engine_ledger::{EngineLedger, LedgerView, PlacedWork, PromptEvent, WorkKind};
pub use engine_placement::{
    are_ledgers_busy, choose_by_time, choose_holder, expected_first_event, revise_choice,
    EngineChoice, HolderRoom, PromptSize,
};
pub use event_ledger::{EventLedger, EventVerdict};
pub use evidence::{compare_versions, RouteCounts, VersionCounts, VersionVerdict};
pub use feed_cache::{FeedBatch, FeedCache, FeedError, FeedPosition, FeedRow};
pub use feed_route::{FeedEndpoint, FeedRoute, VmEntry};
pub use fleet_size::FleetSize;
pub use generation::GenerationMachine;
pub use generation_types::{
    AttemptFailure, AttemptPhase, FailReason, GenerationAction, GenerationEnvironment,
    GenerationInput, GenerationPlan, HeldAttempt, NoUpstreamReason, NoticeReason, StartReason,
};
pub use interval_estimator::{IntervalEstimator, SilenceBounds};
pub use latency_estimator::LatencyEstimator;
pub use ledger_owner::{find_ledger_owner, MIN_LEDGER_VMS};
pub use membership::MembershipTable;
pub use membership_types::{
    GossipKind, GossipMessage, LeavingNotice, MemberRecord, MemberState, MembershipAction,
    MembershipSettings,
};
pub use minted_keys::{MintedKeys, MintedState, MintedVerdict};
pub use move_plan::{decide_move, first_share_ppm, MoveDecision};
pub use part_quarantine::{PartBlock, PartQuarantine, PartVerdict};
pub use placement::{choose_candidate, is_worth_attempt, PlacementQuery, UpstreamCandidate};
pub use prefill_timeout::{
    judge_prefill, PrefillEstimator, PrefillStatus, PrefillVerdict, WaitingPrefill,
};
pub use process_check::ProcessCheck;
pub use rate_limiter::RateLimiter;
pub use refusal_rate::RefusalRate;
pub use rejected_versions::{RejectedVersions, RejectionReason, VersionFilter, VersionRejection};
pub use rendezvous::{hash_rank, index_in_ranking, is_top_ranked, weighted_rank};
pub use request_urgency::UrgencyRanks;
pub use retry_budget::{RetryBudget, RetryClaim, RetryGrant, RetryLimits};
pub use retry_loans::{
    lendable_retries, uses_loans, wait_limit, LenderSearch, LenderState, LoanDemand, RemainingTime,
    RetryQueue, SilentVms, WaiterId, WaitingStream, LOAN_LIFETIME, LOAN_REPLY_TIMEOUT,
    LOAN_USE_TIME,
};
pub use rollout_allowance::{bound_earlier_use, has_reserve, CanaryAllowance, ExposureLimits};
pub use rollout_bake::{
    bake_slice_at, compare_baking, drop_old_bake_slices, select_baking_rule, should_withdraw,
};
pub use rollout_comparison::{compare_rollout, overdue_times, slow_paces, RolloutFindings};
pub use rollout_plan::{
    decide_rollout, end_delay, finish_time, may_take_canary, select_untaken_use,
    select_version_rule, CanaryUse, RolloutDecision, RolloutState, VersionKnowledge, VersionRule,
};
pub use rollout_samples::{
    FailureKind, RolloutSamples, RouteSamples, TimeHistogram, VersionPair, VersionSamples,
    ROLLOUT_SLICES,
};
pub use rollout_times::RolloutTimes;
pub use route_table::{choose_service, RouteTable};
pub use routing::{choose_by_share, choose_upstream, PrefixQuery, UpstreamHealth, UpstreamView};
pub use store_contact::StoreContact;
pub use stream_admission::{decide_admission, AdmissionDecision, AdmissionInput};
pub use stream_pace::StreamPace;
pub use stream_recovery::{
    decide_recovery, decide_silence, silence_limit, LossCause, RecoveryDecision, SilenceDecision,
    SilentUpstream, StreamPhase, StreamState,
};
pub use table_server::TableServer;
pub use token_ledger::{LedgerVerdict, TokenLedger};
pub use upstream_entry::{EntryDoubt, EntryTimes, UpstreamChange, UpstreamEntry};
pub use upstream_table::UpstreamTable;
pub use work_budget::WorkBudget;
