//! How long a backend is waited for.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Whoever knows of other backends for a request.
pub trait Alternatives {
    /// Whether another backend takes the request now. Asked when one has been silent for long.
    fn has_other(&self) -> bool;
}

/// Whether a request may be written at this very moment.
pub type Permission<'a> = &'a dyn Fn() -> bool;

/// Bounds on waiting for one backend.
#[derive(Clone, Copy)]
pub struct WaitLimits<'a> {
    /// Nothing is waited for beyond this.
    pub deadline: Instant,
    /// A backend that is silent for so long is left, if there is another one.
    pub silence: Option<(Duration, &'a dyn Alternatives)>,
    /// Asked right before the request is written; without it, it may be.
    pub permission: Option<Permission<'a>>,
}

impl WaitLimits<'_> {
    /// Waits until the deadline alone.
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

    /// Waits for `work`; `None` if it is given up.
    pub async fn wait<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let mut work = pin!(work);
        if let Some((silence, alternatives)) = self.silence {
            let silent_until = (Instant::now() + silence).min(self.deadline);
            if let Ok(done) = timeout_at(silent_until, work.as_mut()).await {
                return Some(done);
            }
            if silent_until < self.deadline && alternatives.has_other() {
                return None;
            }
        }
        timeout_at(self.deadline, work).await.ok()
    }
}
