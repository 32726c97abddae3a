//! The corpora of the fuzz targets, each entry once.

use std::path::Path;
use test_case::test_case;

#[test_case("mpd", pulleystair_fuzzed::mpd; "MPDs")]
#[test_case("token", pulleystair_fuzzed::token; "tokens")]
#[test_case("request", pulleystair_fuzzed::request; "requests, targets, ranges and answers")]
#[test_case("orca", pulleystair_fuzzed::orca; "load reports")]
#[test_case("signal", pulleystair_fuzzed::signal; "viewers' messages")]
#[test_case("rtsp", pulleystair_fuzzed::rtsp; "media servers' messages")]
#[test_case("names", pulleystair_fuzzed::names; "the name service's answers")]
#[test_case("row", pulleystair_fuzzed::row; "datagrams between fronts")]
fn nothing_kept_in_a_corpus_breaks_anything(name: &str, holds: fn(&[u8])) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../fuzz/corpus").join(name);
    let mut count = 0;
    for file in std::fs::read_dir(&folder).expect("the corpus is there") {
        holds(&std::fs::read(file.expect("an entry").path()).expect("an entry reads"));
        count += 1;
    }
    assert!(count >= 10, "{count} entries");
}
