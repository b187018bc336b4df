//! Tests of the reason for a 421.

use super::{MisdirectedRequest, Misdirection, INSTANCE_ID};
use crate::balance::{ExpectedWeights, WeightsVersion};
use crate::exchange::weights::VERSIONS;
use hyper::header::{HeaderMap, HeaderValue};

const OWN: &str = "i-1";

fn expected(version: u64) -> ExpectedWeights {
    ExpectedWeights {
        model: 7,
        version: WeightsVersion::Number(version),
    }
}

/// Guards against a backend being given up as another incarnation because its weights are not those that one request
/// expects.
#[test]
fn a_421_says_another_instance_only_if_the_weights_do_not_explain_it() {
    let other_weights = |version: u64| Misdirection::OtherWeights {
        shown: Some(WeightsVersion::Number(version)),
    };
    let untold = Misdirection::OtherWeights { shown: None };
    let other_instance = Misdirection::OtherInstance;
    // Expected version, `Versions`, `Instance-Id`, whether the connection has shown the instance: the reason.
    let cases = [
        (None, None, None, false, other_instance),
        (None, Some("1"), None, false, other_instance),
        (None, Some("1"), Some("i-2"), true, other_instance),
        (None, Some("1"), Some(OWN), false, Misdirection::Unexplained),
        (None, None, None, true, Misdirection::Unexplained),
        (Some(2), Some("1"), None, false, other_weights(1)),
        (Some(2), Some("3"), None, true, other_weights(3)),
        (Some(2), None, None, false, untold),
        (Some(2), None, None, true, untold),
        (Some(2), Some("2"), None, false, other_instance),
        (Some(2), Some("02"), None, false, other_instance),
        (Some(2), Some("2"), None, true, other_weights(2)),
        (Some(2), Some("2"), Some(OWN), false, other_weights(2)),
        (Some(2), Some("1"), Some("i-2"), false, other_instance),
        (Some(2), None, Some("i-2"), true, other_instance),
    ];
    for (version, shown, instance, is_instance_confirmed, reason) in cases {
        let request = MisdirectedRequest {
            instance: OWN,
            is_instance_confirmed,
            expected: version.map(expected),
        };
        let mut headers = HeaderMap::new();
        let values = [(VERSIONS, shown), (INSTANCE_ID, instance)];
        for (name, value) in values {
            if let Some(value) = value {
                headers.insert(name, HeaderValue::from_static(value));
            }
        }
        assert_eq!(request.reason(&headers), reason, "{request:?} {headers:?}");
    }
}
