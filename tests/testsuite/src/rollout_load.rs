//! Callers that send requests at a steady mean rate.

use crate::gateway_harness::GatewayHarness;
use crate::raw_client::RawClient;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use skylarkshed_stand_ins::DEPOT_KEY;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

const REFUSED: u16 = 503;

/// Callers of one VM; they stop when this is dropped.
#[derive(Debug)]
pub struct CallerLoad {
    sent: Arc<AtomicUsize>,
    refused: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Drop for CallerLoad {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl CallerLoad {
    /// Starts to send `POST` requests to a route of a VM, `per_second` on average; the
    /// pauses between them are exponentially distributed and follow from `seed`, as the
    /// identifiers do. Loads of one test need different seeds.
    pub fn start(vm: SocketAddr, path_prefix: &str, per_second: f64, seed: u64) -> Self {
        let sent = Arc::new(AtomicUsize::new(0));
        let refused = Arc::new(AtomicUsize::new(0));
        let counts = (sent.clone(), refused.clone());
        let sending = send_requests(vm, path_prefix.to_owned(), per_second, seed, counts);
        CallerLoad {
            sent,
            refused,
            task: tokio::spawn(sending),
        }
    }

    /// Returns the number of requests sent so far.
    pub fn sent_count(&self) -> usize {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that were refused with status 503.
    pub fn refused_count(&self) -> usize {
        self.refused.load(Ordering::Relaxed)
    }
}

async fn send_requests(
    vm: SocketAddr,
    path_prefix: String,
    per_second: f64,
    seed: u64,
    (sent, refused): (Arc<AtomicUsize>, Arc<AtomicUsize>),
) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut next = tokio::time::Instant::now();
    loop {
        let number = sent.fetch_add(1, Ordering::Relaxed);
        let path = format!("{path_prefix}{number}");
        let id = format!("load-{seed}-{number}");
        let refused = refused.clone();
        tokio::spawn(async move {
            let request = GatewayHarness::build_request_with_id(&id, "POST", &path, DEPOT_KEY, "x");
            let mut client = RawClient::connect(vm).await;
            client.send(request.as_bytes()).await;
            let response = client.read_response().await;
            if response.is_some_and(|response| response.status == REFUSED) {
                refused.fetch_add(1, Ordering::Relaxed);
            }
        });
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        next += Duration::from_secs_f64(-uniform.ln() / per_second);
        tokio::time::sleep_until(next).await;
    }
}
