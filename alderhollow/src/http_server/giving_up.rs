//! The end of the time for leaving: a request that has no answer by then gets one that says so, in place of a connection
//! that closes without a word.

use std::cell::Cell;
use tokio::sync::Notify;

/// Tells the requests under way when they are given up.
#[derive(Default)]
pub(super) struct GivingUp {
    is_due: Cell<bool>,
    told: Notify,
}

impl GivingUp {
    /// All requests that have no answer yet are given up from now on.
    pub(super) fn begin(&self) {
        self.is_due.set(true);
        self.told.notify_waiters();
    }

    /// Waits until they are.
    pub(super) async fn due(&self) {
        let told = self.told.notified();
        if !self.is_due.get() {
            told.await;
        }
    }
}
