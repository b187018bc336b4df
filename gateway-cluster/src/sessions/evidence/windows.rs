//! Windows of counts for one kind of change.

use super::requests::Tally;
use serde::{Deserialize, Serialize};
/// Number of windows of each kind of change.
pub const WINDOWS: usize = 4;
/// Requests on changed connections after which a window is full.
pub const WINDOW_REQUESTS: u16 = 32;
/// Seconds after which a window ends.
pub const WINDOW_S: u32 = 1800;

/// Counts of one window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// Requests on a changed connection.
    pub changed: Tally,
    /// Requests on the reused connection.
    pub reused: Tally,
    /// Control group of both: requests of others and those that failed.
    pub control: [u32; 2],
    /// Requests of others on changed connections, of customers that are not bound, and those that failed.
    pub control_changed: [u32; 2],
}

/// The last windows of one kind of change, newest first.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct WindowRing {
    pub(super) windows: [Window; WINDOWS],
    /// The second in which each window started.
    pub(super) started_s: [u32; WINDOWS],
    pub(super) count: u8,
}

impl WindowRing {
    pub(super) fn add(
        &mut self,
        second: u32,
        changed: Tally,
        reused: Tally,
        control: &ControlSample,
    ) {
        let [newest, ..] = &self.windows;
        let [started_s, ..] = &self.started_s;
        let over = newest.changed.requests >= WINDOW_REQUESTS
            || second.saturating_sub(*started_s) >= WINDOW_S;
        if self.count == 0 || over {
            self.windows.rotate_right(1);
            self.started_s.rotate_right(1);
            self.windows[0] = Window::default();
            self.started_s[0] = second;
            self.count = (self.count + 1).min(WINDOWS as u8);
        }
        let newest = &mut self.windows[0];
        newest.changed.add(changed);
        newest.reused.add(reused);
        for (mine, more) in newest.control.iter_mut().zip(control.control) {
            *mine = mine.saturating_add(more);
        }
        for (mine, more) in newest.control_changed.iter_mut().zip(control.changed) {
            *mine = mine.saturating_add(more);
        }
    }

    pub(super) fn with_ages(&self, second: u32) -> Vec<(Window, u32)> {
        let oldest = WINDOW_S * WINDOWS as u32;
        let all = self
            .windows
            .iter()
            .zip(self.started_s)
            .take(usize::from(self.count));
        all.map(|(window, started_s)| (*window, second.saturating_sub(started_s)))
            .filter(|&(_, age)| age < oldest)
            .collect()
    }

    pub(super) fn changed(&self) -> u32 {
        self.windows
            .iter()
            .map(|window| u32::from(window.changed.requests))
            .sum()
    }
}

/// Counts of a control group.
pub(super) struct ControlSample {
    pub(super) control: [u32; 2],
    pub(super) changed: [u32; 2],
}
