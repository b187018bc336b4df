use super::*;

/// What becomes of a response that arrives in these pieces, with the end of its connection behind it.
fn check_pieces<'a>(
    method: &Method,
    pieces: impl IntoIterator<Item = &'a [u8]>,
) -> (Result<(), MalformedResponse>, ResponseCheck) {
    let mut check = ResponseCheck::default();
    check.on_request(method);
    let result = pieces
        .into_iter()
        .try_for_each(|piece| check.on_received(piece));
    (result, check)
}

/// The same for a response as a whole, cut in two at each place, and byte by byte: all have to come to the same.
fn check_response(
    method: &Method,
    response: &[u8],
) -> (Result<(), MalformedResponse>, ResponseCheck) {
    let (result, check) = check_pieces(method, [response]);
    for cut in 1..response.len() {
        let (first, second) = response.split_at(cut);
        let (in_two, _) = check_pieces(method, [first, second]);
        assert_eq!(in_two, result, "cut at {cut}: {response:?}");
    }
    let (by_byte, _) = check_pieces(method, response.chunks(1));
    assert_eq!(by_byte, result, "byte by byte: {response:?}");
    (result, check)
}

fn malformed(response: &[u8]) -> MalformedResponse {
    let (result, check) = check_response(&Method::POST, response);
    let text = String::from_utf8_lossy(response);
    let error = result.expect_err(&text);
    assert_eq!(check.malformed(), Some(error), "{text}");
    assert!(!check.is_clean(), "{text}");
    error
}

fn assert_complete(method: &Method, response: &[u8]) {
    let (result, check) = check_response(method, response);
    let text = String::from_utf8_lossy(response);
    assert_eq!(result, Ok(()), "{text}");
    assert!(check.has_begun() && check.is_clean(), "{text}");
}

#[test]
fn well_formed_responses_are_complete_at_their_end() {
    let responses: [&[u8]; 19] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-LENGTH:2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nContent-Length: \t 2 \r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 Gr\xfc\xdfe\r\nServer: caf\xc3\xa9 \xff\tb\r\nEmpty:\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTRANSFER-encoding: Chunked\r\n\r\n0002\r\nok\r\nA\r\n0123456789\r\n000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a;b=c ; d\t=\t\"e;\\\"\xff\"\r\nok\r\n0;last\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nDigest: x\r\nOther: y\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Busy\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 204 No Content\r\n\r\n",
        b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n",
        b"HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n",
    ];
    for response in responses {
        assert_complete(&Method::POST, response);
    }
}

#[test]
fn a_response_to_head_has_no_body() {
    for framing in ["Content-Length: 7", "Transfer-Encoding: chunked", "A: b"] {
        let response = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n");
        assert_complete(&Method::HEAD, response.as_bytes());
    }
}

#[test]
fn a_body_without_a_length_ends_with_its_connection() {
    let response = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nanything\n\r\0";
    let (result, check) = check_response(&Method::POST, response);
    assert_eq!(result, Ok(()));
    assert!(!check.is_clean());
}

/// Guards against a body whose chunk sizes count as a part of it, or that is decoded in part.
#[test]
fn a_transfer_encoding_other_than_chunked_is_malformed() {
    for value in [
        "chunkd",
        "xchunked",
        "gzip",
        "gzip, chunked",
        "chunked, gzip",
        "chunked, chunked",
        "chunked;q=1",
        "chunked,",
        "\"chunked\"",
        "identity",
        "",
    ] {
        let response =
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: {value}\r\n\r\n2\r\nok\r\n0\r\n\r\n");
        let found = malformed(response.as_bytes());
        assert_eq!(found, MalformedResponse::TransferEncoding, "{value}");
    }
    for head in [
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked",
    ] {
        let response = format!("{head}\r\n\r\n2\r\nok\r\n0\r\n\r\n");
        let found = malformed(response.as_bytes());
        assert_eq!(found, MalformedResponse::TransferEncoding, "{head}");
    }
}

#[test]
fn a_length_that_is_not_one_number_is_malformed() {
    for value in [
        "two",
        "+2",
        "-2",
        "0x2",
        "2 2",
        "2, 2",
        "2, 3",
        "2,",
        ", 2",
        "2\r\nContent-Length: 3",
        "",
        "99999999999999999999",
    ] {
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {value}\r\n\r\nok");
        let found = malformed(response.as_bytes());
        assert_eq!(found, MalformedResponse::ContentLength, "{value}");
    }
}

#[test]
fn two_framings_contradict_each_other() {
    for fields in [
        "Transfer-Encoding: chunked\r\nContent-Length: 2",
        "Content-Length: 12\r\nTransfer-Encoding: chunked",
    ] {
        let response = format!("HTTP/1.1 200 OK\r\n{fields}\r\n\r\n2\r\nok\r\n0\r\n\r\n");
        let found = malformed(response.as_bytes());
        assert_eq!(found, MalformedResponse::ConflictingLengths, "{fields}");
    }
}

#[test]
fn a_status_without_a_body_must_not_state_one() {
    for (status, framing) in [
        (204, "Content-Length: 2"),
        (204, "Transfer-Encoding: chunked"),
        (100, "Content-Length: 2"),
        (103, "Transfer-Encoding: chunked"),
    ] {
        let response = format!("HTTP/1.1 {status} No\r\n{framing}\r\n\r\n");
        let found = malformed(response.as_bytes());
        assert_eq!(found, MalformedResponse::UnexpectedBody(status));
    }
}

#[test]
fn a_status_outside_of_the_five_classes_is_malformed() {
    for status in ["000", "001", "099", "101", "600", "777", "999"] {
        let response = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 2\r\n\r\nok");
        let code = status.parse().expect("a number");
        assert_eq!(
            malformed(response.as_bytes()),
            MalformedResponse::Status(code)
        );
    }
}

#[test]
fn a_first_line_that_is_no_status_line_is_malformed() {
    for line in [
        "",
        "HTTP/1.1 2 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 2x0 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1 200 O\0K",
        "HTTP/2.0 200 OK",
        "HTTP/1.2 200 OK",
        "http/1.1 200 OK",
        "HTTP/1.1",
        " HTTP/1.1 200 OK",
        "GET / HTTP/1.1",
        "\r\nHTTP/1.1 200 OK",
    ] {
        let response = format!("{line}\r\nContent-Length: 2\r\n\r\nok");
        let found = malformed(response.as_bytes());
        assert_eq!(found, MalformedResponse::StatusLine, "{line:?}");
    }
}

#[test]
fn a_line_that_is_no_field_is_malformed() {
    let lines: [&[u8]; 13] = [
        b"no colon",
        b": no name",
        b" leading blank: x",
        b"\tfolded",
        b"blank before : x",
        b"in side: x",
        b"tab\tbed: x",
        b"control\x01byte: x",
        b"nul\0byte: x",
        b"delete\x7f: x",
        b"caf\xc3\xa9: x",
        b"quoted\"name: x",
        b"br(acket: x",
    ];
    for line in lines {
        for response in [
            [
                b"HTTP/1.1 200 OK\r\n",
                line,
                b"\r\nContent-Length: 2\r\n\r\nok",
            ]
            .concat(),
            [
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
                line,
                b"\r\n\r\nok",
            ]
            .concat(),
        ] {
            assert_eq!(malformed(&response), MalformedResponse::FieldName);
        }
    }
}

#[test]
fn a_control_byte_in_a_value_is_malformed() {
    for byte in (0..0x20_u8).chain([0x7f]) {
        if matches!(byte, b'\t' | b'\n' | b'\r') {
            continue;
        }
        let response = [
            b"HTTP/1.1 200 OK\r\nA: b",
            &[byte][..],
            b"c\r\nContent-Length: 2\r\n\r\nok",
        ];
        assert_eq!(
            malformed(&response.concat()),
            MalformedResponse::FieldValue,
            "{byte}"
        );
    }
}

/// A bare line feed may end a line for one reader and not for another, and so may a bare carriage return.
#[test]
fn a_line_that_does_not_end_with_both_bytes_is_malformed() {
    for response in [
        "HTTP/1.1 200 OK\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\nok",
        "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\n\r\n",
    ] {
        assert_eq!(malformed(response.as_bytes()), MalformedResponse::LineEnd);
    }
    let bare_return = b"HTTP/1.1 200 OK\r\nA: b\rc\r\nContent-Length: 2\r\n\r\nok";
    malformed(bare_return);
}

#[test]
fn a_chunk_that_does_not_match_its_line_is_malformed() {
    use MalformedResponse::{ChunkEnd, ChunkExtension, ChunkSize, LineEnd, Trailer};
    let bodies: [(&[u8], MalformedResponse); 19] = [
        (b"\r\nok\r\n", ChunkSize),
        (b"zz\r\nok\r\n", ChunkSize),
        (b"-2\r\nok\r\n", ChunkSize),
        (b"+2\r\nok\r\n", ChunkSize),
        (b" 2\r\nok\r\n", ChunkSize),
        (b"0x2\r\nok\r\n", ChunkExtension),
        (b"11111111111111111\r\nok\r\n", ChunkSize),
        (b"2 \r\nok\r\n", ChunkExtension),
        (b"2;\r\nok\r\n", ChunkExtension),
        (b"2;a=\r\nok\r\n", ChunkExtension),
        (b"2;a=\"b\r\nok\r\n", ChunkExtension),
        (b"2;a\x01\r\nok\r\n", ChunkExtension),
        (b"2\x0c;a\r\nok\r\n", ChunkExtension),
        (b"2;a=\"\0\"\r\nok\r\n", ChunkExtension),
        (b"2;a\r;b\r\nok\r\n", ChunkExtension),
        (b"2\r\nokay\r\n", ChunkEnd),
        (b"2\r\nok2\r\nok\r\n", ChunkEnd),
        (b"2\r\nok\n\n", LineEnd),
        (b"0\r\nno colon\r\n\r\n", Trailer),
    ];
    for (body, expected) in bodies {
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let response = [head, body].concat();
        let text = String::from_utf8_lossy(body);
        assert_eq!(malformed(&response), expected, "{text:?}");
    }
}

#[test]
fn the_size_of_each_part_is_limited() {
    let head = "HTTP/1.1 200 OK\r\n";
    let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
    let long = "x".repeat(MAX_HEAD_BYTES);
    let fields = "A: b\r\n".repeat(MAX_FIELDS + 1);
    for (response, expected) in [
        (format!("{head}A: {long}"), MalformedResponse::HeadTooLarge),
        (
            format!("{head}{fields}\r\n"),
            MalformedResponse::TooManyFields,
        ),
        (
            format!("{chunked}2;{long}"),
            MalformedResponse::ChunkExtension,
        ),
        (
            format!("{chunked}0\r\nA: {long}"),
            MalformedResponse::Trailer,
        ),
    ] {
        let (result, _) = check_pieces(&Method::POST, [response.as_bytes()]);
        assert_eq!(result, Err(expected));
    }
}

/// An interim response does not show that the peer has begun with the request.
#[test]
fn a_response_begins_with_the_first_byte_of_its_final_head() {
    let interim: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
    for (pieces, has_begun) in [
        (&[][..], false),
        (&[interim][..], false),
        (&[b"H".as_slice()][..], true),
        (&[interim, b"H".as_slice()][..], true),
    ] {
        let (result, check) = check_pieces(&Method::POST, pieces.iter().copied());
        assert_eq!((result, check.has_begun()), (Ok(()), has_begun));
    }
}

#[test]
fn bytes_after_a_response_leave_a_connection_that_carries_no_other_request() {
    let response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokay";
    let (result, mut check) = check_response(&Method::POST, response);
    assert_eq!(result, Ok(()));
    assert!(!check.is_clean());
    check.on_request(&Method::POST);
    assert_eq!(check.on_received(b"HTTP/1.1 204 No\r\n\r\n"), Ok(()));
    assert!(!check.is_clean());
}

#[test]
fn a_connection_carries_one_response_after_another() {
    let mut check = ResponseCheck::default();
    for response in [
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 204 No\r\n\r\n",
    ] {
        check.on_request(&Method::POST);
        assert!(!check.is_clean());
        assert_eq!(check.on_received(response.as_bytes()), Ok(()));
        assert!(check.is_clean(), "{response}");
    }
}
