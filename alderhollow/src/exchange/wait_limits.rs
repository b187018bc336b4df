//! Limits on waiting for a backend.

use crate::balance::Outcome;
use alderhollow_dataplane::progress::WriteProgress;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Knows whether other backends are available for a request.
pub trait Alternatives {
    /// Whether another backend can take the request now. Called when the current one has exceeded the silence limit.
    fn has_other(&self) -> bool;
}

/// Whether the request may be written at this moment.
pub type Permission<'a> = &'a dyn Fn() -> bool;

/// The limit that ended a wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachedLimit {
    /// The backend was silent for too long, and another one is available.
    Silence,
    /// The time of the request is over.
    Deadline,
}

impl From<ReachedLimit> for Outcome {
    fn from(limit: ReachedLimit) -> Outcome {
        match limit {
            ReachedLimit::Silence => Outcome::TimedOut,
            ReachedLimit::Deadline => Outcome::DeadlineExceeded,
        }
    }
}

/// Limits on waiting for one backend.
#[derive(Clone, Copy)]
pub struct WaitLimits<'a> {
    /// End of all waiting.
    pub deadline: Instant,
    /// A backend that is silent for this long is abandoned if another one is available. While it takes the request in, it
    /// is not silent.
    pub silence: Option<(Duration, &'a dyn Alternatives)>,
    /// Checked right before the request is written; `None` permits it.
    pub permission: Option<Permission<'a>>,
}

impl WaitLimits<'_> {
    /// Limits the wait by a deadline only.
    pub fn until(deadline: Instant) -> WaitLimits<'static> {
        WaitLimits {
            deadline,
            silence: None,
            permission: None,
        }
    }

    /// Whether the request may be written now.
    pub fn is_permitted(&self) -> bool {
        self.permission.is_none_or(|permission| permission())
    }

    /// Waits for `work`.
    ///
    /// # Errors
    /// A limit was reached first.
    pub async fn wait<T>(&self, work: impl Future<Output = T>) -> Result<T, ReachedLimit> {
        self.wait_after(|| None, work).await
    }

    /// Waits for `work`, the response to a request that is being written: the silence begins with the last byte that was
    /// written.
    ///
    /// # Errors
    /// A limit was reached first.
    pub async fn wait_for_response<T>(
        &self,
        progress: &WriteProgress,
        work: impl Future<Output = T>,
    ) -> Result<T, ReachedLimit> {
        self.wait_after(|| progress.last_written_at(), work).await
    }

    /// Waits for `work`; the silence begins with the call, or with the backend's last sign of progress after it.
    async fn wait_after<T>(
        &self,
        last_progress_at: impl Fn() -> Option<Instant>,
        work: impl Future<Output = T>,
    ) -> Result<T, ReachedLimit> {
        let mut work = pin!(work);
        if let Some((silence, alternatives)) = self.silence {
            let mut silent_until = (Instant::now() + silence).min(self.deadline);
            loop {
                if let Ok(done) = timeout_at(silent_until, work.as_mut()).await {
                    return Ok(done);
                }
                let extended_until = last_progress_at().map(|at| (at + silence).min(self.deadline));
                match extended_until.filter(|until| silent_until < *until) {
                    Some(until) => silent_until = until,
                    None => break,
                }
            }
            if silent_until < self.deadline && alternatives.has_other() {
                return Err(ReachedLimit::Silence);
            }
        }
        let done = timeout_at(self.deadline, work).await;
        done.map_err(|_| ReachedLimit::Deadline)
    }
}
