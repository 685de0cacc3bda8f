//! Callers that send one request after the other.

use crate::fleet::request;
use crate::http::{send, Message};
use crate::record::Record;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// How long a caller of a call waits.
pub const TIME_LEFT_MS: u64 = 3_000;

/// A request's identifier and its answer, if there was one.
pub type Answer = (String, Option<Message>);

/// Callers of one route.
pub struct Callers {
    is_over: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<Answer>>>,
}

impl Callers {
    /// Starts callers that pause for 20 ms between two requests.
    pub fn start(
        record: &Record,
        address: SocketAddr,
        path: &'static str,
        count: usize,
    ) -> Callers {
        let is_over = Arc::new(AtomicBool::new(false));
        let callers = (0..count).map(|caller| {
            let (record, is_over) = (record.clone(), is_over.clone());
            std::thread::spawn(move || {
                let mut answers = Vec::new();
                for number in 0..10_000 {
                    if is_over.load(Ordering::SeqCst) {
                        break;
                    }
                    let id = format!("9c41d07be{caller:02}{number:05}");
                    let text = request("POST", path, &id, TIME_LEFT_MS, "{\"credit\":1}");
                    record.note(&format!("sent: POST {path}, request {id}"));
                    let response = send(address, &text, Duration::from_millis(TIME_LEFT_MS)).ok();
                    let status = response.as_ref().map_or(0, Message::status);
                    record.note(&format!("answered: request {id}: status {status}"));
                    answers.push((id, response));
                    std::thread::sleep(Duration::from_millis(20));
                }
                answers
            })
        });
        let callers = callers.collect();
        Callers { is_over, callers }
    }

    /// Lets the callers end after their current requests.
    pub fn stop(&self) {
        self.is_over.store(true, Ordering::SeqCst);
    }

    /// Returns all answers.
    pub fn join(self) -> Vec<Answer> {
        self.stop();
        let callers = self.callers.into_iter();
        callers
            .flat_map(|caller| caller.join().expect("no panic"))
            .collect()
    }
}
