//! Versions of model weights in the headers of requests and responses.

use crate::balance::{hash::hash_name, ExpectedWeights, WeightsVersion};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

/// The model that a request is for.
pub const MODEL: HeaderName = HeaderName::from_static("model");
/// The version that the weights must have; a backend with another one answers 421.
pub const EXPECT_VERSION: HeaderName = HeaderName::from_static("expect-version");
/// The version of the weights that a response was made with.
pub const VERSIONS: HeaderName = HeaderName::from_static("versions");

/// The version of the weights that a request expects; `None` if any version may run it.
pub fn expected(request: &HeaderMap) -> Option<ExpectedWeights> {
    let version = request.get(EXPECT_VERSION)?;
    Some(ExpectedWeights {
        model: model(request),
        version: WeightsVersion::read(version.as_bytes()),
    })
}

/// Identifies the model that a request is for. Requests without the header share one value.
pub fn model(request: &HeaderMap) -> u64 {
    let name = request.get(MODEL).map_or(&b""[..], HeaderValue::as_bytes);
    hash_name(&String::from_utf8_lossy(name))
}

/// The version of the weights that a response tells.
pub fn shown_version(response: &HeaderMap) -> Option<WeightsVersion> {
    let version = response.get(VERSIONS)?;
    Some(WeightsVersion::read(version.as_bytes()))
}
