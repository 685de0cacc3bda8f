//! The operators' client.

use crate::schema::{OperatorClient, OperatorClientBuilder};
use std::net::SocketAddr;

/// Makes a client of one VM; no connection is opened yet.
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
