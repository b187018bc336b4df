//! How long a backend is waited for.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Bounds on waiting for one backend.
pub struct Patience<'a> {
    /// Nothing is waited for beyond this.
    pub deadline: Instant,
    /// A backend that is silent for so long may be left for another one.
    pub silence: Option<Duration>,
    /// Asked once the silence has lasted: whether there is another one to go to.
    pub may_leave: &'a dyn Fn() -> bool,
}

impl Patience<'_> {
    /// Waits until the deadline alone.
    pub fn until(deadline: Instant) -> Patience<'static> {
        Patience { deadline, silence: None, may_leave: &|| false }
    }

    /// Waits for `work`; `None` if it is given up.
    pub async fn wait<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let mut work = pin!(work);
        if let Some(silence) = self.silence {
            let silent_until = (Instant::now() + silence).min(self.deadline);
            if let Ok(done) = timeout_at(silent_until, work.as_mut()).await {
                return Some(done);
            }
            if silent_until < self.deadline && (self.may_leave)() {
                return None;
            }
        }
        timeout_at(self.deadline, work).await.ok()
    }
}
