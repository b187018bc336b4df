//! Frames of the tier's own protocol: a length, a fixed head and a payload that the service of the frame reads.
//!
//! ```text
//! length u32 | version u8 | kind u8 | service u8 | call u64 | payload
//! ```
//!
//! Numbers are big-endian; `length` counts all that follows it.

use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Version of the frame's layout.
pub const PROTOCOL_VERSION: u8 = 1;
/// Largest payload of a frame.
pub const MAX_PAYLOAD_BYTES: usize = 16 * 1024 * 1024;

const LENGTH_BYTES: usize = 4;
const HEAD_BYTES: usize = 11;
/// A payload's buffer grows as its bytes arrive, from at most this.
const FIRST_ALLOCATION_BYTES: usize = 64 * 1024;

/// What a frame is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameKind {
    /// Wants a response with the same call number.
    Request,
    /// Wants nothing, and may be lost.
    Notice,
    /// The answer to a request.
    Response,
    /// The request was not served; the payload is one byte, a [`Refusal`].
    Refused,
}

impl FrameKind {
    fn code(self) -> u8 {
        match self {
            FrameKind::Request => 1,
            FrameKind::Notice => 2,
            FrameKind::Response => 3,
            FrameKind::Refused => 4,
        }
    }

    fn from_code(code: u8) -> Option<FrameKind> {
        match code {
            1 => Some(FrameKind::Request),
            2 => Some(FrameKind::Notice),
            3 => Some(FrameKind::Response),
            4 => Some(FrameKind::Refused),
            _ => None,
        }
    }
}

/// Which part of a process a frame is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServiceId {
    /// Messages between the members of the core.
    Core,
    /// Finding the primary, and the long-polls for tables.
    Distribution,
    /// Calls of gateways to the primary of a batch group.
    Batch,
    /// Replication between stores.
    Replication,
    /// Operators' questions about one process.
    Status,
    /// Questions and reports of senders to a zone's placer.
    Placement,
}

impl ServiceId {
    fn code(self) -> u8 {
        match self {
            ServiceId::Core => 1,
            ServiceId::Distribution => 2,
            ServiceId::Batch => 3,
            ServiceId::Replication => 4,
            ServiceId::Status => 5,
            ServiceId::Placement => 6,
        }
    }

    fn from_code(code: u8) -> Option<ServiceId> {
        match code {
            1 => Some(ServiceId::Core),
            2 => Some(ServiceId::Distribution),
            3 => Some(ServiceId::Batch),
            4 => Some(ServiceId::Replication),
            5 => Some(ServiceId::Status),
            6 => Some(ServiceId::Placement),
            _ => None,
        }
    }
}

/// Why a request was not served. Nothing of it was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The process has no such service.
    NoService,
    /// The payload can't be read.
    Malformed,
    /// The process has too much to do.
    Busy,
}

impl Refusal {
    /// The byte that stands for it.
    pub fn code(self) -> u8 {
        match self {
            Refusal::NoService => 1,
            Refusal::Malformed => 2,
            Refusal::Busy => 3,
        }
    }

    /// The refusal that a byte stands for; an unknown one is taken for [`Refusal::NoService`].
    pub fn from_code(code: u8) -> Refusal {
        match code {
            2 => Refusal::Malformed,
            3 => Refusal::Busy,
            _ => Refusal::NoService,
        }
    }
}

/// One frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// What it is.
    pub kind: FrameKind,
    /// Whom it is for; `None`: a service that this version doesn't know.
    pub service: Option<ServiceId>,
    /// Number of the call within its connection; 0 in notices.
    pub call: u64,
    /// The message.
    pub payload: Vec<u8>,
}

/// Why no frame could be read. The connection can't be used after that.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The connection ended or broke.
    #[error("the connection broke: {0}")]
    Connection(#[from] std::io::Error),
    /// The length is below that of a head, or above the bound.
    #[error("a frame of {0} bytes")]
    Length(u32),
    /// The layout is not of this version.
    #[error("a frame of version {0}")]
    Version(u8),
    /// The kind is none of [`FrameKind`].
    #[error("a frame of kind {0}")]
    Kind(u8),
}

impl Frame {
    /// Size of the frame's bytes.
    pub fn encoded_bytes(&self) -> usize {
        LENGTH_BYTES + HEAD_BYTES + self.payload.len()
    }

    /// Appends the frame's bytes.
    pub fn encode(&self, into: &mut Vec<u8>) {
        let length = u32::try_from(HEAD_BYTES + self.payload.len()).unwrap_or(u32::MAX);
        into.extend_from_slice(&length.to_be_bytes());
        into.push(PROTOCOL_VERSION);
        into.push(self.kind.code());
        into.push(self.service.map_or(0, ServiceId::code));
        into.extend_from_slice(&self.call.to_be_bytes());
        into.extend_from_slice(&self.payload);
    }

    /// Reads one frame; `None` if the connection ended between two.
    ///
    /// # Errors
    /// The connection broke, or the frame has an unknown version, kind or length.
    pub async fn read<R: AsyncRead + Unpin>(from: &mut R) -> Result<Option<Frame>, FrameError> {
        let mut length = [0; LENGTH_BYTES];
        if from.read(&mut length[..1]).await? == 0 {
            return Ok(None);
        }
        from.read_exact(&mut length[1..]).await?;
        let length = u32::from_be_bytes(length);
        let payload_bytes = payload_bytes(length)?;
        let version = from.read_u8().await?;
        if version != PROTOCOL_VERSION {
            return Err(FrameError::Version(version));
        }
        let kind = from.read_u8().await?;
        let kind = FrameKind::from_code(kind).ok_or(FrameError::Kind(kind))?;
        let service = ServiceId::from_code(from.read_u8().await?);
        let call = from.read_u64().await?;
        let payload = read_payload(from, payload_bytes).await?;
        Ok(Some(Frame {
            kind,
            service,
            call,
            payload,
        }))
    }
}

fn payload_bytes(length: u32) -> Result<usize, FrameError> {
    usize::try_from(length)
        .ok()
        .and_then(|length| length.checked_sub(HEAD_BYTES))
        .filter(|payload| *payload <= MAX_PAYLOAD_BYTES)
        .ok_or(FrameError::Length(length))
}

async fn read_payload<R: AsyncRead + Unpin>(
    from: &mut R,
    bytes: usize,
) -> Result<Vec<u8>, FrameError> {
    let mut payload = Vec::with_capacity(bytes.min(FIRST_ALLOCATION_BYTES));
    let limit = u64::try_from(bytes).unwrap_or(u64::MAX);
    from.take(limit).read_to_end(&mut payload).await?;
    if payload.len() < bytes {
        return Err(FrameError::Connection(
            std::io::ErrorKind::UnexpectedEof.into(),
        ));
    }
    Ok(payload)
}
