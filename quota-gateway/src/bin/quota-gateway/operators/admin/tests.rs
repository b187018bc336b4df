use super::*;

#[test]
fn only_whole_calls_are_calls() {
    for (line, call) in [
        (&b"status\r"[..], Call::Status),
        (b"maint-on s-1", Call::TakeOut("s-1")),
        (b" maint-off  s-1 ", Call::GiveBack("s-1")),
        (b"cost", Call::Cost),
        (b"fleet", Call::Cluster),
        (b"owner", Call::Owner),
        (b"shards", Call::Shards),
        (
            b"session 00000000b4d65521",
            Call::Session("00000000b4d65521"),
        ),
    ] {
        assert_eq!(parse(line).ok(), Some(call));
    }
    for (line, problem) in [
        (&b""[..], CallError::Empty),
        (b" \r", CallError::Empty),
        (b"STATUS", CallError::Unknown),
        (b"status now", CallError::TooManyWords),
        (b"cost all", CallError::TooManyWords),
        (b"fleet n1", CallError::TooManyWords),
        (b"owner n1", CallError::TooManyWords),
        (b"shards 8", CallError::TooManyWords),
        (b"session", CallError::NoCustomerId),
        (b"session a b", CallError::TooManyWords),
        (b"sessions", CallError::Unknown),
        (b"maint-on", CallError::NoBackendId),
        (b"maint-off a b", CallError::TooManyWords),
        (b"\xff\xfe", CallError::NotUtf8),
        (b"stat\0us", CallError::Unknown),
    ] {
        let found = parse(line).expect_err("it is no call");
        assert_eq!(found.to_string(), problem.to_string(), "{line:?}");
    }
}
