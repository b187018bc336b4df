//! Codec of the simulator adapter: every record type and malformed input.

use quota_gateway::wire::{
    settings, Batch, Reply, WireError, WireEvent, ACTION_BYTES, EVENT_BYTES,
};
use quota_gateway::*;
use std::io::Write;
use std::process::{Command, Stdio};

/// Builder of an event record: code, instance, then fields at their byte offsets.
struct EventRecord([u8; EVENT_BYTES]);

impl EventRecord {
    fn new(code: u8, instance: u16) -> EventRecord {
        EventRecord([0; EVENT_BYTES])
            .put(0, &[code])
            .put(1, &instance.to_be_bytes())
    }

    fn put(mut self, at: usize, bytes: &[u8]) -> EventRecord {
        self.0[at..at + bytes.len()].copy_from_slice(bytes);
        self
    }
}

fn frame(clock: f64, records: &[EventRecord], tail: &[u8]) -> Vec<u8> {
    let mut body = (records.len() as u32).to_be_bytes().to_vec();
    records.iter().for_each(|record| body.extend(record.0));
    body.extend(tail);
    let mut frame = clock.to_be_bytes().to_vec();
    frame.extend((body.len() as u32).to_be_bytes());
    frame.extend(body);
    frame
}

fn read(bytes: &[u8]) -> Result<Batch, WireError> {
    Batch::read(&mut &bytes[..]).map(|batch| batch.expect("not at the end"))
}

fn decode(record: EventRecord, tail: &[u8]) -> Result<(u16, WireEvent), WireError> {
    read(&frame(1.5, &[record], tail))?.event(0)
}

fn event(record: EventRecord) -> Event {
    match decode(record, &[]) {
        Ok((3, WireEvent::Event(event))) => event,
        other => panic!("{other:?}"),
    }
}

fn params() -> String {
    let lines = "balancers=2 ordinal=1 zone=0 classes.count=2 classes.0.semantics=free classes.0.worth=3.0 \
        classes.0.slo=700.0 classes.0.deadline=3000.0 classes.0.lateShare=0.5 classes.1.semantics=guarded \
        classes.1.group=cell classes.1.dedupWindow=900.0 classes.1.worth=1.0 classes.1.slo=700.0 \
        classes.1.deadline=3000.0 classes.1.lateShare=0.0 plans.count=1 plans.0.unitsPerS=2.5 plans.0.storeSize=9.0 \
        plans.0.concurrency=0 plans.0.price=1.0 plans.0.excessWorth=0.0 plans.0.overrunCost=0.5 \
        plans.0.neverOverRate=0.0 plans.0.capDepth=0.0 plans.0.tolerance=0.0 familyInfo.mostUnits=1 \
        familyInfo.usePeriod=400.0 bounds.maxAttempts=3 bounds.mayDuplicate=true bounds.cancel=true \
        bounds.retryAfter=false rules.stopSendingWithin=800.0 rules.coldFrom=0.3 rules.cold=9000.0 \
        rules.tipMultiple=3.0 rules.fall=2500.0 tick=4.0 registryMode=pushed some.new.key=whatever";
    lines.split_whitespace().collect::<Vec<_>>().join("\n")
}

#[test]
fn settings_are_read_and_unknown_keys_ignored() {
    let read = settings(&params()).expect("readable");
    assert_eq!(
        (
            read.gateways,
            read.ordinal,
            read.max_attempts,
            read.may_duplicate
        ),
        (2, 1, 3, true)
    );
    assert_eq!(
        read.classes[1].effect,
        Effect::Deduplicated {
            scope: Scope::Cell,
            window: 900.0
        }
    );
    assert_eq!(
        (
            read.plans[0].rate,
            read.plans[0].burst,
            read.plans[0].over_cost
        ),
        (2.5, 9.0, 0.5)
    );
    assert_eq!(
        (read.meter_period, read.tip_after, read.max_retry_after),
        (400.0, 2500.0, 0.0)
    );
}

#[test]
fn a_missing_or_unreadable_setting_is_named_in_the_error() {
    for line in params().lines().filter(|line| !line.starts_with("some.")) {
        let key = line.split('=').next().expect("a key");
        let without: Vec<_> = params()
            .lines()
            .filter(|other| *other != line)
            .map(String::from)
            .collect();
        let error = settings(&without.join("\n")).expect_err(key).to_string();
        assert!(error.contains(key), "{key}: {error}");
        let malformed = params().replace(line, &format!("{key}=?"));
        let error = settings(&malformed).expect_err(key).to_string();
        assert!(error.contains(key), "{key}: {error}");
    }
    for (good, bad) in [
        ("unitsPerS=2.5", "unitsPerS=-1"),
        ("balancers=2", "balancers=0"),
        ("slo=700.0", "slo=NaN"),
    ] {
        assert!(settings(&params().replace(good, bad)).is_err(), "{bad}");
    }
}

#[test]
fn a_request_event_is_decoded() {
    let record = EventRecord::new(18, 3)
        .put(3, &77u64.to_be_bytes())
        .put(11, &2f32.to_be_bytes())
        .put(15, &1u32.to_be_bytes())
        .put(19, &12345u64.to_be_bytes())
        .put(27, &[6])
        .put(28, &1250.5f64.to_be_bytes())
        .put(36, &3f32.to_be_bytes())
        .put(40, &4u16.to_be_bytes())
        .put(42, &1.5f32.to_be_bytes());
    let request = Request {
        id: 77,
        customer: 12345,
        plan: 1,
        class: 4,
        units: 1.5,
        spread: 2,
        first: 3,
        expires_in: 1250.5,
        repeat: true,
    };
    assert_eq!(event(record), Event::Request(request));
}

#[test]
fn attempt_end_is_decoded_for_each_outcome() {
    let outcomes = [
        (100u16, Outcome::Ok, false),
        (301, Outcome::Error, false),
        (302, Outcome::Overloaded, true),
        (303, Outcome::TimedOut, false),
        (304, Outcome::NoConnection, true),
        (305, Outcome::Reset, false),
        (306, Outcome::Cancelled, false),
        (307, Outcome::NotSent, true),
    ];
    for (code, outcome, never_ran) in outcomes {
        for (wire, used) in [(0u16, None), (1, Some(0.0)), (251, Some(2.5))] {
            let record = EventRecord::new(16, 3)
                .put(3, &9u64.to_be_bytes())
                .put(11, &33.5f64.to_be_bytes())
                .put(19, &[1])
                .put(22, &wire.to_be_bytes())
                .put(24, &[2])
                .put(29, &code.to_be_bytes());
            let billed = (code == 100).then_some(3.0);
            let record = if billed.is_some() {
                record.put(20, &3u16.to_be_bytes())
            } else {
                record
            };
            let end = AttemptEnd {
                request: 9,
                attempt: 2,
                outcome,
                elapsed: 33.5,
                finished: true,
                used,
                billed,
            };
            assert_eq!(event(record), Event::AttemptEnd(end));
        }
        assert_eq!(outcome.never_ran(), never_ran);
    }
    assert!(decode(EventRecord::new(16, 3).put(29, &999u16.to_be_bytes()), &[]).is_err());
}

#[test]
fn server_lists_are_decoded() {
    let mut tail = vec![0xee];
    tail.extend(0x2c01u32.to_be_bytes());
    tail.extend(2u16.to_be_bytes());
    tail.push(0);
    tail.extend(7u16.to_be_bytes());
    tail.push(2);
    tail.extend(1.25f32.to_be_bytes());
    tail.extend(640.0f64.to_be_bytes());
    let list_event = |count: u32| {
        EventRecord::new(20, 3)
            .put(12, &1u32.to_be_bytes())
            .put(16, &count.to_be_bytes())
    };
    let entry = ServerEntry {
        id: 0x2c01,
        zone: 2,
        cell: 7,
        share: 1.25,
        lifecycle: Lifecycle::Draining,
        launched: Some(640.0),
    };
    let expected = WireEvent::Event(Event::Servers {
        kind: ListKind::Delta,
        entries: vec![entry],
    });
    assert_eq!(
        decode(list_event(1), &tail).expect("readable"),
        (3, expected)
    );
    assert!(
        decode(list_event(2), &tail).is_err(),
        "a list longer than the tail"
    );
    assert!(
        decode(list_event(u32::MAX), &tail).is_err(),
        "a list length of u32::MAX"
    );
    assert!(
        decode(list_event(1).put(3, &[9]), &tail).is_err(),
        "an unknown list kind"
    );
}

#[test]
fn the_other_events_are_decoded() {
    let id = 5u64.to_be_bytes();
    assert_eq!(event(EventRecord::new(17, 3).put(3, &id)), Event::Timer(5));
    assert_eq!(
        event(EventRecord::new(24, 3).put(3, &id)),
        Event::StreamStarted(5)
    );
    assert_eq!(
        event(EventRecord::new(26, 3).put(3, &id)),
        Event::ClientGone(5)
    );
    assert_eq!(
        decode(EventRecord::new(23, 3), &[]).expect("readable"),
        (3, WireEvent::InstanceKilled)
    );
    for code in [21, 22, 25] {
        assert_eq!(
            decode(EventRecord::new(code, 3), &[]).expect("readable"),
            (3, WireEvent::Unused)
        );
    }
    let text = params();
    let start_instance = EventRecord::new(19, 3)
        .put(3, &id)
        .put(15, &(text.len() as u32).to_be_bytes());
    let expected = WireEvent::InstanceStarted {
        seed: 5,
        settings: Box::new(settings(&text).expect("readable")),
    };
    assert_eq!(
        decode(start_instance, text.as_bytes()).expect("readable"),
        (3, expected)
    );
}

#[test]
fn malformed_frames_are_rejected_without_a_panic() {
    let valid = frame(1.0, &[EventRecord::new(17, 3)], &[]);
    for cut in 1..valid.len() {
        assert!(read(&valid[..cut]).is_err(), "cut after {cut} bytes");
    }
    assert!(Batch::read(&mut &[][..])
        .expect("the end of input is not an error")
        .is_none());
    let mut oversized = valid.clone();
    oversized[8..12].copy_from_slice(&u32::MAX.to_be_bytes());
    assert!(read(&oversized).is_err());
    let mut too_many_records = valid;
    too_many_records[12..16].copy_from_slice(&2u32.to_be_bytes());
    assert!(read(&too_many_records).is_err());
    assert!(read(&frame(f64::NAN, &[], &[])).is_err());
    assert!(decode(EventRecord::new(99, 3), &[])
        .expect_err("unknown")
        .to_string()
        .contains("99"));
    assert!(decode(
        EventRecord::new(18, 3).put(28, &f64::INFINITY.to_be_bytes()),
        &[]
    )
    .is_err());
}

#[test]
fn actions_are_encoded() {
    let mut reply = Reply::default();
    reply.push(
        3,
        &Action::Send {
            request: 9,
            server: 7,
            start_by: None,
            expire_at: Some(2.0),
            capped: false,
        },
    );
    reply.push(3, &Action::Timer { at: 4.0, token: 11 });
    reply.push(
        3,
        &Action::Refuse {
            request: 9,
            retry_after: 8.0,
        },
    );
    reply.push(3, &Action::Fail(9));
    reply.push(
        3,
        &Action::Cancel {
            request: 9,
            attempt: 1,
        },
    );
    reply.push(3, &Action::FollowServers);
    reply.push(3, &Action::Log("ab".into()));
    reply.report_failure(4, "cde");
    let bytes = reply.into_bytes();
    assert_eq!(bytes.len(), 8 + 8 * ACTION_BYTES + 5);
    assert_eq!(
        bytes[..8],
        [0, 0, 0, 8, 0, 0, 0, (8 * ACTION_BYTES + 5) as u8]
    );
    let record = |index: usize| &bytes[8 + index * ACTION_BYTES..8 + (index + 1) * ACTION_BYTES];
    let codes: Vec<_> = (0..8).map(|index| record(index)[0]).collect();
    assert_eq!(codes, [91, 82, 83, 88, 86, 81, 84, 92]);
    assert_eq!(record(0)[1..3], [0, 3]);
    assert_eq!(record(0)[3..11], 9u64.to_be_bytes());
    assert_eq!(record(0)[11..15], 7u32.to_be_bytes());
    assert_eq!(record(0)[15..23], 2f64.to_be_bytes());
    assert_eq!(record(1)[3..11], 4f64.to_be_bytes());
    assert_eq!(record(1)[11..19], 11u64.to_be_bytes());
    assert_eq!(record(2)[11..19], 8f64.to_be_bytes());
    assert_eq!(record(4)[11], 1);
    assert_eq!(record(5)[3], 1);
    assert_eq!(record(7)[3..11], [0, 0, 0, 2, 0, 0, 0, 3]);
    assert_eq!(&bytes[8 + 8 * ACTION_BYTES..], b"abcde");
}

/// Runs the adapter on `input`; returns whether it succeeded, its standard output and its standard error.
fn run_adapter(input: &[u8]) -> (bool, Vec<u8>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child
        .stdin
        .take()
        .expect("piped")
        .write_all(input)
        .expect("written");
    let output = child.wait_with_output().expect("the adapter exits");
    (
        output.status.success(),
        output.stdout,
        String::from_utf8_lossy(&output.stderr).into_owned(),
    )
}

#[test]
fn the_adapter_answers_each_batch_and_exits_at_end_of_input() {
    let mut input = frame(0.0, &[], &[]);
    let text = params();
    let start_instance = EventRecord::new(19, 3).put(15, &(text.len() as u32).to_be_bytes());
    input.extend(frame(
        1.0,
        &[start_instance, EventRecord::new(20, 3).put(3, &[2])],
        text.as_bytes(),
    ));
    let request_event = EventRecord::new(18, 3)
        .put(3, &1u64.to_be_bytes())
        .put(28, &500f64.to_be_bytes());
    input.extend(frame(
        2.0,
        &[request_event.put(42, &1f32.to_be_bytes())],
        &[],
    ));
    let (success, output, error) = run_adapter(&input);
    assert!(success && error.is_empty(), "{error}");
    assert_eq!(output[..16], [0; 16], "two batches without actions");
    // No server is listed: the reply holds a timer and a refusal.
    assert_eq!(
        (
            output[16 + 3],
            output[16 + 8],
            output[16 + 8 + ACTION_BYTES]
        ),
        (2, 82, 83)
    );
}

#[test]
fn the_adapter_reports_errors_and_exits_with_nonzero_status() {
    for (input, expected_text) in [
        (frame(0.0, &[], &[])[..7].to_vec(), "cut short"),
        (frame(0.0, &[EventRecord::new(99, 3)], &[]), "99"),
        (frame(0.0, &[EventRecord::new(17, 3)], &[]), "not running"),
        (frame(0.0, &[EventRecord::new(19, 3)], &[]), "classes.count"),
        (
            frame(0.0, &[EventRecord::new(19, 3).put(11, &[0xff; 8])], &[]),
            "outside a tail",
        ),
    ] {
        let (success, _, error) = run_adapter(&input);
        assert!(
            !success && error.contains(expected_text) && !error.contains("panicked"),
            "{expected_text}: {error}"
        );
    }
}
