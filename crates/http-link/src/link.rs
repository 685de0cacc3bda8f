//! A connection that carries one request at a time.

use crate::options::set_options;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper_util::rt::TokioIo;
use skylarkshed_core::ClockTime;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// A request with its whole body.
pub type LinkRequest = Request<Full<Bytes>>;

/// Why a request got no response.
#[derive(Debug, Error)]
pub enum LinkError {
    /// No connection was made, so nothing was sent.
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    /// No connection was made in time, so nothing was sent.
    #[error("no connection within {} ms", .0.as_millis())]
    ConnectTimeout(ClockTime),
    /// The connection ended before the request's first byte.
    #[error("the connection ended before the request was sent")]
    Unsent,
    /// The connection broke off or carried no valid response.
    #[error("the exchange broke off: {0}")]
    Broken(hyper::Error),
}

impl LinkError {
    /// Tells whether the error proves that nothing of the request was sent.
    pub const fn is_unsent(&self) -> bool {
        !matches!(self, LinkError::Broken(_))
    }
}

/// A connection; dropping it closes it at once, whatever is under way.
#[derive(Debug)]
pub struct HttpLink {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl HttpLink {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Fails if the connection is refused or not made within `limit`.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_core::ClockTime;
    /// use skylarkshed_http_link::HttpLink;
    ///
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// // Nothing listens on this port.
    /// let address = ([127, 0, 0, 1], 1).into();
    /// let error = HttpLink::connect(address, ClockTime::from_millis(500)).await.unwrap_err();
    /// assert!(error.is_unsent());
    /// # });
    /// ```
    pub async fn connect(address: SocketAddr, limit: ClockTime) -> Result<Self, LinkError> {
        let connecting = tokio::time::timeout(limit.to_duration(), TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(stream) => stream.map_err(LinkError::Connect)?,
            Err(_) => return Err(LinkError::ConnectTimeout(limit)),
        };
        set_options(&stream).map_err(LinkError::Connect)?;
        let made = handshake(TokioIo::new(stream)).await;
        let (sender, connection) = made.map_err(|_| LinkError::Unsent)?;
        let driver = tokio::spawn(async move {
            // The request's side of the connection sees the same error.
            let _ = connection.await;
        });
        Ok(HttpLink { sender, driver })
    }

    /// Sends a request and returns the head of its response.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends first; the error tells whether the request
    /// may have been received.
    pub async fn send(&mut self, request: LinkRequest) -> Result<Response<Incoming>, LinkError> {
        if self.sender.ready().await.is_err() {
            return Err(LinkError::Unsent);
        }
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => LinkError::Unsent,
            None => LinkError::Broken(error.into_error()),
        })
    }

    /// Sends a request and returns the status and the whole body of its response.
    ///
    /// # Errors
    ///
    /// Fails as [`HttpLink::send`] does, or if the connection ends within the body.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// use bytes::Bytes;
    /// use http::Request;
    /// use http_body_util::Full;
    /// use skylarkshed_core::ClockTime;
    /// use skylarkshed_http_link::{HttpLink, LinkError};
    ///
    /// # async fn ask() -> Result<(), LinkError> {
    /// let address = ([127, 0, 0, 1], 8080).into();
    /// let mut link = HttpLink::connect(address, ClockTime::from_millis(500)).await?;
    /// let (status, body) = link.exchange(Request::new(Full::new(Bytes::new()))).await?;
    /// println!("{status}: {} bytes", body.len());
    /// # Ok(())
    /// # }
    /// ```
    pub async fn exchange(
        &mut self,
        request: LinkRequest,
    ) -> Result<(StatusCode, Bytes), LinkError> {
        let response = self.send(request).await?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(LinkError::Broken)?;
        Ok((status, body.to_bytes()))
    }

    /// Tells whether the connection can't carry another request.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Drop for HttpLink {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
