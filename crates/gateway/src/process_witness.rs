//! Tells whether the process that sends a response runs until its end.
//!
//! A connection belongs to one process, whose kernel closes it when the process ends. One
//! that was made soon after the request was sent, and is still served after the end of the
//! response, shows that the process has run all the while. Plain applications report no
//! start time by which it could be told from its successor.

use crate::message_error::MessageError;
use crate::platform_api::WireProtocol;
use crate::process_check::{check_process, try_connection, NewConnection};
use skylarkshed_core::{BootTimeClock, ClockTime, UpstreamRecord};
use skylarkshed_http_link::{BufferedRequest, ConnectionError, HttpConnection};
use skylarkshed_policy::ProcessCheck;
use std::net::SocketAddr;
use tokio_util::task::AbortOnDropHandle;

/// A live host accepts a connection within a few milliseconds.
const CONNECT_TIMEOUT: ClockTime = ClockTime::from_millis(100);
/// The time in which a process that ends closes a connection that it accepted last.
const CLOSE_TIME: ClockTime = ClockTime::from_millis(20);
/// How long a process that is busy may take to answer.
const ANSWER_TIMEOUT: ClockTime = ClockTime::from_millis(1_000);
/// An answer says no more than that the process runs.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// A second connection to the process that sends a response.
pub(crate) struct ProcessWitness {
    clock: BootTimeClock,
    address: SocketAddr,
    sent_at: ClockTime,
    question: Result<BufferedRequest, MessageError>,
    connecting: AbortOnDropHandle<Result<(HttpConnection, ClockTime), ConnectionError>>,
}

impl ProcessWitness {
    /// Starts to connect to an upstream that got a request at `sent_at`.
    pub(crate) fn open<P: WireProtocol>(
        clock: BootTimeClock,
        upstream: &UpstreamRecord,
        sent_at: ClockTime,
    ) -> Self {
        let address = upstream.address;
        let connecting = async move {
            let connection = HttpConnection::connect(address, CONNECT_TIMEOUT).await?;
            Ok((connection, clock.now()))
        };
        ProcessWitness {
            clock,
            address,
            sent_at,
            question: P::write_report_request(upstream),
            connecting: AbortOnDropHandle::new(tokio::spawn(connecting)),
        }
    }

    /// Checks the process after the end of its response.
    pub(crate) async fn check(self) -> ProcessCheck {
        let Ok(Ok((mut connection, connected_at))) = self.connecting.await else {
            let check = check_process(self.address).await;
            return check.after(self.clock.now().since(self.sent_at));
        };
        let since_sent = self.clock.now().since(self.sent_at);
        if ProcessCheck::Running.after(since_sent).confirms_close() {
            if connection.settle(CLOSE_TIME).await.is_ok() {
                return ProcessCheck::Running;
            }
            let check = match try_connection(self.address).await {
                // It had too many connections, and still has.
                NewConnection::Closed => ProcessCheck::Running,
                NewConnection::Unanswered => ProcessCheck::Unreachable,
                // The process that closed its connections is not the one that accepts them.
                NewConnection::Open | NewConnection::Refused => ProcessCheck::Ended,
            };
            return check.after(self.clock.now().since(self.sent_at));
        }
        let check = ask(&mut connection, self.question).await;
        check.after(connected_at.since(self.sent_at))
    }
}

/// Asks the process that accepted a connection. Any answer shows that it runs.
async fn ask(
    connection: &mut HttpConnection,
    question: Result<BufferedRequest, MessageError>,
) -> ProcessCheck {
    let question = match question {
        Ok(question) => question,
        Err(error) => {
            log::warn!("a process can't be checked: {error}");
            return ProcessCheck::Unknown;
        }
    };
    let answering = connection.exchange(question, MAX_ANSWER_BYTES);
    match tokio::time::timeout(ANSWER_TIMEOUT.to_duration(), answering).await {
        Ok(Ok(_)) => ProcessCheck::Running,
        Ok(Err(error)) if error.is_close() => ProcessCheck::Ended,
        // Something answered, but not as a whole response.
        Ok(Err(_)) => ProcessCheck::Running,
        Err(_) => ProcessCheck::Unreachable,
    }
}
