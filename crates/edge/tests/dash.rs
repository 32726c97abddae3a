//! DASH features beyond the plain play, on real sockets: live titles, titles that a manifest file describes, HEAD,
//! conditional requests, preflight requests and the renewal of session tokens.

mod test_fleet;

use pulleystair_fake_servers::content;
use pulleystair_fake_servers::files::replace;
use pulleystair_fake_servers::http::Message;
use pulleystair_rule_checker::Observed;
use serde_json::{Value, json};
use test_fleet::{TestFleet, base_scenario, body_text, get_request, segment_base_url, set_up_count};

const FREE: usize = 0;

/// Changes the free title in the list, and waits until the front has loaded or rejected the new list.
async fn replace_title(fleet: &TestFleet, change: impl Fn(&mut Value)) {
    let file = fleet.folder().join("list.json");
    let mut list: Value = serde_json::from_str(&std::fs::read_to_string(&file).unwrap()).unwrap();
    change(&mut list["titles"][FREE]);
    let lists_read = || {
        let log = fleet.front_log(0);
        log.matches("list taken").count() + log.matches("list not taken").count()
    };
    let before = lists_read();
    replace(&file, list.to_string()).unwrap();
    fleet.wait_until("the front has read the list", || lists_read() > before).await;
}

/// The time of the recorder, in ms since the epoch.
fn now_ms(fleet: &TestFleet) -> u64 {
    fleet.recorder.now() as u64
}

/// Sends a request on a connection that is closed afterwards; returns the response. `header` is empty or one more header
/// line with its CRLF.
async fn send_request(fleet: &TestFleet, method: &str, target: &str, header: &str) -> Message {
    let text = format!("{method} {target} HTTP/1.1\r\nHost: f\r\nConnection: close\r\n{header}\r\n");
    fleet.send_raw(&text).await.expect("the front responds")
}

/// The number of the segment in a response; panics where the segment is not intact.
fn segment_number(answer: &Message) -> u64 {
    content::parse(&answer.body).filter(|c| c.intact).expect("a whole segment").number
}

#[tokio::test]
async fn live_title_is_served_from_its_window_to_its_end() {
    let fleet = TestFleet::start().await;
    // The title went live 6.5 s ago, with a window of 3 s. It has eight segments; the last is complete 8 s after the start.
    let live_since_ms = now_ms(&fleet) - 6_500;
    let live = json!({ "from_ms": live_since_ms, "update_ms": 500, "window_ms": 3000 });
    replace_title(&fleet, |title| {
        (title["live"], title["duration_ms"], title["segment_ms"]) = (live.clone(), json!(8000), json!(1000));
    })
    .await;
    let manifest = fleet.fetch_manifest("s", FREE).await;
    assert_eq!(manifest.status, 200, "{}", body_text(&manifest));
    let mpd = dash_mpd::parse(body_text(&manifest)).expect("an independent parser reads it");
    assert_eq!(
        (mpd.mpdtype.as_deref(), mpd.minimumUpdatePeriod.unwrap().as_millis()),
        (Some("dynamic"), 500)
    );
    assert_eq!(mpd.availabilityStartTime.unwrap().timestamp_millis() as u64, live_since_ms);
    let base_url = segment_base_url(&manifest);
    let segment_status = async |n: u64| fleet.get(&format!("{base_url}0/{n}.m4s")).await.status;
    assert_eq!(segment_status(1).await, 404, "segment 1 has left the window");
    assert_eq!(segment_status(6).await, 200);
    assert_eq!(segment_status(9).await, 404, "the title has eight segments");
    let last_segment_at_ms = live_since_ms + 8_000;
    fleet.wait_until("the last segment is complete", || now_ms(&fleet) > last_segment_at_ms).await;
    // The player refreshes the manifest at its `Location`, with its session token, and gets a new token.
    let again = fleet.get(&mpd.locations[0].url).await;
    assert_eq!(again.status, 200);
    assert!(again.header("date").is_some() && again.header("cache-control") == Some("no-store"));
    assert_ne!(test_fleet::segment_base_url(&again), base_url, "the new session token has a new time");
    // The last segment is served once it is complete, and the play ends after it.
    assert_eq!(
        segment_number(&fleet.get(&format!("{}1/8.m4s", test_fleet::segment_base_url(&again))).await),
        8
    );
    fleet
        .wait_for_observations("the end of the play", |seen| {
            seen.iter().any(|s| matches!(s.what, Observed::Closed { .. }))
        })
        .await;
    assert_eq!(fleet.get(&mpd.locations[0].url).await.status, 410);
    assert_eq!(set_up_count(&fleet.recorder.observations()), 1);
    fleet.assert_rules_kept();
}

/// A manifest of two periods: the first is addressed by `$Time$`, the second by `$Number$`.
const TWO_PERIODS_MPD: &str = r#"<MPD mediaPresentationDuration="PT9S"><Period id="a">
<AdaptationSet contentType="video"><SegmentTemplate timescale="1000" media="$Time$">
<SegmentTimeline><S t="0" d="1000" r="2"/><S d="2000"/></SegmentTimeline></SegmentTemplate>
<Representation bandwidth="1"/></AdaptationSet></Period>
<Period id="b" start="PT5S"><AdaptationSet contentType="video">
<SegmentTemplate duration="2" media="$Number$"/><Representation bandwidth="1"/></AdaptationSet></Period></MPD>"#;

#[tokio::test]
async fn manifest_described_title_is_addressed_by_time_and_by_number() {
    let fleet = TestFleet::start().await;
    std::fs::write(fleet.folder().join("two.mpd"), TWO_PERIODS_MPD).unwrap();
    let describe_by_manifest = |title: &mut Value| {
        let fields = title.as_object_mut().unwrap();
        fields.remove("duration_ms");
        fields.remove("segment_ms");
        fields.insert("manifest".into(), json!("two.mpd"));
    };
    replace_title(&fleet, describe_by_manifest).await;
    let manifest = fleet.fetch_manifest("s", FREE).await;
    let mpd = dash_mpd::parse(body_text(&manifest)).expect("an independent parser reads it");
    assert_eq!(mpd.periods.len(), 2);
    assert_eq!(mpd.periods[1].adaptations[0].SegmentTemplate.as_ref().unwrap().startNumber, Some(5));
    let base_url = segment_base_url(&manifest);
    let get_segment = async |file: &str| fleet.get(&format!("{base_url}1/{file}")).await;
    for (file, n) in [("1-t0.m4s", 1), ("1-t2000.m4s", 3), ("1-t3000.m4s", 4), ("3.m4s", 3), ("5.m4s", 5)] {
        assert_eq!(segment_number(&get_segment(file).await), n, "{file}");
    }
    for file in ["1-t500.m4s", "2-t0.m4s", "5-t0.m4s", "7.m4s", "1-t99999999999.m4s"] {
        assert_eq!(get_segment(file).await.status, 404, "{file}");
    }
    // An invalid manifest file leaves the current list in use.
    std::fs::write(fleet.folder().join("two.mpd"), &TWO_PERIODS_MPD[..200]).unwrap();
    replace_title(&fleet, |title| title["holders"] = json!(3)).await;
    assert!(fleet.front_log(0).contains("titles[0].manifest"), "the log names the title");
    assert_eq!(segment_number(&get_segment("6.m4s").await), 6);
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn head_conditional_and_preflight_requests_are_answered() {
    let fleet = TestFleet::start().await;
    let manifest = fleet.manifest_target("s", FREE);
    let manifest_head = send_and_read_all(
        &fleet,
        &format!("HEAD {manifest} HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n"),
    )
    .await;
    assert!(
        manifest_head.starts_with("HTTP/1.1 405") && manifest_head.contains("\r\nAllow: "),
        "{manifest_head}"
    );
    assert_eq!(set_up_count(&fleet.recorder.observations()), 0, "a HEAD request starts no play");
    let manifest = fleet.fetch_manifest("s", FREE).await;
    let target = format!("{}1/2.m4s", segment_base_url(&manifest));
    let segment = fleet.get(&target).await;
    let etag = segment.header("etag").expect("the tag of the server is relayed").to_string();
    assert!(segment.header("cache-control").is_some_and(|c| c.starts_with("private, max-age=")));
    let head =
        send_and_read_all(&fleet, &format!("HEAD {target} HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n"))
            .await;
    assert!(
        head.starts_with("HTTP/1.1 200") && head.ends_with("\r\n\r\n"),
        "the response has no body: {head}"
    );
    assert!(head.contains(&format!("Content-Length: {}", segment.body.len())));
    let unchanged = send_request(&fleet, "GET", &target, &format!("If-None-Match: \"x\", {etag}\r\n")).await;
    assert_eq!(
        (unchanged.status, unchanged.body.len(), unchanged.header("etag")),
        (304, 0, Some(etag.as_str()))
    );
    let changed = send_request(&fleet, "GET", &target, "If-None-Match: \"x\"\r\n").await;
    assert_eq!((changed.status, segment_number(&changed)), (200, 2));
    let preflight = send_request(&fleet, "OPTIONS", &target, "").await;
    assert_eq!(preflight.status, 204);
    assert!(preflight.header("access-control-allow-methods").is_some_and(|m| m.contains("DELETE")));
    let time = fleet.get("/v1/time").await;
    assert!(time.header("date").is_some() && body_text(&time).contains('T'));
    fleet.assert_rules_kept();
}

/// Sends text and returns everything that the front sends until it closes.
async fn send_and_read_all(fleet: &TestFleet, text: &str) -> String {
    use tokio::io::AsyncReadExt;
    let mut peer = fleet.connect(0).await.unwrap();
    peer.write(text.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    peer.stream.read_to_end(&mut received).await.unwrap();
    String::from_utf8(received).unwrap()
}

/// By the time a read is resumed, the server may hold another edition of the segment under the same address.
#[tokio::test]
async fn resumed_read_never_mixes_bytes_of_two_editions() {
    let mut scenario = base_scenario();
    scenario["ladder"] = json!([{ "rate_kb": 200, "earns": 1 }]);
    scenario["reads"] = json!({ "tries": 50, "free": 100 });
    scenario["limits"] = json!({ "segment_ms": 300 });
    let fleet = TestFleet::start_with(scenario).await;
    let target = format!("{}0/2.m4s", segment_base_url(&fleet.fetch_manifest("s", FREE).await));
    fleet.set_faults(|faults| (faults.stall, faults.edition) = (1.0, 1));
    let read_segment = async {
        let mut peer = fleet.connect(0).await.unwrap();
        peer.write(get_request(&target).as_bytes()).await.unwrap();
        let mut received = Vec::new();
        tokio::io::AsyncReadExt::read_to_end(&mut peer.stream, &mut received).await.unwrap();
        received.len()
    };
    let (received_bytes, ()) = tokio::join!(read_segment, async {
        // `Again` is the logged action of a retry.
        fleet.wait_for_log("Again", 1).await;
        fleet.set_faults(|faults| (faults.stall, faults.edition) = (0.0, 2));
    });
    assert!(received_bytes < 200_000, "the response is shorter than announced: {received_bytes} bytes");
    fleet.wait_for_log("errand failed", 2).await;
    fleet.set_faults(|faults| faults.stall = 0.0);
    assert_eq!(segment_number(&fleet.get(&target).await), 2);
    fleet.assert_rules_kept();
}
