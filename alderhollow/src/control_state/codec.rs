//! Bytes of requests, answers, commands and snapshots: a byte for the version of the format, then `minicbor`.

use minicbor::{Decode, Encode};
use thiserror::Error;

/// The format that is written. A reader of a later one has to keep reading this.
const FORMAT: u8 = 1;

/// Why bytes can't be read.
#[derive(Debug, Error)]
pub enum CodecError {
    /// There are none.
    #[error("no bytes")]
    Empty,
    /// The format is not known.
    #[error("format {0} is not known to this program: it was written by a later one")]
    UnknownFormat(u8),
    /// The bytes are not what they should be.
    #[error("damaged: {0}")]
    Damaged(#[from] minicbor::decode::Error),
    /// More follows than there should be.
    #[error("damaged: more bytes than one value")]
    TooLong,
}

/// The bytes of a value.
pub fn encode<T: Encode<()>>(value: &T) -> Vec<u8> {
    let mut bytes = vec![FORMAT];
    // Writing into a vector does not fail, and neither does any encoder of these types.
    if let Err(error) = minicbor::encode(value, &mut bytes) {
        log::error!("a value of the control state can't be encoded: {error}");
    }
    bytes
}

/// Reads a value from its bytes.
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
