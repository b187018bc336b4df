//! HTTP client of the platform: requests its list of backends, page by page, over one connection.

use super::listing::{ListingError, Page};
use alderhollow_dataplane::flow::Upload;
use alderhollow_dataplane::link::{BrokenResponse, ExchangeError, Link};
use alderhollow_model::backend::Backend;
use http::{header, Request, StatusCode};
use hyper::body::{Bytes, Incoming};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

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
    /// The connection broke, or the answer is malformed.
    #[error("the platform sent no whole answer: {0}")]
    Exchange(#[from] ExchangeError),
    /// The request could not be built.
    #[error("can't build a request from the platform's page token: {0}")]
    Request(#[from] http::Error),
    /// The body is incomplete or malformed.
    #[error("the platform's answer is not whole: {0}")]
    Body(#[from] BrokenResponse),
    /// The body is too large.
    #[error("the platform's answer has more than {MAX_PAGE_BYTES} bytes")]
    TooLarge,
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
    connection: Option<Link>,
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
            .body(Upload::new(Bytes::new(), None))?;
        let link = self.connection().await?;
        let (head, body) = link.send(request).await?.into_parts();
        let body = read_body(link, body).await?;
        match head.status {
            StatusCode::OK => Ok(Page::parse(&body)?),
            StatusCode::TOO_MANY_REQUESTS => Err(PlatformError::OverRate),
            status => Err(PlatformError::Status(status)),
        }
    }

    /// The open connection, or a new one where it was closed.
    async fn connection(&mut self) -> Result<&mut Link, PlatformError> {
        let open = match self.connection.take() {
            Some(mut link) => link.is_silent().await.then_some(link),
            None => None,
        };
        let link = match open {
            Some(link) => link,
            None => Link::open(self.address, Rc::default()).await?,
        };
        Ok(self.connection.insert(link))
    }
}

async fn read_body(link: &mut Link, mut body: Incoming) -> Result<Vec<u8>, PlatformError> {
    let mut bytes = Vec::new();
    while let Some(chunk) = link.next_chunk(&mut body).await {
        bytes.extend_from_slice(&chunk?);
        if bytes.len() > MAX_PAGE_BYTES {
            return Err(PlatformError::TooLarge);
        }
    }
    Ok(bytes)
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
