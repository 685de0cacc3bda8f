//! Describes the samples of a rollout in a log line.

use skylarkshed_policy::{RolloutSamples, RouteSamples};
use std::cmp::Reverse;

/// The number of routes that are described; a service may have hundreds.
const MAX_ROUTES: usize = 12;

/// Returns the failed and all requests of both versions by route, those with the most
/// requests first; and how many of the failed ones got no response, if any.
pub(super) fn summarize_routes(samples: &RolloutSamples) -> String {
    let all = samples.since(0);
    let total = |route: &&String| {
        let versions = [all.old.routes.get(*route), all.new.routes.get(*route)];
        let totals = versions.into_iter().flatten();
        totals.map(|samples| samples.total).sum::<u64>()
    };
    let only_new = all.new.routes.keys();
    let only_new = only_new.filter(|route| !all.old.routes.contains_key(*route));
    let mut routes: Vec<&String> = all.old.routes.keys().chain(only_new).collect();
    routes.sort_by_key(|route| Reverse(total(route)));
    let routes = routes.into_iter().take(MAX_ROUTES).map(|route| {
        let old = describe(all.old.routes.get(route));
        let new = describe(all.new.routes.get(route));
        format!("{route}: old {old}, new {new}")
    });
    routes.collect::<Vec<String>>().join("; ")
}

fn describe(samples: Option<&RouteSamples>) -> String {
    samples.map_or("0/0".to_owned(), |samples| {
        let counts = format!("{}/{}", samples.failed, samples.total);
        match samples.unanswered {
            0 => counts,
            unanswered => format!("{counts} ({unanswered} unanswered)"),
        }
    })
}
