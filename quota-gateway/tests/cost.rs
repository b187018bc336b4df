//! What the module costs, counted: allocations for each event, and what stays when a burst is over.

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

fn ended(request: RequestId) -> Event {
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

/// One of 300 gateways before 200 servers.
fn gateway(actions: &mut Vec<Action>) -> Gateway {
    let settings = Settings {
        gateways: 300,
        ..settings()
    };
    let mut gateway = Gateway::new(settings, 7, 0.0).expect("the settings make sense");
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
fn a_request_takes_few_allocations_however_many_servers_and_customers_there_are() {
    let mut actions = Vec::new();
    let mut gateway = gateway(&mut actions);
    let (mut asked, mut answered, mut answers) = (0, 0, 0);
    for id in 0..3000 {
        actions.clear();
        let now = id as f64 * 5.0;
        let event = Event::Request(request(id, id % 500));
        let count = measure(|| gateway.handle(now, event, &mut actions)).count_total;
        let sent = actions
            .iter()
            .any(|action| matches!(action, Action::Send { .. }));
        actions.clear();
        // What is learned of the customers and the servers for the first time takes room once.
        asked += if id < 1000 { 0 } else { count };
        if sent {
            let count = measure(|| gateway.handle(now + 1.0, ended(id), &mut actions)).count_total;
            answered += if id < 1000 { 0 } else { count };
            answers += u64::from(id >= 1000);
        }
    }
    assert!(answers > 1000, "only {answers} were sent on");
    // One for the attempts of each, and now and then a map's or a queue's.
    assert!(
        asked <= 2000 * 3 / 2,
        "{asked} allocations for 2000 requests"
    );
    assert!(
        answered <= answers / 4,
        "{answered} allocations for {answers} answers"
    );
}

#[test]
fn the_memory_of_a_burst_of_customers_comes_back() {
    let mut actions = Vec::with_capacity(64);
    let mut gateway = gateway(&mut actions);
    let mut during = 0;
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
                    gateway.handle(id as f64 / 10.0, ended(id), &mut actions);
                }
                actions.clear();
            }
        });
        during = burst.bytes_current;
        // Long after, one request of one customer: its stores, and those of all others, are full.
        gateway.handle(1e6, Event::Request(request(20_000, 7)), &mut actions);
        gateway.handle(1e6, Event::ClientGone(20_000), &mut actions);
        actions.clear();
    });
    assert!(during > 1_000_000, "the burst takes {during} bytes");
    assert!(
        after.bytes_current < 50_000,
        "{} bytes of {during} stay",
        after.bytes_current
    );
}
