//! HTTP client of the platform: requests its list of backends, page by page, over one connection.

use super::listing::{ListingError, Page};
use alderhollow_model::backend::Backend;
use http::{header, Request, StatusCode};
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;

/// Time-out for one page, including the connection.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum size of a page.
const MAX_PAGE_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of pages of one list.
const MAX_PAGES: usize = 200;

/// Why the list could not be read. The former list stays valid then.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// Connecting to the platform failed.
    #[error("the platform can't be reached: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection broke.
    #[error("the connection to the platform broke: {0}")]
    Exchange(#[from] hyper::Error),
    /// The request could not be built.
    #[error("can't build a request from the platform's page token: {0}")]
    Request(#[from] http::Error),
    /// The body is incomplete or too large.
    #[error("the platform's answer is incomplete or too large")]
    Body,
    /// No answer within the time-out.
    #[error("the platform did not answer in time")]
    TimedOut,
    /// The platform's rate limit was exceeded.
    #[error("the platform's rate limit is exceeded (429)")]
    OverRate,
    /// An unexpected HTTP status.
    #[error("the platform answered {0}")]
    Status(StatusCode),
    /// The body is not a page of the list.
    #[error(transparent)]
    Listing(#[from] ListingError),
    /// The list has too many pages.
    #[error("the platform's list has more than {MAX_PAGES} pages")]
    TooManyPages,
}

/// Client of the platform. It reconnects when needed.
pub struct Platform {
    address: SocketAddr,
    connection: Option<SendRequest<Empty<Bytes>>>,
}

impl Platform {
    /// A client for the platform at an address. It connects with the first request.
    pub fn new(address: SocketAddr) -> Platform {
        Platform {
            address,
            connection: None,
        }
    }

    /// Reads all pages of the list. Waits `page_delay` between two pages, to stay below the platform's rate limit. Each page
    /// is shown to `on_page` as soon as it is there.
    ///
    /// # Errors
    /// A page can't be requested or parsed, or there are too many pages.
    pub async fn read(
        &mut self,
        page_delay: Duration,
        mut on_page: impl FnMut(&[Backend]),
    ) -> Result<Vec<Backend>, PlatformError> {
        let mut backends = Vec::new();
        let mut token = None;
        for _ in 0..MAX_PAGES {
            let page = self.read_page(token.as_deref()).await?;
            for entry in &page.skipped {
                log::warn!("skipped an invalid entry of the platform's list: {entry}");
            }
            on_page(&page.backends);
            backends.extend(page.backends);
            token = page.next_token;
            if token.is_none() {
                return Ok(backends);
            }
            tokio::time::sleep(page_delay).await;
        }
        Err(PlatformError::TooManyPages)
    }

    async fn read_page(&mut self, token: Option<&str>) -> Result<Page, PlatformError> {
        let result = match tokio::time::timeout(PAGE_TIMEOUT, self.exchange(token)).await {
            Ok(result) => result,
            Err(_) => Err(PlatformError::TimedOut),
        };
        if !matches!(
            result,
            Ok(_) | Err(PlatformError::OverRate | PlatformError::Status(_))
        ) {
            self.connection = None;
        }
        result
    }

    async fn exchange(&mut self, token: Option<&str>) -> Result<Page, PlatformError> {
        let path = match token {
            Some(token) => format!("/instances?page-token={}", percent_encode(token)),
            None => "/instances".to_string(),
        };
        let request = Request::get(path)
            .header(header::HOST, self.address.to_string())
            .body(Empty::<Bytes>::new())?;
        let answer = self.connection().await?.send_request(request).await?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_PAGE_BYTES)
            .collect()
            .await;
        let body = body.map_err(|error| body_error(error.as_ref()))?.to_bytes();
        match status {
            StatusCode::OK => Ok(Page::parse(&body)?),
            StatusCode::TOO_MANY_REQUESTS => Err(PlatformError::OverRate),
            status => Err(PlatformError::Status(status)),
        }
    }

    async fn connection(&mut self) -> Result<&mut SendRequest<Empty<Bytes>>, PlatformError> {
        let connection = match self.connection.take() {
            Some(mut connection) => match connection.ready().await {
                Ok(()) => connection,
                Err(_) => connect(self.address).await?,
            },
            None => connect(self.address).await?,
        };
        Ok(self.connection.insert(connection))
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Empty<Bytes>>, PlatformError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("the connection to the platform failed: {error}");
        }
    });
    Ok(sender)
}

fn body_error(error: &(dyn std::error::Error + Send + Sync + 'static)) -> PlatformError {
    if !error.is::<LengthLimitError>() {
        log::debug!("reading the platform's answer failed: {error}");
    }
    PlatformError::Body
}

/// Percent-encodes all but unreserved characters, for a value in a query.
pub fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            encoded.push_str(&format!("%{byte:02X}"));
        }
    }
    encoded
}
