//! HTTP for the operators' calls.

use super::calls::{Call, ConfigMethod, PendingCall, Reply};
use dropshot::{
    endpoint, ApiDescription, Body, BuildError, ConfigDropshot, HandlerTaskMode, HttpError,
    HttpServer, Path, RequestContext, ServerBuilder, UntypedBody,
};
use http::{header, HeaderMap, Response, StatusCode};
use hyper::body::Bytes;
use schemars::JsonSchema;
use serde::Deserialize;
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Largest configuration.
const MAX_DOCUMENT_BYTES: usize = 16 * 1024 * 1024;
/// Most calls that wait for the task that decides.
pub const MAX_PENDING_CALLS: usize = 64;

/// What the endpoints work with.
pub struct OperatorContext {
    /// To the task that decides.
    pub calls: mpsc::Sender<PendingCall>,
}

/// Serves `listen.control`; the server ends when it is dropped.
///
/// # Errors
/// The address cannot be listened on.
pub fn serve(
    address: SocketAddr,
    context: OperatorContext,
) -> Result<HttpServer<OperatorContext>, Box<BuildError>> {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: MAX_DOCUMENT_BYTES,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..Default::default()
    };
    ServerBuilder::new(describe(), context, log)
        .config(config)
        .start()
        .map_err(Box::new)
}

fn describe() -> ApiDescription<OperatorContext> {
    let mut api = ApiDescription::new();
    let registered = [
        api.register(put_config),
        api.register(patch_config),
        api.register(get_config),
        api.register(evacuate),
        api.register(take_back),
        api.register(retire),
        api.register(read_retirement),
    ];
    for error in registered.into_iter().filter_map(Result::err) {
        log::error!("an operators' call can't be served: {error}");
    }
    api
}

#[derive(Deserialize, JsonSchema)]
struct ZonePath {
    zone: String,
}

#[derive(Deserialize, JsonSchema)]
struct NodePath {
    node: String,
}

type Answer = Result<Response<Body>, HttpError>;

#[endpoint { method = PUT, path = "/alderhollow/config", unpublished = true }]
async fn put_config(context: RequestContext<OperatorContext>, body: UntypedBody) -> Answer {
    change_config(context, ConfigMethod::Put, body).await
}

#[endpoint { method = PATCH, path = "/alderhollow/config", unpublished = true }]
async fn patch_config(context: RequestContext<OperatorContext>, body: UntypedBody) -> Answer {
    change_config(context, ConfigMethod::Patch, body).await
}

async fn change_config(
    context: RequestContext<OperatorContext>,
    method: ConfigMethod,
    body: UntypedBody,
) -> Answer {
    let if_match = if_match(context.request.headers());
    let document = Bytes::copy_from_slice(body.as_bytes());
    end(
        context,
        Call::ChangeConfig {
            method,
            if_match,
            document,
        },
    )
    .await
}

#[endpoint { method = GET, path = "/alderhollow/config", unpublished = true }]
async fn get_config(context: RequestContext<OperatorContext>) -> Answer {
    end(context, Call::ReadConfig).await
}

#[endpoint { method = POST, path = "/alderhollow/evacuate/{zone}", unpublished = true }]
async fn evacuate(context: RequestContext<OperatorContext>, path: Path<ZonePath>) -> Answer {
    end(
        context,
        Call::Evacuate {
            zone: path.into_inner().zone,
        },
    )
    .await
}

#[endpoint { method = DELETE, path = "/alderhollow/evacuate/{zone}", unpublished = true }]
async fn take_back(context: RequestContext<OperatorContext>, path: Path<ZonePath>) -> Answer {
    end(
        context,
        Call::CancelEvacuation {
            zone: path.into_inner().zone,
        },
    )
    .await
}

#[endpoint { method = POST, path = "/alderhollow/retire/{node}", unpublished = true }]
async fn retire(
    context: RequestContext<OperatorContext>,
    path: Path<NodePath>,
    body: UntypedBody,
) -> Answer {
    let document = Bytes::copy_from_slice(body.as_bytes());
    end(
        context,
        Call::Retire {
            node: path.into_inner().node,
            document,
        },
    )
    .await
}

#[endpoint { method = GET, path = "/alderhollow/retire/{node}", unpublished = true }]
async fn read_retirement(context: RequestContext<OperatorContext>, path: Path<NodePath>) -> Answer {
    end(
        context,
        Call::ReadRetirement {
            node: path.into_inner().node,
        },
    )
    .await
}

/// The `If-Match` header, if it is text.
fn if_match(headers: &HeaderMap) -> Option<String> {
    headers
        .get(header::IF_MATCH)
        .and_then(|value| value.to_str().ok())
        .map(str::to_string)
}

/// Has a call decided and answers it.
async fn end(context: RequestContext<OperatorContext>, call: Call) -> Answer {
    let path_and_query = context.request.uri().to_string();
    let (reply, end) = oneshot::channel();
    let reply = match context
        .context()
        .calls
        .try_send(PendingCall { call, reply })
    {
        Ok(()) => end.await.unwrap_or(Reply::Unknown),
        Err(_) => Reply::Unavailable,
    };
    let response = respond(reply, &path_and_query, Instant::now());
    if let Ok(response) = &response {
        log::debug!("operators' call {path_and_query}: {}", response.status());
    }
    response
}

/// The HTTP answer to a call, as given at `now`.
fn respond(reply: Reply, path_and_query: &str, now: Instant) -> Answer {
    let builder = Response::builder();
    let response = match reply {
        Reply::Decided {
            valid_until: Some(until),
            ..
        } if now >= until => status_only(StatusCode::SERVICE_UNAVAILABLE),
        Reply::Decided { status, body, .. } => builder
            .status(status)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Body::with_content(body)),
        Reply::Elsewhere(address) => builder
            .status(StatusCode::TEMPORARY_REDIRECT)
            .header(
                header::LOCATION,
                format!("http://{address}{path_and_query}"),
            )
            .body(Body::empty()),
        Reply::Unavailable => status_only(StatusCode::SERVICE_UNAVAILABLE),
        Reply::Unknown => status_only(StatusCode::GATEWAY_TIMEOUT),
    };
    response.map_err(|error| HttpError::for_internal_error(error.to_string()))
}

fn status_only(status: StatusCode) -> http::Result<Response<Body>> {
    Response::builder().status(status).body(Body::empty())
}
