//! The experiments by name. Each runs on real processes for a bounded time.

mod capacity;
mod demo;
mod outage;
mod overload;
mod resume;

use crate::fleet::FleetError;
use crate::report::Report;
use futures::future::BoxFuture;

/// A named experiment.
pub struct Experiment {
    /// The name on the command line.
    pub name: &'static str,
    /// The measured quantity.
    pub about: &'static str,
    /// Runs it with a seed.
    pub run: fn(u64) -> BoxFuture<'static, Result<Report, FleetError>>,
}

/// All experiments.
pub const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "demo",
        about: "One generation whose engine is killed, and one booking",
        run: |seed| Box::pin(demo::run(seed)),
    },
    Experiment {
        name: "resume",
        about: "Resume latency and extra work of three methods to detect a failed engine",
        run: |seed| Box::pin(resume::run(seed, &resume::DETECTION_METHODS)),
    },
    Experiment {
        name: "resume-default",
        about: "The part of resume that measures the default method",
        run: |seed| Box::pin(resume::run(seed, &[resume::DEFAULT_METHOD])),
    },
    Experiment {
        name: "overload",
        about: "Goodput at three times the capacity, and a small customer next to a large one",
        run: |seed| Box::pin(overload::run(seed)),
    },
    Experiment {
        name: "outage",
        about: "Bookings during a platform outage of one minute, with and without minted keys",
        run: |seed| Box::pin(outage::run(seed)),
    },
    Experiment {
        name: "capacity",
        about: "Cost of the control plane by VMs, replicas and customers, and cost per token",
        run: |seed| Box::pin(capacity::run(seed)),
    },
];

/// Finds an experiment by its name.
///
/// # Examples
///
/// ```
/// use skylarkshed_bench::find_experiment;
///
/// assert!(find_experiment("demo").is_some());
/// assert!(find_experiment("unheard-of").is_none());
/// ```
pub fn find_experiment(name: &str) -> Option<&'static Experiment> {
    EXPERIMENTS
        .iter()
        .find(|experiment| experiment.name == name)
}
