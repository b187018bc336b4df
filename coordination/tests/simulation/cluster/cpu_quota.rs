//! Processor time as a quota: full speed until it is spent, then nothing for the rest of the period.

use super::Cluster;
use alderhollow_coordination::replica::interface::Millis;

/// A period of the quota. All machines' periods begin together, so that all fall silent together: the worst case.
pub(crate) const PERIOD_MS: Millis = 100;

/// What a machine has spent of its quota.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct QuotaUsage {
    period: Millis,
    inputs: u64,
}

impl Cluster {
    /// From now on each machine handles so many inputs in a period. What comes beyond waits for the next one.
    pub(crate) fn set_cpu_quota(&mut self, inputs_per_period: u64) {
        self.inputs_per_period = Some(inputs_per_period.max(1));
    }

    /// A machine has handled an input. Its clock runs on while it stands still.
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
