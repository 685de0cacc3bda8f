//! The platform's services over HTTP.

use crate::traits::{ObjectStore, PlatformError, TableStore, VmDirectory};
use crate::wire::{
    ObjectGet, ObjectPut, ObjectReply, ReadReply, ReadRequest, ScanReply, ScanRequest, TableRow,
    Transaction, TransactionReply, VmListing,
};
use http::StatusCode;
use serde::{de::DeserializeOwned, Serialize};
use skylarkshed_core::ClockTime;
use skylarkshed_http_client::{is_unsent, make_client};
use skylarkshed_http_link::{read_body, BodyLimits};
use std::net::SocketAddr;
use volo_http::client::Client;

/// The limits of a reply, which may hold all rows of a table.
const RESPONSE_LIMITS: BodyLimits = BodyLimits::response(64 << 20);

/// A client of the platform's HTTP service.
#[derive(Clone)]
pub struct HttpPlatformClient {
    client: Client,
    address: SocketAddr,
    timeout: ClockTime,
}

impl HttpPlatformClient {
    /// Returns a client of the platform at `address`; connects on the first call.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_core::ClockTime;
    /// use skylarkshed_platform::HttpPlatformClient;
    ///
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let address = "127.0.0.1:7000".parse().unwrap();
    /// let _platform = HttpPlatformClient::new(address, ClockTime::from_millis(500));
    /// # });
    /// ```
    pub fn new(address: SocketAddr, timeout: ClockTime) -> Self {
        HttpPlatformClient {
            client: make_client(),
            address,
            timeout,
        }
    }

    async fn call<Q, R>(&self, path: &str, request: &Q) -> Result<R, PlatformError>
    where
        Q: Serialize + Sync,
        R: DeserializeOwned,
    {
        let reply = self.send(path, request);
        let limit = self.timeout.to_duration();
        match tokio::time::timeout(limit, reply).await {
            Ok(result) => result,
            Err(_) => Err(PlatformError::ReplyLost(format!("{path}: timeout"))),
        }
    }

    async fn send<Q, R>(&self, path: &str, request: &Q) -> Result<R, PlatformError>
    where
        Q: Serialize + Sync,
        R: DeserializeOwned,
    {
        let uri = format!("http://{}{path}", self.address);
        let sent = self.client.post(uri).json(request).send().await;
        let response = sent.map_err(|error| match is_unsent(&error) {
            true => PlatformError::Unavailable(path.to_owned()),
            false => PlatformError::ReplyLost(format!("{path}: {error}")),
        })?;
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            return Err(PlatformError::Unavailable(path.to_owned()));
        }
        if !response.status().is_success() {
            return Err(PlatformError::Malformed(format!(
                "{path}: {}",
                response.status()
            )));
        }
        let bytes = read_body(response.into_body(), RESPONSE_LIMITS).await;
        let bytes = bytes.map_err(|error| PlatformError::ReplyLost(format!("{path}: {error}")))?;
        serde_json::from_slice(&bytes)
            .map_err(|error| PlatformError::Malformed(format!("{path}: {error}")))
    }
}

impl TableStore for HttpPlatformClient {
    async fn transact(&self, transaction: &Transaction) -> Result<TransactionReply, PlatformError> {
        self.call("/table/transact", transaction).await
    }

    async fn read(&self, key: &str) -> Result<Option<TableRow>, PlatformError> {
        let request = ReadRequest {
            key: key.to_owned(),
        };
        let reply: ReadReply = self.call("/table/read", &request).await?;
        Ok(reply.row)
    }

    async fn scan(&self, request: &ScanRequest) -> Result<Vec<TableRow>, PlatformError> {
        let reply: ScanReply = self.call("/table/scan", request).await?;
        Ok(reply.rows)
    }
}

impl ObjectStore for HttpPlatformClient {
    async fn put(&self, key: &str, content: &str) -> Result<(), PlatformError> {
        let request = ObjectPut {
            key: key.to_owned(),
            content: content.to_owned(),
        };
        self.call("/objects/put", &request).await
    }

    async fn get(&self, key: &str) -> Result<Option<String>, PlatformError> {
        let request = ObjectGet {
            key: key.to_owned(),
        };
        let reply: ObjectReply = self.call("/objects/get", &request).await?;
        Ok(reply.content)
    }
}

impl VmDirectory for HttpPlatformClient {
    async fn list(&self) -> Result<VmListing, PlatformError> {
        self.call("/vms", &()).await
    }
}
