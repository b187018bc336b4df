use super::*;
use crate::record::Pooling;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::thread;

#[test]
fn some_customers_of_each_plan_are_asked_for_in_turn_and_by_their_numbers() {
    let customer = |number, plan| Customer {
        number,
        plan,
        first: 0,
        spread: 1,
        rate: 1.0,
    };
    let all: Vec<Customer> = (0..10)
        .map(|number| customer(number, usize::from(number > 7)))
        .collect();
    assert_eq!(some_of(&all), [0, 1, 2, 8, 9]);

    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let staff = listener.local_addr().expect("an address");
    let door = thread::spawn(move || {
        let mut asked = Vec::new();
        for _ in 0..3 {
            let (mut stream, _) = listener.accept().expect("a call");
            let mut line = String::new();
            BufReader::new(&stream)
                .read_line(&mut line)
                .expect("a line");
            let id = line
                .trim_end()
                .strip_prefix("session ")
                .expect("that call")
                .to_string();
            let answer = format!(
                r#"{{"customer":"{id}","keeper":null,"pooling":"transaction","epoch":4,"version":2,"age_ms":7,"reports":[]}}"#
            );
            stream
                .write_all(format!("{answer}\nend\n").as_bytes())
                .expect("it listens");
            asked.push(id);
        }
        asked
    });
    let (recorder, entries) = Recorder::channel();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let polls = runtime.spawn(sessions(1, staff, recorder, vec![0xa, 0xb]));
    let told = runtime.block_on(async {
        tokio::task::spawn_blocking(move || [(); 3].map(|()| entries.recv()))
            .await
            .expect("three events")
    });
    polls.abort();
    let told = told.map(|entry| match entry.expect("an event").event {
        Event::Session {
            door: 1,
            customer,
            answer,
            ..
        } => (customer, answer.pooling, answer.epoch),
        other => panic!("{other:?}"),
    });
    assert_eq!(
        told,
        [0xb, 0xa, 0xb].map(|customer| (customer, Pooling::Transaction, 4))
    );
    let ids = ["000000000000000b", "000000000000000a", "000000000000000b"];
    assert_eq!(door.join().expect("all calls"), ids);
}

#[test]
fn answers_are_written_down_with_both_times_and_errors_are_not() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let staff = listener.local_addr().expect("an address");
    let good = r#"{"name":"n3","owner":"n3","epoch":9,"mine":true,"left_ms":70,"quiet_ms":0,"refused":2,"new":1}"#;
    let answers = [
        "error unknown call".to_string(),
        format!("{good}\nend"),
        "{}\nend".to_string(),
    ];
    let door = thread::spawn(move || {
        for answer in answers {
            let (mut stream, _) = listener.accept().expect("a call");
            let mut line = String::new();
            BufReader::new(&stream)
                .read_line(&mut line)
                .expect("a line");
            assert_eq!(line, "owner\n");
            stream
                .write_all(format!("{answer}\n").as_bytes())
                .expect("it listens");
        }
    });
    let (recorder, entries) = Recorder::channel();
    let last = LastOwner::default();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let polls = runtime.spawn(owner(3, staff, recorder, last.clone()));
    let told = runtime.block_on(async {
        tokio::task::spawn_blocking(move || [entries.recv(), entries.recv()])
            .await
            .expect("two events")
    });
    polls.abort();
    let [first, second] = told.map(|entry| entry.expect("an event"));
    let Event::Owner {
        door: 3,
        asked_us,
        answered_us,
        answer,
    } = first.event
    else {
        panic!("{first:?}");
    };
    assert!(asked_us < answered_us && answered_us == first.us);
    assert_eq!((answer.mine, answer.epoch, answer.left_ms), (true, 9, 70));
    assert!(
        matches!(second.event, Event::Call { door: 3, .. }),
        "what makes no sense is shown: {second:?}"
    );
    door.join().expect("all three calls");
    assert_eq!(last.door(), Some(3));
    last.tell(asked_us + 1, 4);
    last.tell(asked_us, 5);
    assert_eq!(last.door(), Some(4), "an older answer that came late");
}
