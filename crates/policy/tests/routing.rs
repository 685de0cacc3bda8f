//! Where answers go whose engine is lost.

use skylarkshed_core::{UpstreamName, ZoneName};
use skylarkshed_policy::{choose_upstream, PrefixQuery, UpstreamHealth, UpstreamView};

/// An engine dies with three answers of one VM. The VM hears of the load of its
/// own zone's engines only, so some others look idle; the three must not meet
/// there, where each would wait for the prefills of the others.
#[test]
fn answers_of_one_loss_go_to_different_engines() {
    let names: Vec<UpstreamName> = (0..6)
        .map(|number| UpstreamName::new(format!("engine-{number}")))
        .collect();
    let zone = ZoneName::from("zone-1");
    let known_load = [2, 0, 3, 3, 2, 3];
    let mut prefills = [0; 6];
    let avoid = [UpstreamName::from("lost")];
    for prefix in [7, 8, 9] {
        let views: Vec<UpstreamView<'_>> = (0..6)
            .map(|place| UpstreamView {
                name: &names[place],
                zone: &zone,
                load: known_load[place] + prefills[place],
                prefills: prefills[place],
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
