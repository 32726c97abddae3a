//! Runs the checks of the fuzz targets on each entry of their corpora.

use std::path::Path;
use test_case::test_case;

#[test_case("mpd", pulleystair_fuzz_checks::mpd; "MPDs")]
#[test_case("token", pulleystair_fuzz_checks::token; "tokens")]
#[test_case("request", pulleystair_fuzz_checks::request; "requests, targets, ranges and responses")]
#[test_case("orca", pulleystair_fuzz_checks::orca; "load reports")]
#[test_case("signal", pulleystair_fuzz_checks::signal; "viewers' messages")]
#[test_case("rtsp", pulleystair_fuzz_checks::rtsp; "media servers' messages")]
#[test_case("names", pulleystair_fuzz_checks::names; "the name service's responses")]
#[test_case("row", pulleystair_fuzz_checks::row; "gossip datagrams")]
fn corpus_entries_pass_the_checks(name: &str, check: fn(&[u8])) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../fuzz/corpus").join(name);
    let mut count = 0;
    for file in std::fs::read_dir(&folder).expect("the folder of the corpus") {
        check(&std::fs::read(file.expect("an entry").path()).expect("reading an entry"));
        count += 1;
    }
    assert!(count >= 10, "{count} entries");
}
