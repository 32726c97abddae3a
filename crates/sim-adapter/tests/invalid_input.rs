//! Truncated and malformed input to the adapter: complete frames before the error are answered, and the error names its place.

use std::io::Write;
use std::process::{Command, Output, Stdio};
use test_case::test_case;

const TAPE: &[u8] = include_bytes!("tape.bin");

/// The first frames of the recording, each with its reply, both with their length prefix.
fn frames_with_replies(count: usize) -> Vec<(Vec<u8>, Vec<u8>)> {
    let mut rest = TAPE;
    let mut next_part = || {
        let size = u32::from_le_bytes(*rest.first_chunk().expect("a length")) as usize;
        let (frame, after) = rest.split_at(4 + size);
        rest = after;
        frame.to_vec()
    };
    (0..count).map(|_| (next_part(), next_part())).collect()
}

/// Runs the adapter on this input until it ends.
fn run_adapter(input: &[u8]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pulleystair-drill"));
    let mut adapter = command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    adapter.stdin.take().expect("input is piped").write_all(input).expect("the input is read");
    adapter.wait_with_output().expect("the adapter ends with its input")
}

#[test]
fn input_that_ends_within_a_frame_is_an_error_and_earlier_frames_are_answered() {
    let frames = frames_with_replies(3);
    let input: Vec<u8> = frames.iter().flat_map(|pair| pair.0.clone()).collect();
    let replies: Vec<u8> = frames.iter().flat_map(|pair| pair.1.clone()).collect();
    let output = run_adapter(&input);
    assert!(output.status.success() && output.stdout == replies);
    let last_frame = [&5u32.to_le_bytes()[..], b"12345"].concat();
    for length in 1..last_frame.len() {
        let output = run_adapter(&[&input, &last_frame[..length]].concat());
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && output.stdout == replies,
            "truncated after {length} bytes: {errors}"
        );
        assert!(
            errors.contains("input ends after") && !errors.contains("panicked"),
            "truncated after {length} bytes: {errors}"
        );
    }
}

/// A frame with this body.
fn encode_frame(body: &[u8]) -> Vec<u8> {
    [&(body.len() as u32).to_le_bytes()[..], body].concat()
}

/// A batch at time 0 with one record.
fn encode_record(code: u8, fields: &[u8]) -> Vec<u8> {
    let header = [&[0; 8][..], &[code], &(fields.len() as u32).to_le_bytes()].concat();
    [header, fields.to_vec()].concat()
}

#[test_case(&[0; 3], "ends within its timestamp"; "no timestamp")]
#[test_case(&[0, 0, 0, 0, 0, 0, 0, 0, 18, 9], "ends within its header"; "half a record's header")]
#[test_case(&[0, 0, 0, 0, 0, 0, 0, 0, 18, 9, 0, 0, 0, 1], "claims 9 bytes, 1 are left"; "half a record")]
#[test_case(&encode_record(16, &[1, 0]), "ENLIST at byte 8 of the batch: wants 4 more bytes"; "half a field")]
#[test_case(&encode_record(28, &[1, 9, 0, 0, 0, 7]), "CENSUS at byte 8"; "a table of nine entries with half of one")]
fn a_malformed_batch_is_an_error_with_its_place(body: &[u8], expected: &str) {
    let output = run_adapter(&encode_frame(body));
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success() && output.stdout.is_empty(), "{errors}");
    assert!(errors.contains(expected) && !errors.contains("panicked"), "{errors}");
}

#[test]
fn an_instance_with_invalid_settings_fails_alone_and_reports_the_cause() {
    let enlist = |instance_id: u32, settings: &[u8]| {
        let fields = [
            &instance_id.to_le_bytes()[..],
            &7u64.to_le_bytes(),
            &(settings.len() as u32).to_le_bytes(),
            settings,
        ]
        .concat();
        encode_record(16, &fields)
    };
    let invalid = enlist(1, b"[1]");
    let output = run_adapter(&[encode_frame(&invalid), encode_frame(&enlist(2, b"{}"))].concat());
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        output.status.success()
            && errors.contains("instance 1: ENLIST")
            && errors.contains("not a JSON object"),
        "{errors}"
    );
    assert_eq!(output.stdout[4], 19, "the reply reports to the simulator that the instance has failed");
}

#[test]
fn a_request_with_impossible_numbers_is_answered() {
    // A request for a title whose first cell is infinite, after the recording's settings and list.
    let mut input: Vec<u8> = frames_with_replies(60).iter().flat_map(|f| f.0.clone()).collect();
    let f = |x: f32| x.to_le_bytes();
    let fields: [&[u8]; 12] = [
        &3u32.to_le_bytes(),
        &77_777u64.to_le_bytes(),
        &f(3.0),
        &[0; 8],
        &[0],
        &f(f32::INFINITY),
        &[0; 4],
        &5u64.to_le_bytes(),
        &2_500_000u32.to_le_bytes(),
        &f(f32::INFINITY),
        &[0; 4],
        &[0, 0],
    ];
    let fields = fields.concat();
    let clock = (1_000_000_000u64 + 60 * 50_000).to_le_bytes();
    let body = [&clock[..], &[18], &(fields.len() as u32).to_le_bytes(), &fields].concat();
    input.extend(encode_frame(&body));
    let output = run_adapter(&input);
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success() && errors.is_empty(), "{errors}");
}
