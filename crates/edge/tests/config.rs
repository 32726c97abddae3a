//! Valid and invalid configurations and server lists: an error names the file, the path, what was found and what is
//! allowed.

use pulleystair::Value;
use pulleystair_edge::config::Config;
use pulleystair_edge::edge::read_list;
use std::path::PathBuf;
use std::process::Command;
use test_case::test_case;

const EXAMPLE_CONFIG: &str = include_str!("../../../examples/front/front.jsonnet");
const EXAMPLE_LIST: &str = include_str!("../../../examples/front/list.json");

/// A folder with a configuration, its server list and its keys.
struct Folder(tempfile::TempDir);

impl Folder {
    fn new(config: &str, list: &str) -> Folder {
        let folder = Folder(tempfile::tempdir().unwrap());
        let files = [
            ("front.jsonnet", config),
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

    /// The error that loading the configuration and its list gives.
    fn load_error(&self) -> String {
        match Config::load(&self.file()) {
            Err(e) => e.to_string(),
            Ok(config) => read_list(&config).expect_err("the list is invalid").to_string(),
        }
    }
}

#[test]
fn the_example_is_valid_and_converts_to_settings() {
    let folder = Folder::new(EXAMPLE_CONFIG, EXAMPLE_LIST);
    let config = Config::load(&folder.file()).unwrap();
    assert!(read_list(&config).unwrap().servers.len() > 1);
    let settings = config.policy_settings();
    assert_eq!(settings["balancers"], Value::Number(config.fronts as f64));
    assert_eq!(settings["rules.cold"], Value::Number(config.rules.cold_ms));
    assert_eq!(
        settings["products.0.first_frame_target"],
        Value::Number(config.products[0].first_frame_target_ms)
    );
    assert_eq!(settings["extra.ladder_kb.0"], Value::Number(config.ladder[0].rate_kb));
    assert_eq!(settings["products.1.effect"], Value::Text("non_idempotent".into()));
}

#[test_case("+ { zome: 'north' }", "unknown field `zome`"; "an unknown key")]
#[test_case("+ { fronts: 'three' }", "fronts: invalid type"; "text instead of a number")]
#[test_case("+ { zone: 'west' }", "zone: found \"west\", allowed is one of zones"; "an unknown zone")]
#[test_case("+ { rank: 9 }", "rank: found 9"; "a rank too high")]
#[test_case("+ { ladder: [] }", "ladder: found 0"; "an empty ladder")]
#[test_case("+ { ladder: [{ rate_kb: 9, earns: 1 }, { rate_kb: 8, earns: 1 }] }", "ladder[1].rate_kb: found 8"; "a descending ladder")]
#[test_case("+ { products: [super.products[0] { importance: -1 }] }", "products[0].importance: found -1"; "importance below zero")]
#[test_case("+ { products: [super.products[0] { floor: 99 }] }", "products[0].floor"; "a floor off the ladder")]
#[test_case("+ { products: [super.products[0] { effect: 'free' }] }", "products[0].effect: unknown variant `free`"; "an unknown effect")]
#[test_case("+ { products: [super.products[0], super.products[0]] }", "a name that no other product has"; "a name twice")]
#[test_case("+ { rules+: { cold_from: 2 } }", "rules.cold_from: found 2, allowed is a number from 0 to 1"; "a fraction over 1")]
#[test_case("+ { rules+: { budget: { span_ms: 0, share: 1, free: 1 } } }", "rules.budget.span_ms"; "an empty span")]
#[test_case("+ { limits: { plays: 0 } }", "limits.plays: found 0"; "a limit of 0")]
#[test_case("+ { limits: { list_poll_ms: 9000 } }", "no longer than rules.drain_grace_ms"; "a list polled too seldom")]
#[test_case("+ { limits: { plays: 1 / 0 } }", "front.jsonnet"; "a division by zero")]
#[test_case("+ { listen: 'here' }", "listen: "; "no address")]
#[test_case("+ { pass_keys: [{ kid: 'k', file: 'none.key' }] }", "none.key"; "a missing key file")]
#[test_case("+ { pass_keys: [] }", "pass_keys: 0 keys"; "no keys")]
#[test_case("+ { tls: { players: 'none' } }", "tls.players: "; "a missing folder of certificates")]
#[test_case("+ { tls: { viewers: 'none' } }", "tls.viewers: unknown field `viewers`"; "an unknown side")]
#[test_case("+ { limits: { fetches: 0 } }", "limits.fetches: found 0"; "no reads allowed")]
#[test_case("+ { admission: { work_ms: 0 } }", "admission.work_ms"; "no time to decide")]
#[test_case("+ import '/etc/hostname'", "lies outside the folder"; "an import from another folder")]
#[test_case("+ import '../../etc/hostname'", "front.jsonnet"; "an import from a parent folder")]
#[test_case("+ (local f(x) = f(x + 1); f(0))", "stack"; "endless recursion")]
#[test_case("+ {", "front.jsonnet"; "a truncated file")]
fn an_invalid_configuration_is_refused_with_place_and_cause(change: &str, cause: &str) {
    let folder = Folder::new(&format!("({EXAMPLE_CONFIG}) {change}"), EXAMPLE_LIST);
    let error = folder.load_error();
    assert!(error.contains(cause) && error.contains("front.jsonnet"), "{error}");
}

#[test_case("\"cell\": 1", "\"cell\": 99", "servers[1].cell: found 99"; "an unknown cell")]
#[test_case("\"name\": \"m1\"", "\"name\": \"m0\"", "servers[1].name: found \"m0\""; "a name twice")]
#[test_case("\"name\": \"m1\"", "\"name\": \"m 1\"", "servers[1].name"; "a name with a space")]
#[test_case("\"weight\": 1", "\"weight\": -1", "servers[0].weight: found -1"; "a weight below zero")]
#[test_case("\"zone\": \"south\"", "\"zone\": \"west\"", "servers[1].zone: found \"west\""; "an unknown zone")]
#[test_case("\"holders\": 3", "\"holders\": 0", "titles[0].holders: found 0"; "no holders")]
#[test_case("\"segment_ms\": 2000", "\"segment_ms\": 0", "titles[0].segment_ms"; "segments of length 0")]
#[test_case("\"segment_ms\": 2000", "\"segment_ms\": 2000, \"manifest\": \"a.mpd\"", "titles[0].manifest: found duration_ms"; "both a manifest and a duration")]
#[test_case("\"segment_ms\": 2000", "\"segment_ms\": 2000, \"live\": { \"from_ms\": 1, \"update_ms\": 0, \"window_ms\": 9000 }", "titles[0].live.update_ms: found 0"; "live without updates")]
#[test_case("\"segment_ms\": 2000", "\"segment_ms\": 2000, \"live\": { \"from_ms\": 1, \"update_ms\": 1, \"window_ms\": 9 }", "titles[0].live.window_ms: found 9"; "a window shorter than a segment")]
#[test_case("\"state\": \"ready\"", "\"state\": \"asleep\"", "servers[0].state: unknown variant"; "an unknown state")]
#[test_case("\"address\": \"127.0.0.1:9100\"", "\"address\": \"m0\"", "servers[0].address"; "no address")]
fn an_invalid_list_is_refused_with_place_and_cause(from: &str, to: &str, cause: &str) {
    assert!(EXAMPLE_LIST.contains(from), "the example contains {from}");
    let error = Folder::new(EXAMPLE_CONFIG, &EXAMPLE_LIST.replacen(from, to, 1)).load_error();
    assert!(error.contains(cause) && error.contains("list.json"), "{error}");
}

#[test]
fn an_empty_list_is_refused() {
    let error = Folder::new(EXAMPLE_CONFIG, r#"{ "servers": [], "titles": [] }"#).load_error();
    assert!(error.contains("servers: found 0 of them"), "{error}");
}

/// Runs `pulleystair-edge` on a configuration file: whether it succeeded, its standard output and standard error.
fn run_command(arguments: &[&str], file: &PathBuf) -> (bool, String, String) {
    let output =
        Command::new(env!("CARGO_BIN_EXE_pulleystair-edge")).args(arguments).arg(file).output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (output.status.success(), text(output.stdout), text(output.stderr))
}

#[test]
fn check_and_show_print_result_or_error() {
    let folder = Folder::new(EXAMPLE_CONFIG, EXAMPLE_LIST);
    let (succeeded, stdout, _) = run_command(&["check"], &folder.file());
    assert!(succeeded && stdout.contains(": valid;"), "{stdout}");
    let (succeeded, shown, _) = run_command(&["show"], &folder.file());
    let shown: serde_json::Value = serde_json::from_str(&shown).unwrap();
    assert!(succeeded && shown["limits"]["header_bytes"] == 8192, "defaults are filled in");
    assert!(!shown.to_string().contains("long enough"), "no key material is shown");
    let folder = Folder::new(&format!("({EXAMPLE_CONFIG}) + {{ rank: 9 }}"), EXAMPLE_LIST);
    let (succeeded, _, stderr) = run_command(&["check"], &folder.file());
    assert!(
        !succeeded && stderr.contains("rank: found 9, allowed is a whole number under fronts"),
        "{stderr}"
    );
}
