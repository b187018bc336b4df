//! Responses of backends that form no well-formed response. Nothing of one may reach a client or count as evidence, and
//! its connection must not be used again; well-formed responses of unusual shape are forwarded.

mod support;

use std::time::Duration;
use support::backend::*;
use support::client::{ask, Client, Reply};
use support::gateway::*;
use support::run;

/// The fields that make a response one of the backend to this request.
const IDENTITY: &str = "Request-Id: {id}\r\nResponse-Seal: s1\r\n";
/// Time for the gateway to handle what was written before.
const PAUSE: Duration = Duration::from_millis(100);
const CHUNKED_BODY: &str = "4\r\nokay\r\n0\r\n\r\n";

/// Responses that are damaged where they tell the length of the body, or that hold a line that is no field, with the
/// status that `{status}` stands for.
fn damaged() -> Vec<String> {
    let chunked = |fields: &str| {
        format!("HTTP/1.1 {{status}} Said\r\n{IDENTITY}{fields}\r\n\r\n{CHUNKED_BODY}")
    };
    let sized =
        |fields: &str| format!("HTTP/1.1 {{status}} Said\r\n{IDENTITY}{fields}\r\n\r\nokay");
    vec![
        chunked("Transfer-Encoding: chunkd"),
        chunked("Transfer-Encoding: gzip, chunked"),
        chunked("Transfer-Encoding: chunked, chunked"),
        chunked("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"),
        chunked("Transfer-Encoding: chunked;q=1"),
        chunked("Transfer-Encoding:"),
        chunked("Transfer-Encoding: chunked\r\nContent-Length: 4"),
        sized("Content-Length: four"),
        sized("Content-Length: +4"),
        sized("Content-Length: 4, 4"),
        sized("Content-Length: 4\r\nContent-Length: 5"),
        sized("Content-Length:"),
        sized("no field\r\nContent-Length: 4"),
        sized("Content-Length: 4\r\n: no name"),
        sized("Content-Length: 4\r\n folded"),
        sized("A: b\nContent-Length: 4"),
    ]
}

/// Responses with a status that is none.
fn without_status() -> Vec<String> {
    let statuses = ["000", "099", "101", "600", "999"];
    let response =
        |status| format!("HTTP/1.1 {status} Said\r\n{IDENTITY}Content-Length: 4\r\n\r\nokay");
    statuses.into_iter().map(response).collect()
}

/// Responses with a blank or a control byte in the name of a field.
fn with_damaged_names() -> Vec<String> {
    let names = [
        "Content Length",
        "Content-Length ",
        "Con\ttent-Length",
        "Content\u{1}-Length",
        "Content-Length\u{0}",
        "X\u{7f}",
    ];
    let response = |name| {
        format!("HTTP/1.1 {{status}} Said\r\n{IDENTITY}{name}: 4\r\nContent-Length: 4\r\n\r\nokay")
    };
    names.into_iter().map(response).collect()
}

fn all_with_status(status: &str) -> Vec<String> {
    let all = [damaged(), without_status(), with_damaged_names()].concat();
    let with_status = |response: String| response.replace("{status}", status);
    all.into_iter().map(with_status).collect()
}

/// Writes a response and closes the connection.
fn close_after(response: &str) -> Vec<Step> {
    vec![Step::Write(response.into()), Step::Close]
}

/// The reply through a gateway over three backends that follow these scripts, and the backends that were asked.
async fn ask_with_scripts(path: &str, scripts: Vec<Vec<Step>>) -> (Reply, Vec<String>) {
    let gateway = Gateway::start(3).await;
    for script in scripts {
        gateway.backends.script(script);
    }
    let reply = ask(gateway.address, &request(path, "", "x")).await;
    let seen = gateway.backends.seen();
    (reply, seen.into_iter().map(|seen| seen.backend).collect())
}

async fn assert_retried_elsewhere(response: &str) {
    let scripts = vec![close_after(response), served("good")];
    let (reply, asked) = ask_with_scripts("/often/1", scripts).await;
    assert_eq!(
        (reply.status, reply.body.as_str()),
        (200, "good"),
        "{response:?}"
    );
    assert_eq!(asked.len(), 2, "{response:?}");
    assert_ne!(asked[0], asked[1], "{response:?}");
}

/// What a client gets of a request that cannot be repeated further: an error that promises nothing.
fn assert_no_promise(reply: &Reply, response: &str) {
    assert_eq!(
        (reply.status, reply.body.as_str()),
        (502, ""),
        "{response:?}"
    );
    assert_eq!(reply.header("response-seal"), None, "{response:?}");
}

#[test]
fn a_response_that_is_damaged_in_its_framing_or_fields_is_retried_elsewhere() {
    run(async {
        for status in ["200", "500"] {
            for response in damaged() {
                assert_retried_elsewhere(&response.replace("{status}", status)).await;
            }
        }
    });
}

#[test]
fn a_response_without_a_valid_status_is_retried_elsewhere() {
    run(async {
        for response in without_status() {
            assert_retried_elsewhere(&response).await;
        }
    });
}

#[test]
fn a_response_with_a_damaged_field_name_is_retried_elsewhere() {
    run(async {
        for response in with_damaged_names() {
            assert_retried_elsewhere(&response.replace("{status}", "200")).await;
        }
    });
}

#[test]
fn a_malformed_response_from_each_backend_gets_502_without_a_seal() {
    run(async {
        for response in all_with_status("200") {
            let scripts = vec![close_after(&response); 2];
            let (reply, asked) = ask_with_scripts("/often/1", scripts).await;
            assert_no_promise(&reply, &response);
            assert_eq!(asked.len(), 2, "max-attempts: {response:?}");
        }
    });
}

#[test]
fn a_non_idempotent_request_with_a_malformed_response_is_not_sent_again() {
    run(async {
        for response in all_with_status("200") {
            let (reply, asked) =
                ask_with_scripts("/once/1", vec![close_after(&response), served("good")]).await;
            assert_no_promise(&reply, &response);
            assert_eq!(asked.len(), 1, "{response:?}");
        }
    });
}

/// Guards against a request that runs twice: a malformed decline is no evidence that the first backend has not run it.
#[test]
fn a_malformed_decline_does_not_show_that_a_request_has_not_run() {
    run(async {
        for status in ["503", "429", "421"] {
            for response in all_with_status(status) {
                let response = response.replace("Response-Seal: s1", "Not-Executed: 1");
                let scripts = vec![close_after(&response), served("good")];
                let (reply, asked) = ask_with_scripts("/once/1", scripts).await;
                assert_no_promise(&reply, &response);
                assert_eq!(asked.len(), 1, "{response:?}");
            }
        }
    });
}

/// Guards against the rest of a malformed response being read as the response to another request.
#[test]
fn the_connection_of_a_malformed_response_is_closed_at_once() {
    run(async {
        for response in all_with_status("200") {
            let gateway = Gateway::start(1).await;
            let backends = &gateway.backends;
            backends.script(vec![Step::Write(response.clone()), Step::Hang]);
            let reply = ask(gateway.address, &request("/once/1", "", "x")).await;
            assert_no_promise(&reply, &response);
            tokio::time::sleep(PAUSE).await;
            assert_eq!(backends.left.get(), 1, "{response:?}");
            assert_eq!(backends.accepted.get(), 1, "{response:?}");
        }
    });
}

/// A stream of three events, then a damaged part.
fn damaged_stream(part: &str) -> Vec<Step> {
    let mut steps = vec![stream_head("from 1")];
    steps.extend((1..=3).map(|id| chunk(&event(id))));
    steps.push(Step::Pause(PAUSE));
    steps.push(Step::Write(part.into()));
    steps.push(Step::Close);
    steps
}

const DAMAGED_CHUNKS: [&str; 5] = [
    "5;a\u{1}\r\nid: 4\r\n0\r\n\r\n",
    "zz\r\nid: 4\ndata: x\n\n\r\n0\r\n\r\n",
    "5\r\nid: 4\ndata: x\n\n\r\n0\r\n\r\n",
    "5\nid: 4\r\n0\r\n\r\n",
    "0\r\nno field\r\n\r\n",
];

#[test]
fn a_stream_with_a_damaged_chunk_resumes_at_another_backend() {
    run(async {
        for damaged_chunk in DAMAGED_CHUNKS {
            let mut rest = vec![stream_head("from 4")];
            rest.extend((4..=6).map(|id| chunk(&event(id))));
            rest.push(last_chunk());
            let (reply, asked) =
                ask_with_scripts("/tokens/1", vec![damaged_stream(damaged_chunk), rest]).await;
            assert_eq!((reply.status, reply.whole), (200, true));
            assert_eq!(reply.body, events(1..=6), "{damaged_chunk:?}");
            assert_eq!(reply.header("response-seal").as_deref(), Some("from 1"));
            assert_ne!(asked[0], asked[1]);
        }
    });
}

#[test]
fn a_stream_that_cannot_resume_ends_incomplete_at_a_damaged_chunk() {
    run(async {
        for damaged_chunk in DAMAGED_CHUNKS {
            let (reply, asked) =
                ask_with_scripts("/talk/1", vec![damaged_stream(damaged_chunk)]).await;
            assert_eq!(
                (reply.status, reply.whole),
                (200, false),
                "{damaged_chunk:?}"
            );
            assert!(events(1..=3).starts_with(&reply.body), "{}", reply.body);
            assert_eq!(asked.len(), 1);
        }
    });
}

/// A stream whose head is damaged, with the chunks of three events.
fn stream_with_damaged_head(response: &str) -> Vec<Step> {
    let (head, _) = response.split_once("\r\n\r\n").expect("a head");
    let mut steps = vec![Step::Write(format!(
        "{head}\r\nContent-Type: text/event-stream\r\n\r\n"
    ))];
    steps.extend((1..=3).map(|id| chunk(&event(id))));
    steps.push(last_chunk());
    steps.push(Step::Close);
    steps
}

#[test]
fn a_resumable_stream_with_a_malformed_head_is_retried_elsewhere() {
    run(async {
        for response in all_with_status("200") {
            let mut good = vec![stream_head("good")];
            good.extend([chunk(&events(1..=3)), last_chunk()]);
            let scripts = vec![stream_with_damaged_head(&response), good];
            let (reply, asked) = ask_with_scripts("/tokens/1", scripts).await;
            assert_eq!((reply.status, reply.whole), (200, true), "{response:?}");
            assert_eq!(reply.body, events(1..=3), "{response:?}");
            assert_eq!(reply.header("response-seal").as_deref(), Some("good"));
            assert_eq!(asked.len(), 2);
        }
    });
}

#[test]
fn a_stream_with_a_malformed_head_that_cannot_resume_gets_502_without_a_seal() {
    run(async {
        for response in all_with_status("200") {
            let scripts = vec![stream_with_damaged_head(&response)];
            let (reply, asked) = ask_with_scripts("/talk/1", scripts).await;
            assert_no_promise(&reply, &response);
            assert_eq!(asked.len(), 1);
        }
    });
}

/// Guards against the head or the chunk sizes of a second backend within one response.
#[test]
fn a_stream_that_resumes_with_a_malformed_response_ends_incomplete() {
    run(async {
        for response in all_with_status("200") {
            let mut interrupted = vec![stream_head("from 1")];
            interrupted.extend((1..=3).map(|id| chunk(&event(id))));
            interrupted.push(Step::Close);
            let scripts = vec![interrupted, stream_with_damaged_head(&response)];
            let (reply, _) = ask_with_scripts("/tokens/1", scripts).await;
            assert_eq!((reply.status, reply.whole), (200, false), "{response:?}");
            assert_eq!(reply.body, events(1..=3), "{response:?}");
        }
    });
}

/// The head that a client gets may be damaged only where its backend's was: a blank line in the middle of a head makes
/// fields a part of a body without a length, whose end cannot be told from a truncation.
#[test]
fn a_response_whose_head_ends_too_early_is_not_forwarded() {
    run(async {
        for response in [
            "HTTP/1.1 200 Said\r\nRequest-Id: {id}\r\nResponse-Seal: s1\r\n\r\nContent-Length: 4\r\n\r\nokay",
            "HTTP/1.1 200 Said\r\nRequest-Id: {id}\r\nResponse-Seal: s1\r\nConnection: close\r\n\r\n\
             Transfer-Encoding: chunked\r\n\r\n4\r\nokay\r\n0\r\n\r\n",
        ] {
            assert_retried_elsewhere(response).await;
            let scripts = vec![close_after(response)];
            let (reply, _) = ask_with_scripts("/once/1", scripts).await;
            assert_no_promise(&reply, response);
        }
    });
}

/// Well-formed responses with the body `okay`, of shapes that are rare.
fn unusual() -> Vec<String> {
    let sized = |line: &str, fields: &str| format!("{line}\r\n{IDENTITY}{fields}\r\n\r\nokay");
    let chunked =
        |fields: &str, body: &str| format!("HTTP/1.1 200 OK\r\n{IDENTITY}{fields}\r\n\r\n{body}");
    vec![
        sized("HTTP/1.1 200", "Content-Length: 4"),
        sized("HTTP/1.1 200 ", "content-length:4"),
        sized("HTTP/1.1 200 Gr\u{fc}n", "CONTENT-LENGTH: \t 4 \t"),
        sized("HTTP/1.1 200 OK", "Content-Length: 4\r\nContent-Length: 4"),
        sized("HTTP/1.1 200 OK", "Server: caf\u{e9}\r\nContent-Length: 4"),
        sized("HTTP/1.0 200 OK", "Content-Length: 4"),
        sized(
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK",
            "Content-Length: 4",
        ),
        sized(
            "HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Busy\r\n\r\nHTTP/1.1 200 OK",
            "Content-Length: 4",
        ),
        chunked("Transfer-Encoding: Chunked", CHUNKED_BODY),
        chunked(
            "transfer-encoding:\tCHUNKED ",
            "2;a=\"b\"\r\nok\r\n002\r\nay\r\n00;c\r\n\r\n",
        ),
        chunked(
            "Transfer-Encoding: chunked",
            "4\r\nokay\r\n0\r\nDigest: x\r\n\r\n",
        ),
    ]
}

#[test]
fn well_formed_responses_of_unusual_shape_are_forwarded() {
    run(async {
        for response in unusual() {
            let in_pieces = response.replace("{id}", "r1");
            let pieces = in_pieces.chars().map(|piece| Step::Write(piece.into()));
            for script in [vec![Step::Write(response.clone())], pieces.collect()] {
                let (reply, asked) = ask_with_scripts("/once/1", vec![script]).await;
                assert_eq!(
                    (reply.status, reply.body.as_str(), reply.whole),
                    (200, "okay", true),
                    "{response:?}"
                );
                assert_eq!(reply.header("response-seal").as_deref(), Some("s1"));
                assert_eq!(asked.len(), 1);
            }
        }
    });
}

#[test]
fn the_connection_of_a_well_formed_response_is_used_again() {
    run(async {
        for response in unusual() {
            if response.contains("HTTP/1.0") {
                continue;
            }
            let gateway = Gateway::start(1).await;
            for _ in 0..2 {
                gateway.backends.script(vec![Step::Write(response.clone())]);
                let reply = ask(gateway.address, &request("/often/1", "", "x")).await;
                assert_eq!(reply.body, "okay");
                tokio::time::sleep(PAUSE).await;
            }
            assert_eq!(gateway.backends.accepted.get(), 1, "{response:?}");
        }
    });
}

#[test]
fn a_response_without_a_body_keeps_its_length() {
    run(async {
        let gateway = Gateway::start(1).await;
        let head = format!("HTTP/1.1 200 OK\r\n{IDENTITY}Content-Length: 4\r\n\r\n");
        gateway.backends.script(vec![Step::Write(head)]);
        let mut client = Client::connect(gateway.address).await;
        let request = request("/often/1", "", "").replace("POST", "HEAD");
        client.write(&request).await;
        client.read_until("\r\n\r\n").await;
        client.read_until("content-length: 4").await;
    });
}
