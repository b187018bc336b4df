//! The end of the drain period: a request that is still unanswered by then gets an error response instead of a closed
//! connection.

use std::cell::Cell;
use tokio::sync::Notify;

/// Notifies in-flight requests when the drain period ends.
#[derive(Default)]
pub(super) struct DrainDeadline {
    is_expired: Cell<bool>,
    notify: Notify,
}

impl DrainDeadline {
    /// Aborts all requests that have no response yet, and any later ones.
    pub(super) fn expire(&self) {
        self.is_expired.set(true);
        self.notify.notify_waiters();
    }

    /// Waits until the drain period has ended.
    pub(super) async fn expired(&self) {
        let notified = self.notify.notified();
        if !self.is_expired.get() {
            notified.await;
        }
    }
}
