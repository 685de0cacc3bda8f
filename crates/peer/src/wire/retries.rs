//! Retries that gateways lend each other.

use prost::Message;

/// A request for retries, or the return of lent ones.
#[derive(Clone, PartialEq, Message)]
pub struct RetryRequest {
    /// The service that the retries are for.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The number of retries that the gateway asks for; 0 if it only returns some.
    #[prost(uint32, tag = "2")]
    pub wanted: u32,
    /// Whether the first of the streams that wait has begun.
    #[prost(bool, tag = "3")]
    pub is_begun: bool,
    /// The priority of that stream; 0 is the highest.
    #[prost(uint32, tag = "4")]
    pub priority: u32,
    /// The loan that the gateway returns; its count is the number of retries that have not
    /// been made and will not be.
    #[prost(message, optional, tag = "5")]
    pub returned: Option<RetryLoan>,
    /// The number of gateways in the list of the one that asks; 0 if it is unknown.
    #[prost(uint32, tag = "6")]
    pub listed_vms: u32,
}

/// Lent retries.
#[derive(Clone, PartialEq, Message)]
pub struct RetryLoan {
    /// The number of retries.
    #[prost(uint32, tag = "1")]
    pub count: u32,
    /// Identifies the lender's process.
    #[prost(fixed64, tag = "2")]
    pub process: u64,
    /// When they were lent, in milliseconds since the lender's process started.
    #[prost(uint64, tag = "3")]
    pub lent_at_ms: u64,
    /// The number of gateways in the list of the lender; 0 if it is unknown.
    #[prost(uint32, tag = "4")]
    pub listed_vms: u32,
}
