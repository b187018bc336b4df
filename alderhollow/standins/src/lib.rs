//! Stand-ins, on loopback, of all that the serving tier talks to: the platform's list, the model backends, an operator
//! and the clients. Tests and the example `loopback-tier` use them; the program itself does not.
//!
//! All of it runs on one thread, inside a `tokio::task::LocalSet`.

pub mod backend;
pub mod batch_client;
pub mod client;
pub mod events;
pub mod failing_backend;
pub mod http;
pub mod operator;
pub mod platform;
pub mod process;
pub mod processor_quota;
pub mod raw_request;
pub mod settings;

/// Names of the headers that the tier's callers and backends use.
pub mod header {
    /// Id of a request, a batch job or an item.
    pub const REQUEST_ID: &str = "request-id";
    /// Stamp of the backend that answered.
    pub const RESPONSE_SEAL: &str = "response-seal";
    /// On an answer of a backend that did not run the request.
    pub const NOT_EXECUTED: &str = "not-executed";
    /// The backend that a request is for.
    pub const TARGET_INSTANCE: &str = "target-instance";
    /// The backend that answers a health check, and at times on a 421.
    pub const INSTANCE_ID: &str = "instance-id";
    /// Last event that a caller has of a stream.
    pub const LAST_EVENT_ID: &str = "last-event-id";
    /// Tokens of the prompt, and most out.
    pub const TOKEN_USAGE: &str = "token-usage";
    /// Milliseconds that a client waits.
    pub const DEADLINE_MS: &str = "deadline-ms";
    /// How long a read of results may be held.
    pub const WAIT_MS: &str = "wait-ms";
    /// The version that the backend's weights must have.
    pub const EXPECT_VERSION: &str = "expect-version";
    /// Version of a backend's weights.
    pub const VERSIONS: &str = "versions";
}
