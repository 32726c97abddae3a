//! Rundowns and lists, good and bad: a fault names the file, the path, what was found and what is allowed.

use pulleystair::Value;
use pulleystair_edge::config::Config;
use pulleystair_edge::edge::read_list;
use std::path::PathBuf;
use std::process::Command;
use test_case::test_case;

const GOOD: &str = include_str!("../../../examples/front/front.jsonnet");
const LIST: &str = include_str!("../../../examples/front/list.json");

struct Folder(tempfile::TempDir);

impl Folder {
    fn new(rundown: &str, list: &str) -> Folder {
        let folder = Folder(tempfile::tempdir().unwrap());
        let files = [
            ("front.jsonnet", rundown),
            ("list.json", list),
            ("entry.key", "a key of the portal, long enough for its use\n"),
            ("pass.key", "a key of the front, also long enough for its use\n"),
        ];
        files.iter().for_each(|(name, text)| std::fs::write(folder.0.path().join(name), text).unwrap());
        folder
    }

    fn file(&self) -> PathBuf {
        self.0.path().join("front.jsonnet")
    }

    /// What is wrong with it.
    fn fault(&self) -> String {
        match Config::read(&self.file()) {
            Err(e) => e.to_string(),
            Ok(it) => read_list(&it).expect_err("something is wrong").to_string(),
        }
    }
}

#[test]
fn the_example_is_good_and_becomes_the_decisions_plain_map() {
    let folder = Folder::new(GOOD, LIST);
    let it = Config::read(&folder.file()).unwrap();
    assert!(read_list(&it).unwrap().servers.len() > 1);
    let sheet = it.policy_settings();
    assert_eq!(sheet["balancers"], Value::Number(it.fronts as f64));
    assert_eq!(sheet["rules.cold"], Value::Number(it.rules.cold_ms));
    assert_eq!(sheet["products.0.first_frame_target"], Value::Number(it.products[0].first_frame_target_ms));
    assert_eq!(sheet["extra.ladder_kb.0"], Value::Number(it.ladder[0].rate_kb));
    assert_eq!(sheet["products.1.effect"], Value::Text("non_idempotent".into()));
}

#[test_case("+ { zome: 'north' }", "unknown field `zome`"; "an unknown name")]
#[test_case("+ { fronts: 'three' }", "fronts: invalid type"; "words for a number")]
#[test_case("+ { zone: 'west' }", "zone: found \"west\", allowed is one of zones"; "a zone of none")]
#[test_case("+ { rank: 9 }", "rank: found 9"; "a rank too high")]
#[test_case("+ { ladder: [] }", "ladder: found 0"; "no ladder")]
#[test_case("+ { ladder: [{ rate_kb: 9, earns: 1 }, { rate_kb: 8, earns: 1 }] }", "ladder[1].rate_kb: found 8"; "a ladder that falls")]
#[test_case("+ { products: [super.products[0] { importance: -1 }] }", "products[0].importance: found -1"; "importance below zero")]
#[test_case("+ { products: [super.products[0] { floor: 99 }] }", "products[0].floor"; "a floor off the ladder")]
#[test_case("+ { products: [super.products[0] { effect: 'free' }] }", "products[0].effect: unknown variant `free`"; "an unknown effect")]
#[test_case("+ { products: [super.products[0], super.products[0]] }", "a name that no other product has"; "a name twice")]
#[test_case("+ { rules+: { cold_from: 2 } }", "rules.cold_from: found 2, allowed is a number from 0 to 1"; "a part over one")]
#[test_case("+ { rules+: { budget: { span_ms: 0, share: 1, free: 1 } } }", "rules.budget.span_ms"; "an empty span")]
#[test_case("+ { limits: { plays: 0 } }", "limits.plays: found 0"; "a limit of none")]
#[test_case("+ { limits: { list_poll_ms: 9000 } }", "no longer than rules.drain_grace_ms"; "a list looked at too seldom")]
#[test_case("+ { limits: { plays: 1 / 0 } }", "front.jsonnet"; "a division by zero")]
#[test_case("+ { listen: 'here' }", "listen: "; "no address")]
#[test_case("+ { pass_keys: [{ kid: 'k', file: 'none.key' }] }", "none.key"; "a key that is away")]
#[test_case("+ { pass_keys: [] }", "pass_keys: 0 keys"; "no keys")]
#[test_case("+ { tls: { players: 'none' } }", "tls.players: "; "a folder of certificates that is away")]
#[test_case("+ { tls: { viewers: 'none' } }", "tls.viewers: unknown field `viewers`"; "a side that there is not")]
#[test_case("+ { limits: { fetches: 0 } }", "limits.fetches: found 0"; "no reads at all")]
#[test_case("+ { admission: { work_ms: 0 } }", "admission.work_ms"; "no time to decide")]
#[test_case("+ import '/etc/hostname'", "lies outside the folder"; "an import from elsewhere")]
#[test_case("+ import '../../etc/hostname'", "front.jsonnet"; "an import that climbs")]
#[test_case("+ (local f(x) = f(x + 1); f(0))", "stack"; "a template without end")]
#[test_case("+ {", "front.jsonnet"; "half a file")]
fn a_bad_rundown_is_told_by_place_and_cause(change: &str, says: &str) {
    let folder = Folder::new(&format!("({GOOD}) {change}"), LIST);
    let fault = folder.fault();
    assert!(fault.contains(says) && fault.contains("front.jsonnet"), "{fault}");
}

#[test_case("\"cell\": 1", "\"cell\": 99", "servers[1].cell: found 99"; "a cell of none")]
#[test_case("\"name\": \"m1\"", "\"name\": \"m0\"", "servers[1].name: found \"m0\""; "a name twice")]
#[test_case("\"name\": \"m1\"", "\"name\": \"m 1\"", "servers[1].name"; "a name with a space")]
#[test_case("\"weight\": 1", "\"weight\": -1", "servers[0].weight: found -1"; "a weight below zero")]
#[test_case("\"zone\": \"south\"", "\"zone\": \"west\"", "servers[1].zone: found \"west\""; "a zone of none")]
#[test_case("\"holders\": 3", "\"holders\": 0", "titles[0].holders: found 0"; "held by none")]
#[test_case("\"segment_ms\": 2000", "\"segment_ms\": 0", "titles[0].segment_ms"; "segments without length")]
#[test_case("\"segment_ms\": 2000", "\"segment_ms\": 2000, \"manifest\": \"a.mpd\"", "titles[0].manifest: found duration_ms"; "described twice")]
#[test_case("\"segment_ms\": 2000", "\"segment_ms\": 2000, \"live\": { \"from_ms\": 1, \"update_ms\": 0, \"window_ms\": 9000 }", "titles[0].live.update_ms: found 0"; "live without updates")]
#[test_case("\"segment_ms\": 2000", "\"segment_ms\": 2000, \"live\": { \"from_ms\": 1, \"update_ms\": 1, \"window_ms\": 9 }", "titles[0].live.window_ms: found 9"; "a window of no segment")]
#[test_case("\"state\": \"ready\"", "\"state\": \"asleep\"", "servers[0].state: unknown variant"; "an unknown state")]
#[test_case("\"address\": \"127.0.0.1:9100\"", "\"address\": \"m0\"", "servers[0].address"; "no address")]
fn a_bad_list_is_told_by_place_and_cause(find: &str, put: &str, says: &str) {
    assert!(LIST.contains(find), "the example has {find}");
    let fault = Folder::new(GOOD, &LIST.replacen(find, put, 1)).fault();
    assert!(fault.contains(says) && fault.contains("list.json"), "{fault}");
}

#[test]
fn an_empty_list_is_refused() {
    let fault = Folder::new(GOOD, r#"{ "servers": [], "titles": [] }"#).fault();
    assert!(fault.contains("servers: found 0 of them"), "{fault}");
}

fn command(words: &[&str], file: &PathBuf) -> (bool, String, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_pulleystair-edge")).args(words).arg(file).output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (out.status.success(), text(out.stdout), text(out.stderr))
}

#[test]
fn check_and_show_by_the_command_line() {
    let folder = Folder::new(GOOD, LIST);
    let (good, said, _) = command(&["check"], &folder.file());
    assert!(good && said.contains("good;"), "{said}");
    let (good, shown, _) = command(&["show"], &folder.file());
    let shown: serde_json::Value = serde_json::from_str(&shown).unwrap();
    assert!(good && shown["limits"]["header_bytes"] == 8192, "defaults are filled in");
    assert!(!shown.to_string().contains("long enough"), "no key material is shown");
    let folder = Folder::new(&format!("({GOOD}) + {{ rank: 9 }}"), LIST);
    let (good, _, said) = command(&["check"], &folder.file());
    assert!(!good && said.contains("rank: found 9, allowed is a whole number under fronts"), "{said}");
}
