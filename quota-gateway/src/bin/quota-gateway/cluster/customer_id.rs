//! Customer IDs as operators write them behind the name of a call.

use crate::cluster::error::ClusterError;
use crate::errors::word;
use quota_gateway::CustomerId;

/// Hexadecimal digits of a customer ID, as the cookie has it.
const CUSTOMER_ID_DIGITS: usize = 16;

/// Parses a customer ID of exactly 16 hexadecimal digits.
///
/// # Errors
/// [`ClusterError::InvalidCustomerId`] for any other text, also for fewer digits or a sign.
pub(super) fn parse_customer_id(id: &str) -> Result<CustomerId, ClusterError> {
    let well_formed =
        id.len() == CUSTOMER_ID_DIGITS && id.bytes().all(|byte| byte.is_ascii_hexdigit());
    CustomerId::from_str_radix(id, 16)
        .ok()
        .filter(|_| well_formed)
        .ok_or_else(|| ClusterError::InvalidCustomerId { written: word(id) })
}

#[cfg(test)]
mod tests;
