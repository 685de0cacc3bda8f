//! Experiments by name, each on real processes and bounded in time.

mod capacity;
mod demo;
mod outage;
mod overload;
mod resume;

use crate::fleet::FleetError;
use crate::report::Report;
use futures::future::BoxFuture;

/// An experiment.
pub struct Experiment {
    /// The name on the command line.
    pub name: &'static str,
    /// What it measures.
    pub about: &'static str,
    /// Runs it with a seed.
    pub run: fn(u64) -> BoxFuture<'static, Result<Report, FleetError>>,
}

/// All experiments.
pub const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "demo",
        about: "One generation over a killed engine, and one booking",
        run: |seed| Box::pin(demo::run(seed)),
    },
    Experiment {
        name: "resume",
        about: "Resume latency and extra work of three ways to notice a lost engine",
        run: |seed| Box::pin(resume::run(seed, &resume::WAYS)),
    },
    Experiment {
        name: "resume-default",
        about: "The part of resume that measures the default way",
        run: |seed| Box::pin(resume::run(seed, &[resume::DEFAULT_WAY])),
    },
    Experiment {
        name: "overload",
        about: "Goodput at three times the capacity, and a small customer beside a large one",
        run: |seed| Box::pin(overload::run(seed)),
    },
    Experiment {
        name: "outage",
        about: "Bookings through a minute without the platform, with and without minted keys",
        run: |seed| Box::pin(outage::run(seed)),
    },
    Experiment {
        name: "capacity",
        about: "What control costs by VMs, replicas and customers, and what tokens cost",
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
