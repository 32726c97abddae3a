//! Checks the platform's three codecs and the gossip codec on random bytes and on valid messages with some bytes altered.

use proptest::prelude::*;
use std::path::Path;

/// The entries of a fuzz corpus, by file name.
fn corpus_entries(name: &str) -> Vec<Vec<u8>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../fuzz/corpus").join(name);
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .expect("the folder of the corpus")
        .map(|f| f.expect("an entry").path())
        .collect();
    files.sort();
    files.iter().map(|file| std::fs::read(file).expect("reading an entry")).collect()
}

/// One to three entries of a corpus in a row, with up to three bytes altered.
fn altered_messages(name: &str) -> impl Strategy<Value = Vec<u8>> + use<> {
    let messages = prop::collection::vec(prop::sample::select(corpus_entries(name)), 1..4);
    let changes = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4);
    (messages, changes).prop_map(|(messages, changes)| {
        let mut bytes = messages.concat();
        for (at, byte) in changes.into_iter().filter(|_| !messages.is_empty()) {
            if !bytes.is_empty() {
                let at = at.index(bytes.len());
                bytes[at] = byte;
            }
        }
        bytes
    })
}

proptest! {
    #[test]
    fn random_bytes_pass_all_codec_checks(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        pulleystair_fuzz_checks::signal(&bytes);
        pulleystair_fuzz_checks::rtsp(&bytes);
        pulleystair_fuzz_checks::names(&bytes);
        pulleystair_fuzz_checks::row(&bytes);
    }

    #[test]
    fn altered_gossip_datagrams_pass_the_checks(bytes in altered_messages("row")) {
        pulleystair_fuzz_checks::row(&bytes);
    }

    #[test]
    fn altered_viewer_messages_pass_the_checks(bytes in altered_messages("signal")) {
        pulleystair_fuzz_checks::signal(&bytes);
    }

    #[test]
    fn altered_rtsp_messages_pass_the_checks(bytes in altered_messages("rtsp")) {
        pulleystair_fuzz_checks::rtsp(&bytes);
    }

    #[test]
    fn altered_dns_responses_pass_the_checks(bytes in altered_messages("names")) {
        pulleystair_fuzz_checks::names(&bytes);
    }
}
