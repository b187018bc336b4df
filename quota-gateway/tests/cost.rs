//! Allocations per event, and memory that remains in use after a burst.

mod common;

use allocation_counter::measure;
use common::{server, settings};
use quota_gateway::*;

fn request(id: RequestId, customer: CustomerId) -> Request {
    Request {
        id,
        customer,
        plan: 2,
        class: 0,
        units: 1.0,
        spread: 2,
        first: 0,
        expires_in: 4000.0,
        repeat: false,
    }
}

fn attempt_end(request: RequestId) -> Event {
    Event::AttemptEnd(AttemptEnd {
        request,
        attempt: 0,
        outcome: Outcome::Ok,
        elapsed: 50.0,
        finished: true,
        used: None,
        billed: None,
    })
}

/// One of 300 gateways, with 200 servers.
fn gateway(actions: &mut Vec<Action>) -> Gateway {
    let settings = Settings {
        gateways: 300,
        ..settings()
    };
    let mut gateway = Gateway::new(settings, 7, 0.0).expect("valid settings");
    let entries = (0..200).map(server).collect();
    gateway.handle(
        0.0,
        Event::Servers {
            kind: ListKind::Full,
            entries,
        },
        actions,
    );
    gateway
}

#[test]
fn a_request_takes_few_allocations_with_many_servers_and_customers() {
    let mut actions = Vec::new();
    let mut gateway = gateway(&mut actions);
    let (mut request_allocations, mut answer_allocations, mut answers) = (0, 0, 0);
    for id in 0..3000 {
        actions.clear();
        let now = id as f64 * 5.0;
        let event = Event::Request(request(id, id % 500));
        let count = measure(|| gateway.handle(now, event, &mut actions)).count_total;
        let sent = actions
            .iter()
            .any(|action| matches!(action, Action::Send { .. }));
        actions.clear();
        // State for customers and servers seen for the first time is allocated once; the warm-up is not counted.
        request_allocations += if id < 1000 { 0 } else { count };
        if sent {
            let count =
                measure(|| gateway.handle(now + 1.0, attempt_end(id), &mut actions)).count_total;
            answer_allocations += if id < 1000 { 0 } else { count };
            answers += u64::from(id >= 1000);
        }
    }
    assert!(answers > 1000, "only {answers} were sent on");
    // One allocation for the attempts of each request, and occasional growth of a map or queue.
    assert!(
        request_allocations <= 2000 * 3 / 2,
        "{request_allocations} allocations for 2000 requests"
    );
    assert!(
        answer_allocations <= answers / 4,
        "{answer_allocations} allocations for {answers} answers"
    );
}

#[test]
fn memory_of_a_burst_of_customers_is_freed() {
    let mut actions = Vec::with_capacity(64);
    let mut gateway = gateway(&mut actions);
    let mut burst_bytes = 0;
    let after = measure(|| {
        let burst = measure(|| {
            for id in 0..10_000 {
                gateway.handle(
                    id as f64 / 10.0,
                    Event::Request(request(id, id)),
                    &mut actions,
                );
                if actions
                    .iter()
                    .any(|action| matches!(action, Action::Send { .. }))
                {
                    gateway.handle(id as f64 / 10.0, attempt_end(id), &mut actions);
                }
                actions.clear();
            }
        });
        burst_bytes = burst.bytes_current;
        // One request long after the burst, when the buckets of all customers are full again.
        gateway.handle(1e6, Event::Request(request(20_000, 7)), &mut actions);
        gateway.handle(1e6, Event::ClientGone(20_000), &mut actions);
        actions.clear();
    });
    assert!(
        burst_bytes > 1_000_000,
        "the burst uses only {burst_bytes} bytes"
    );
    assert!(
        after.bytes_current < 50_000,
        "{} bytes of {burst_bytes} remain in use",
        after.bytes_current
    );
}
