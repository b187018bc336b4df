//! Encoding of requests, answers, commands, snapshots and store reports: one byte with the format version, then CBOR
//! (`minicbor`). Used by this room and by the stores' reports.

use minicbor::{Decode, Encode};
use thiserror::Error;

/// Version of the format that is written. Later versions of the program must still decode it.
const FORMAT: u8 = 1;

/// Why bytes can't be decoded.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The input is empty.
    #[error("no bytes")]
    Empty,
    /// The format version is unknown.
    #[error("format {0} is not known to this program: it was written by a later one")]
    UnknownFormat(u8),
    /// The bytes are not the CBOR of the expected type.
    #[error("damaged: {0}")]
    Damaged(#[from] minicbor::decode::Error),
    /// Bytes follow the value.
    #[error("damaged: more bytes than one value")]
    TooLong,
}

/// Encodes a value with the format version.
pub fn encode<T: Encode<()>>(value: &T) -> Vec<u8> {
    let mut bytes = vec![FORMAT];
    // Encoding into a vector is infallible for these types.
    if let Err(error) = minicbor::encode(value, &mut bytes) {
        log::error!("failed to encode a value of the control state: {error}");
    }
    bytes
}

/// Decodes a value.
///
/// # Errors
/// The bytes are empty, of an unknown format version, malformed, or longer than one value.
pub fn decode<T: for<'b> Decode<'b, ()>>(bytes: &[u8]) -> Result<T, CodecError> {
    let (format, body) = bytes.split_first().ok_or(CodecError::Empty)?;
    if *format != FORMAT {
        return Err(CodecError::UnknownFormat(*format));
    }
    let mut decoder = minicbor::Decoder::new(body);
    let value = decoder.decode()?;
    if decoder.position() < body.len() {
        return Err(CodecError::TooLong);
    }
    Ok(value)
}
