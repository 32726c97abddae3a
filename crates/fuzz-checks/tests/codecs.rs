//! The platform's three codecs and the exchange, on bytes that are drawn and on good messages that are spoilt in places.

use proptest::prelude::*;
use std::path::Path;

fn kept(name: &str) -> Vec<Vec<u8>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../fuzz/corpus").join(name);
    let mut files: Vec<_> =
        std::fs::read_dir(folder).expect("the corpus").map(|f| f.expect("an entry").path()).collect();
    files.sort();
    files.iter().map(|file| std::fs::read(file).expect("an entry reads")).collect()
}

/// A few kept messages in a row, with bytes of them changed.
fn spoilt(name: &str) -> impl Strategy<Value = Vec<u8>> + use<> {
    let messages = prop::collection::vec(prop::sample::select(kept(name)), 1..4);
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
    fn drawn_bytes(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        pulleystair_fuzz_checks::signal(&bytes);
        pulleystair_fuzz_checks::rtsp(&bytes);
        pulleystair_fuzz_checks::names(&bytes);
        pulleystair_fuzz_checks::row(&bytes);
    }

    #[test]
    fn spoilt_datagrams_between_fronts(bytes in spoilt("row")) {
        pulleystair_fuzz_checks::row(&bytes);
    }

    #[test]
    fn spoilt_viewers_messages(bytes in spoilt("signal")) {
        pulleystair_fuzz_checks::signal(&bytes);
    }

    #[test]
    fn spoilt_media_servers_messages(bytes in spoilt("rtsp")) {
        pulleystair_fuzz_checks::rtsp(&bytes);
    }

    #[test]
    fn spoilt_answers_of_the_name_service(bytes in spoilt("names")) {
        pulleystair_fuzz_checks::names(&bytes);
    }
}
