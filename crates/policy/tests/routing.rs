//! Selection of an upstream after a failure.

use skylarkshed_core::{UpstreamName, ZoneName};
use skylarkshed_policy::{choose_upstream, PrefixQuery, UpstreamHealth, UpstreamView};

/// Guards against overloading one engine after a failure: an engine fails while it
/// runs three generations of one VM. The VM knows only the load of its own zone's
/// engines, so others look idle; if all three went to one of them, each would wait
/// for the prefills of the others.
#[test]
fn generations_of_a_failed_engine_go_to_different_engines() {
    let names: Vec<UpstreamName> = (0..6)
        .map(|number| UpstreamName::new(format!("engine-{number}")))
        .collect();
    let zone = ZoneName::from("zone-1");
    let known_load = [2, 0, 3, 3, 2, 3];
    let mut prefills = [0; 6];
    let avoid = [UpstreamName::from("lost")];
    for prefix in [7, 8, 9] {
        let views: Vec<UpstreamView<'_>> = (0..6)
            .map(|index| UpstreamView {
                name: &names[index],
                zone: &zone,
                load: known_load[index] + prefills[index],
                prefills: prefills[index],
                health: UpstreamHealth::Healthy,
            })
            .collect();
        let query = PrefixQuery {
            prefix,
            zone: &zone,
            avoid: &avoid,
        };
        prefills[choose_upstream(&query, &views).unwrap()] += 1;
    }
    assert_eq!(prefills.iter().max(), Some(&1));
}
