//! Where one message ends and the next begins: start lines that are incomplete, and what follows a body.

use pulleystair_rtsp::{Message, ParseError, is_boundary_uncertain};

/// Guards against the rest of a body being taken for the beginning of a message.
#[test]
fn bytes_with_which_no_start_line_begins_are_rejected_before_the_line_ends() {
    for rest in
        ["101", "m=audio", "v", "RTP/AVP", "P 0 8 101", " ", "RTSP/1.1", "RTSP/1.0 2x", "RTSP/1.0 2000"]
    {
        let parsed = Message::parse(rest.as_bytes());
        assert!(matches!(parsed, Err(ParseError::InvalidStartLine(_))), "{rest:?}: {parsed:?}");
    }
}

#[test]
fn every_beginning_of_a_message_is_incomplete() {
    for start_line in
        ["RTSP/1.0 200 OK", "RTSP/1.0 453 Not Enough Bandwidth", "SET_PARAMETER rtsp://media/x RTSP/1.0"]
    {
        let text = format!("{start_line}\r\nSession: 0000000000000018\r\nContent-Length: 2\r\n\r\nab");
        for length in 0..text.len() {
            assert_eq!(Message::parse(&text.as_bytes()[..length]), Ok(None), "{:?}", &text[..length]);
        }
        assert!(matches!(Message::parse(text.as_bytes()), Ok(Some((_, length))) if length == text.len()));
    }
}

/// Guards against an answer that is used although what follows it may be the end of its body.
#[test]
fn a_boundary_is_uncertain_until_a_version_or_a_target_follows() {
    for (following, is_uncertain) in [
        ("", false),
        ("R", true),
        ("RTSP/1.0", true),
        ("RTSP/1.0 ", false),
        ("TEARDOWN ", true),
        ("TEARDOWN rtsp:/", true),
        ("TEARDOWN rtsp://", false),
    ] {
        assert_eq!(is_boundary_uncertain(following.as_bytes()), is_uncertain, "{following:?}");
    }
}
