//! CPU quota: a machine runs at full speed until its quota is spent, then stops for the rest of the period.

use super::Cluster;
use alderhollow_coordination::replica::interface::Millis;

/// Period of the quota in milliseconds. The periods of all machines start together, so that all stop together: the
/// worst case.
pub(crate) const PERIOD_MS: Millis = 100;

/// The part of its quota that a machine has used.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct QuotaUsage {
    period: Millis,
    inputs: u64,
}

impl Cluster {
    /// Limits each machine to this many inputs per period. Further inputs wait for the next period.
    pub(crate) fn set_cpu_quota(&mut self, inputs_per_period: u64) {
        self.inputs_per_period = Some(inputs_per_period.max(1));
    }

    /// Counts an input of a machine and stops the machine if its quota is spent. Its clock keeps running.
    pub(super) fn charge_input(&mut self, number: usize) {
        let Some(max_inputs) = self.inputs_per_period else {
            return;
        };
        let period = self.now / PERIOD_MS;
        let machine = &mut self.machines[number];
        if machine.quota_usage.period != period {
            machine.quota_usage = QuotaUsage { period, inputs: 0 };
        }
        machine.quota_usage.inputs += 1;
        if machine.quota_usage.inputs >= max_inputs {
            machine.frozen_until = machine.frozen_until.max((period + 1) * PERIOD_MS);
        }
    }
}
