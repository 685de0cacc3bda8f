//! A connection that carries one request at a time.

use crate::body::{read_body, BodyError, BodyLimits};
use crate::head_limit::{HeadLimit, LimitedStream};
use crate::options::set_options;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use skylarkshed_core::ClockTime;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// The size of the read buffer, and so the maximum size of a response head.
const BUFFER_BYTES: usize = 32 * 1024;

/// A request with a buffered body.
pub type BufferedRequest = Request<Full<Bytes>>;

/// An error of a request that got no response.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// No connection was made, so nothing was sent.
    #[error("can't connect: {0}")]
    Connect(std::io::Error),
    /// No connection was made in time, so nothing was sent.
    #[error("can't connect within {} ms", .0.as_millis())]
    ConnectTimeout(ClockTime),
    /// The connection was closed before the first byte of the request was sent.
    #[error("the connection was closed before the request was sent")]
    Unsent,
    /// The connection failed, or the response is not valid HTTP.
    #[error("the connection failed: {0}")]
    Broken(hyper::Error),
    /// The connection was closed because the response head did not end.
    #[error("the response head is too long")]
    LongHead,
    /// The connection was closed because of the response body.
    #[error("the response is not complete: {0}")]
    Body(#[from] BodyError),
}

impl ConnectionError {
    /// Reports whether the error proves that nothing of the request was sent.
    pub const fn is_unsent(&self) -> bool {
        match self {
            ConnectionError::Connect(_)
            | ConnectionError::ConnectTimeout(_)
            | ConnectionError::Unsent => true,
            ConnectionError::Broken(_) | ConnectionError::LongHead | ConnectionError::Body(_) => {
                false
            }
        }
    }

    /// Reports whether the server closed the connection before a whole response head.
    pub fn is_close(&self) -> bool {
        match self {
            ConnectionError::Unsent => true,
            ConnectionError::Broken(error) => !error.is_parse(),
            _ => false,
        }
    }
}

/// A connection. Dropping it closes it immediately, even during an exchange.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    head_limit: HeadLimit,
}

impl HttpConnection {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Fails if the connection is refused or not established within `timeout`.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_core::ClockTime;
    /// use skylarkshed_http_link::HttpConnection;
    ///
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// // Nothing listens on this port.
    /// let address = ([127, 0, 0, 1], 1).into();
    /// let error = HttpConnection::connect(address, ClockTime::from_millis(500)).await.unwrap_err();
    /// assert!(error.is_unsent());
    /// # });
    /// ```
    pub async fn connect(address: SocketAddr, timeout: ClockTime) -> Result<Self, ConnectionError> {
        let connecting = tokio::time::timeout(timeout.to_duration(), TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(stream) => stream.map_err(ConnectionError::Connect)?,
            Err(_) => return Err(ConnectionError::ConnectTimeout(timeout)),
        };
        set_options(&stream).map_err(ConnectionError::Connect)?;
        let head_limit = HeadLimit::new();
        let stream = LimitedStream {
            stream,
            limit: head_limit.clone(),
        };
        let made = Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = made.map_err(|_| ConnectionError::Unsent)?;
        let driver = tokio::spawn(async move {
            // The request fails with the same error.
            let _ = connection.await;
        });
        Ok(HttpConnection {
            sender,
            driver,
            head_limit,
        })
    }

    /// Waits for `duration` whether the server closes the new connection.
    ///
    /// # Errors
    ///
    /// Fails with [`ConnectionError::Unsent`] if it does.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_core::ClockTime;
    /// use skylarkshed_http_link::HttpConnection;
    ///
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    /// let address = listener.local_addr().unwrap();
    /// let timeout = ClockTime::from_millis(500);
    /// let mut connection = HttpConnection::connect(address, timeout).await.unwrap();
    /// drop(listener.accept().await.unwrap());
    /// assert!(connection.settle(timeout).await.unwrap_err().is_unsent());
    /// # });
    /// ```
    pub async fn settle(&mut self, duration: ClockTime) -> Result<(), ConnectionError> {
        let closing = tokio::time::timeout(duration.to_duration(), &mut self.driver);
        match closing.await {
            Ok(_) => Err(ConnectionError::Unsent),
            Err(_) => Ok(()),
        }
    }

    /// Sends a request and returns the head of its response.
    ///
    /// # Errors
    ///
    /// Fails if the connection is closed first or the head is too long;
    /// [`ConnectionError::is_unsent`] reports whether the request may have been received.
    pub async fn send(
        &mut self,
        request: BufferedRequest,
    ) -> Result<Response<Incoming>, ConnectionError> {
        if self.sender.ready().await.is_err() {
            return Err(ConnectionError::Unsent);
        }
        self.head_limit.start_head();
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut error| match error.take_message() {
            Some(_) => ConnectionError::Unsent,
            None if self.head_limit.is_exceeded() => ConnectionError::LongHead,
            None => ConnectionError::Broken(error.into_error()),
        })?;
        self.head_limit.finish_head();
        Ok(response)
    }

    /// Sends a request and returns its response with the complete body, which may have at
    /// most `max_body_bytes`.
    ///
    /// # Errors
    ///
    /// Fails as [`HttpConnection::send`] does, or if the connection is closed within
    /// the body, or if the body exceeds its limits. The connection can't be used any more then.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// use bytes::Bytes;
    /// use http::Request;
    /// use http_body_util::Full;
    /// use skylarkshed_core::ClockTime;
    /// use skylarkshed_http_link::{ConnectionError, HttpConnection};
    ///
    /// # async fn request() -> Result<(), ConnectionError> {
    /// let address = ([127, 0, 0, 1], 8080).into();
    /// let mut connection = HttpConnection::connect(address, ClockTime::from_millis(500)).await?;
    /// let response = connection.exchange(Request::new(Full::new(Bytes::new())), 1024).await?;
    /// println!("{}: {} bytes", response.status(), response.body().len());
    /// # Ok(())
    /// # }
    /// ```
    pub async fn exchange(
        &mut self,
        request: BufferedRequest,
        max_body_bytes: usize,
    ) -> Result<Response<Bytes>, ConnectionError> {
        let (parts, body) = self.send(request).await?.into_parts();
        let body = read_body(body, BodyLimits::response(max_body_bytes)).await?;
        Ok(Response::from_parts(parts, body))
    }

    /// Reports whether the connection can't be used for another request.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
