//! The adapter cut off in the middle: what was whole is answered whole, and the rest is an error with its place.

use std::io::Write;
use std::process::{Command, Output, Stdio};
use test_case::test_case;

const TAPE: &[u8] = include_bytes!("tape.bin");

/// The first frames of the tape, each with its reply, length and all.
fn frames(count: usize) -> Vec<(Vec<u8>, Vec<u8>)> {
    let mut rest = TAPE;
    let mut part = || {
        let size = u32::from_le_bytes(*rest.first_chunk().expect("a length")) as usize;
        let (whole, after) = rest.split_at(4 + size);
        rest = after;
        whole.to_vec()
    };
    (0..count).map(|_| (part(), part())).collect()
}

fn run(input: &[u8]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pulleystair-drill"));
    let mut adapter = command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    adapter.stdin.take().expect("input is piped").write_all(input).expect("it is taken");
    adapter.wait_with_output().expect("the adapter ends with its input")
}

#[test]
fn input_that_ends_within_a_frame_is_an_error_and_what_came_before_is_answered() {
    let frames = frames(3);
    let whole: Vec<u8> = frames.iter().flat_map(|f| f.0.clone()).collect();
    let replies: Vec<u8> = frames.iter().flat_map(|f| f.1.clone()).collect();
    let out = run(&whole);
    assert!(out.status.success() && out.stdout == replies);
    let next = [&5u32.to_le_bytes()[..], b"12345"].concat();
    for cut in 1..next.len() {
        let out = run(&[&whole, &next[..cut]].concat());
        let said = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success() && out.stdout == replies, "cut at {cut}: {said}");
        assert!(said.contains("input ends after") && !said.contains("panicked"), "cut at {cut}: {said}");
    }
}

fn frame(body: &[u8]) -> Vec<u8> {
    [&(body.len() as u32).to_le_bytes()[..], body].concat()
}

fn record(code: u8, fields: &[u8]) -> Vec<u8> {
    let head = [&[0; 8][..], &[code], &(fields.len() as u32).to_le_bytes()].concat();
    [head, fields.to_vec()].concat()
}

#[test_case(&[0; 3], "ends within its clock"; "no clock")]
#[test_case(&[0, 0, 0, 0, 0, 0, 0, 0, 18, 9], "ends within its head"; "half a record's head")]
#[test_case(&[0, 0, 0, 0, 0, 0, 0, 0, 18, 9, 0, 0, 0, 1], "claims 9 bytes, 1 are left"; "half a record")]
#[test_case(&record(16, &[1, 0]), "ENLIST at byte 8 of the batch: wants 4 more bytes"; "half a field")]
#[test_case(&record(28, &[1, 9, 0, 0, 0, 7]), "CENSUS at byte 8"; "a census of nine lines with half of one")]
fn a_malformed_batch_is_an_error_with_its_place(body: &[u8], says: &str) {
    let out = run(&frame(body));
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(!out.status.success() && out.stdout.is_empty(), "{said}");
    assert!(said.contains(says) && !said.contains("panicked"), "{said}");
}

#[test]
fn an_instance_with_bad_settings_dies_alone_and_says_why() {
    let enlist = |who: u32, sheet: &[u8]| {
        let fields =
            [&who.to_le_bytes()[..], &7u64.to_le_bytes(), &(sheet.len() as u32).to_le_bytes(), sheet]
                .concat();
        record(16, &fields)
    };
    let bad = enlist(1, b"[1]");
    let out = run(&[frame(&bad), frame(&enlist(2, b"{}"))].concat());
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(
        out.status.success() && said.contains("instance 1: ENLIST") && said.contains("no JSON object"),
        "{said}"
    );
    assert_eq!(out.stdout[4], 19, "the bench is told that it died");
}

#[test]
fn a_viewer_with_numbers_beyond_all_servers_is_answered() {
    // A title whose first cell is infinite, after the tape's own settings and list.
    let mut input: Vec<u8> = frames(60).iter().flat_map(|f| f.0.clone()).collect();
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
    input.extend(frame(&body));
    let out = run(&input);
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(out.status.success() && said.is_empty(), "{said}");
}
