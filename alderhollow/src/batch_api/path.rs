//! Paths and queries of calls about batch jobs.

/// Path prefix of calls that read the results of a batch job or end it.
pub const JOBS_PREFIX: &str = "/alderhollow/lots/";
/// Path prefix of calls that read the body of an item.
pub const ITEMS_PREFIX: &str = "/alderhollow/items/";

/// The resource that a path refers to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// A batch job: `GET` reads results from a position, `DELETE` ends the job.
    Job {
        /// The batch job's id.
        job: String,
        /// Position of the first result to return.
        after: u64,
    },
    /// The body of an item.
    Item {
        /// The batch job's id.
        job: String,
        /// The item's id.
        item: String,
    },
}

/// Why a path or query is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PathError {
    /// Not one of the paths of batch jobs.
    #[error("no such path")]
    Unknown,
    /// The id of a batch job or item is missing or malformed.
    #[error("the id is missing or malformed")]
    Id,
    /// `after` is not a whole number.
    #[error("`after` is not a whole number")]
    After,
}

/// Whether a path belongs to batch jobs regardless of any route.
pub fn is_batch_path(path: &str) -> bool {
    path.starts_with(JOBS_PREFIX) || path.starts_with(ITEMS_PREFIX)
}

/// Parses a path and its query.
///
/// # Errors
/// The path or its query contains no valid job, item or position.
pub fn read(path: &str, query: Option<&str>) -> Result<Target, PathError> {
    let query = query.unwrap_or("");
    if let Some(job) = path.strip_prefix(JOBS_PREFIX) {
        let after = match query_value(query, "after")? {
            None => 0,
            Some(text) => text.parse().map_err(|_| PathError::After)?,
        };
        return Ok(Target::Job {
            job: decode_id(job)?,
            after,
        });
    }
    let job = path.strip_prefix(ITEMS_PREFIX).ok_or(PathError::Unknown)?;
    let item = query_value(query, "id")?.ok_or(PathError::Id)?;
    Ok(Target::Item {
        job: decode_id(job)?,
        item: decode_id(&item)?,
    })
}

fn decode_id(text: &str) -> Result<String, PathError> {
    let decoded = decode_percent(text)?;
    match decoded.is_empty() || decoded.contains('/') {
        true => Err(PathError::Id),
        false => Ok(decoded),
    }
}

fn query_value(query: &str, name: &str) -> Result<Option<String>, PathError> {
    for pair in query.split('&') {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        if key == name {
            return decode_percent(value).map(Some);
        }
    }
    Ok(None)
}

/// Decodes percent-encoding.
fn decode_percent(text: &str) -> Result<String, PathError> {
    if !text.contains('%') {
        return Ok(text.to_string());
    }
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes().iter();
    while let Some(&byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let high = rest
            .next()
            .and_then(|digit| hex(*digit))
            .ok_or(PathError::Id)?;
        let low = rest
            .next()
            .and_then(|digit| hex(*digit))
            .ok_or(PathError::Id)?;
        bytes.push(high * 16 + low);
    }
    String::from_utf8(bytes).map_err(|_| PathError::Id)
}

fn hex(digit: u8) -> Option<u8> {
    (digit as char).to_digit(16).map(|value| value as u8)
}

#[cfg(test)]
mod tests;
