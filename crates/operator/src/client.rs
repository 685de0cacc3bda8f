//! The client of the operators' service.

use crate::schema::{OperatorClient, OperatorClientBuilder};
use std::net::SocketAddr;

/// Returns a client of the VM at `address`; connects on the first call.
///
/// # Examples
///
/// ```
/// use skylarkshed_operator::connect;
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let _client = connect("127.0.0.1:7200".parse().unwrap());
/// # });
/// ```
pub fn connect(address: SocketAddr) -> OperatorClient {
    OperatorClientBuilder::new("skylarkshed.operator")
        .address(address)
        .build()
}
