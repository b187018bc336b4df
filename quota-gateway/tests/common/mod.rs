//! Test host that drives a gateway through its public interface and records the resulting actions.
#![allow(dead_code)]

use quota_gateway::*;

pub(crate) struct Host {
    pub gateway: Gateway,
    pub now: Millis,
    pub actions: Vec<Action>,
    next: RequestId,
}

pub(crate) fn settings() -> Settings {
    let class = |worth, effect| Class {
        worth,
        aim: 1000.0,
        deadline: 4000.0,
        late_share: 0.0,
        effect,
    };
    Settings {
        gateways: 2,
        classes: vec![
            class(3.0, Effect::Idempotent),
            class(1.0, Effect::NonIdempotent),
            class(
                2.0,
                Effect::Deduplicated {
                    scope: Scope::Zone,
                    window: 1500.0,
                },
            ),
        ],
        plans: vec![
            Plan {
                rate: 10.0,
                burst: 20.0,
                price: 1.0,
                over_cost: 1.0,
                ..Plan::default()
            },
            Plan {
                rate: 10.0,
                burst: 20.0,
                price: 1.0,
                ceiling_rate: 20.0,
                ceiling_burst: 40.0,
                ceiling_slack: 4.0,
                ..Plan::default()
            },
            Plan {
                rate: 1000.0,
                burst: 2000.0,
                price: 1.0,
                open: 2,
                ..Plan::default()
            },
            Plan {
                price: 1.0,
                ..Plan::default()
            },
        ],
        meter_period: 500.0,
        max_attempts: 4,
        may_cancel: true,
        max_retry_after: 500.0,
        drain_grace: 500.0,
        cold_from: 0.25,
        cold_for: 10_000.0,
        tip_multiple: 2.0,
        tip_after: 3000.0,
        tick: 4.0,
        ..Settings::default()
    }
}

pub(crate) fn server(id: ServerId) -> ServerEntry {
    ServerEntry {
        id,
        zone: 0,
        cell: 0,
        share: 1.0,
        lifecycle: Lifecycle::Ready,
        launched: None,
    }
}

impl Host {
    pub(crate) fn new(settings: Settings, servers: &[ServerEntry]) -> Host {
        Host::with_seed(settings, servers, 7)
    }

    pub(crate) fn with_seed(settings: Settings, servers: &[ServerEntry], seed: u64) -> Host {
        let gateway = Gateway::new(settings, seed, 0.0).expect("valid settings");
        let mut host = Host {
            gateway,
            now: 0.0,
            actions: Vec::new(),
            next: 1,
        };
        host.event(Event::Servers {
            kind: ListKind::Full,
            entries: servers.to_vec(),
        });
        host
    }

    /// Passes one event to the gateway and returns the resulting actions.
    pub(crate) fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        self.actions.extend(actions.iter().cloned());
        actions
    }

    pub(crate) fn submit(
        &mut self,
        customer: CustomerId,
        plan: usize,
        class: usize,
    ) -> (RequestId, Vec<Action>) {
        let id = self.next;
        self.next += 1;
        (id, self.request(customer, plan, class, 4000.0, false, id))
    }

    /// Submits a client's retry that expires in `expires_in`.
    pub(crate) fn submit_retry(
        &mut self,
        customer: CustomerId,
        class: usize,
        expires_in: Millis,
    ) -> Vec<Action> {
        let id = self.next;
        self.next += 1;
        self.request(customer, 0, class, expires_in, true, id)
    }

    fn request(
        &mut self,
        customer: CustomerId,
        plan: usize,
        class: usize,
        expires_in: Millis,
        repeat: bool,
        id: RequestId,
    ) -> Vec<Action> {
        let request = Request {
            id,
            customer,
            plan,
            class,
            units: 1.0,
            spread: 2,
            first: 0,
            expires_in,
            repeat,
        };
        self.event(Event::Request(request))
    }

    pub(crate) fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: u8,
        outcome: Outcome,
        used: Option<f64>,
    ) -> Vec<Action> {
        let finished = outcome == Outcome::Ok;
        self.event(Event::AttemptEnd(AttemptEnd {
            request,
            attempt,
            outcome,
            elapsed: 50.0,
            finished,
            used,
            billed: None,
        }))
    }

    /// Fires all timers due by `until` in order of their due times, then advances the clock to `until`.
    pub(crate) fn run_timers(&mut self, until: Millis) -> Vec<Action> {
        let mut all = Vec::new();
        loop {
            let due = self
                .actions
                .iter()
                .enumerate()
                .filter_map(|(i, action)| match action {
                    Action::Timer { at, token } if *at <= until => Some((i, *at, *token)),
                    _ => None,
                })
                .min_by(|a, b| a.1.total_cmp(&b.1));
            let Some((index, at, token)) = due else { break };
            self.actions.remove(index);
            self.now = self.now.max(at);
            all.extend(self.event(Event::Timer(token)));
        }
        self.now = self.now.max(until);
        all
    }
}

pub(crate) fn send_targets(actions: &[Action]) -> Vec<ServerId> {
    let target = |action: &Action| match action {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    };
    actions.iter().filter_map(target).collect()
}

pub(crate) fn refused(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Refuse { .. }))
}

pub(crate) fn failed(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Fail(_)))
}
