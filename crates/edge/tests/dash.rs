//! What players expect of DASH besides a play's plain path, each story on real sockets: live titles, titles that a
//! manifest describes, HEAD, conditional requests, and passes through time.

mod house;

use house::{House, base, day, get, set_ups, text};
use pulleystair_fake_servers::content;
use pulleystair_fake_servers::files::replace;
use pulleystair_fake_servers::http::Message;
use pulleystair_rule_checker::Observed;
use serde_json::{Value, json};

const FREE: usize = 0;

/// Lists titles otherwise, and waits until the front has read it.
async fn list(house: &House, change: impl Fn(&mut Value)) {
    let file = house.folder().join("list.json");
    let mut list: Value = serde_json::from_str(&std::fs::read_to_string(&file).unwrap()).unwrap();
    change(&mut list["titles"][FREE]);
    let looked = || {
        let log = house.log_of(0);
        log.matches("list taken").count() + log.matches("list not taken").count()
    };
    let before = looked();
    replace(&file, list.to_string()).unwrap();
    house.until_true("the front has looked at the list", || looked() > before).await;
}

fn now(house: &House) -> u64 {
    house.log.now() as u64
}

async fn ask_with(house: &House, method: &str, target: &str, header: &str) -> Message {
    let text = format!("{method} {target} HTTP/1.1\r\nHost: f\r\nConnection: close\r\n{header}\r\n");
    house.send(&text).await.expect("an answer comes")
}

/// The number in a segment that came whole.
fn number(answer: &Message) -> u64 {
    content::parse(&answer.body).filter(|c| c.intact).expect("a whole segment").number
}

#[tokio::test]
async fn a_live_title_from_its_window_to_its_end() {
    let house = House::open().await;
    // It began 6.5 s ago, has one more second to run, and keeps 3 s.
    let from = now(&house) - 6_500;
    let live = json!({ "from_ms": from, "update_ms": 500, "window_ms": 3000 });
    list(&house, |title| {
        (title["live"], title["duration_ms"], title["segment_ms"]) = (live.clone(), json!(8000), json!(1000));
    })
    .await;
    let manifest = house.ask("s", FREE).await;
    assert_eq!(manifest.status, 200, "{}", text(&manifest));
    let mpd = dash_mpd::parse(text(&manifest)).expect("an independent parser reads it");
    assert_eq!(
        (mpd.mpdtype.as_deref(), mpd.minimumUpdatePeriod.unwrap().as_millis()),
        (Some("dynamic"), 500)
    );
    assert_eq!(mpd.availabilityStartTime.unwrap().timestamp_millis() as u64, from);
    let base = base(&manifest);
    let status = async |n: u64| house.get(&format!("{base}0/{n}.m4s")).await.status;
    assert_eq!(status(1).await, 404, "kept no more");
    assert_eq!(status(6).await, 200);
    assert_eq!(status(9).await, 404, "there will never be one");
    let eighth = from + 8_000;
    house.until_true("the last segment is complete", || now(&house) > eighth).await;
    // The player asks where it was told to, with its pass, and gets another one.
    let again = house.get(&mpd.locations[0].url).await;
    assert_eq!(again.status, 200);
    assert!(again.header("date").is_some() && again.header("cache-control") == Some("no-store"));
    assert_ne!(house::base(&again), base, "a pass whose time begins anew");
    // The last one comes once it is there, and the play ends after it.
    assert_eq!(number(&house.get(&format!("{}1/8.m4s", house::base(&again))).await), 8);
    house
        .until("the play's end", |seen| seen.iter().any(|s| matches!(s.what, Observed::Closed { .. })))
        .await;
    assert_eq!(house.get(&mpd.locations[0].url).await.status, 410);
    assert_eq!(set_ups(&house.log.observations()), 1);
    house.kept();
}

const TWO: &str = r#"<MPD mediaPresentationDuration="PT9S"><Period id="a">
<AdaptationSet contentType="video"><SegmentTemplate timescale="1000" media="$Time$">
<SegmentTimeline><S t="0" d="1000" r="2"/><S d="2000"/></SegmentTimeline></SegmentTemplate>
<Representation bandwidth="1"/></AdaptationSet></Period>
<Period id="b" start="PT5S"><AdaptationSet contentType="video">
<SegmentTemplate duration="2" media="$Number$"/><Representation bandwidth="1"/></AdaptationSet></Period></MPD>"#;

#[tokio::test]
async fn a_title_that_a_manifest_describes_by_time_and_by_number() {
    let house = House::open().await;
    std::fs::write(house.folder().join("two.mpd"), TWO).unwrap();
    let described = |title: &mut Value| {
        let fields = title.as_object_mut().unwrap();
        fields.remove("duration_ms");
        fields.remove("segment_ms");
        fields.insert("manifest".into(), json!("two.mpd"));
    };
    list(&house, described).await;
    let manifest = house.ask("s", FREE).await;
    let mpd = dash_mpd::parse(text(&manifest)).expect("an independent parser reads it");
    assert_eq!(mpd.periods.len(), 2);
    assert_eq!(mpd.periods[1].adaptations[0].SegmentTemplate.as_ref().unwrap().startNumber, Some(5));
    let base = base(&manifest);
    let get = async |file: &str| house.get(&format!("{base}1/{file}")).await;
    for (file, n) in [("1-t0.m4s", 1), ("1-t2000.m4s", 3), ("1-t3000.m4s", 4), ("3.m4s", 3), ("5.m4s", 5)] {
        assert_eq!(number(&get(file).await), n, "{file}");
    }
    for file in ["1-t500.m4s", "2-t0.m4s", "5-t0.m4s", "7.m4s", "1-t99999999999.m4s"] {
        assert_eq!(get(file).await.status, 404, "{file}");
    }
    // A manifest that can't be read leaves the list as it was.
    std::fs::write(house.folder().join("two.mpd"), &TWO[..200]).unwrap();
    list(&house, |title| title["holders"] = json!(3)).await;
    assert!(house.log_of(0).contains("titles[0].manifest"), "the log names the title");
    assert_eq!(number(&get("6.m4s").await), 6);
    house.kept();
}

#[tokio::test]
async fn heads_conditions_and_what_browsers_ask_first() {
    let house = House::open().await;
    let manifest = house.manifest("s", FREE);
    let bare =
        ask_raw(&house, &format!("HEAD {manifest} HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n")).await;
    assert!(bare.starts_with("HTTP/1.1 405") && bare.contains("\r\nAllow: "), "{bare}");
    assert_eq!(set_ups(&house.log.observations()), 0, "a HEAD takes no play");
    let manifest = house.ask("s", FREE).await;
    let target = format!("{}1/2.m4s", base(&manifest));
    let whole = house.get(&target).await;
    let tag = whole.header("etag").expect("the server's tag is passed on").to_string();
    assert!(whole.header("cache-control").is_some_and(|c| c.starts_with("private, max-age=")));
    let head =
        ask_raw(&house, &format!("HEAD {target} HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n")).await;
    assert!(head.starts_with("HTTP/1.1 200") && head.ends_with("\r\n\r\n"), "a head and no body: {head}");
    assert!(head.contains(&format!("Content-Length: {}", whole.body.len())));
    let same = ask_with(&house, "GET", &target, &format!("If-None-Match: \"x\", {tag}\r\n")).await;
    assert_eq!((same.status, same.body.len(), same.header("etag")), (304, 0, Some(tag.as_str())));
    let other = ask_with(&house, "GET", &target, "If-None-Match: \"x\"\r\n").await;
    assert_eq!((other.status, number(&other)), (200, 2));
    let first = ask_with(&house, "OPTIONS", &target, "").await;
    assert_eq!(first.status, 204);
    assert!(first.header("access-control-allow-methods").is_some_and(|m| m.contains("DELETE")));
    let time = house.get("/v1/time").await;
    assert!(time.header("date").is_some() && text(&time).contains('T'));
    house.kept();
}

/// Everything that the front says until it closes.
async fn ask_raw(house: &House, text: &str) -> String {
    use tokio::io::AsyncReadExt;
    let mut peer = house.call(0).await.unwrap();
    peer.write(text.as_bytes()).await.unwrap();
    let mut all = Vec::new();
    peer.stream.read_to_end(&mut all).await.unwrap();
    String::from_utf8(all).unwrap()
}

/// What is held under the same address may be another edition by the time that a read is taken up again.
#[tokio::test]
async fn bytes_of_two_editions_are_never_put_together() {
    let mut day = day();
    day["ladder"] = json!([{ "rate_kb": 200, "earns": 1 }]);
    day["reads"] = json!({ "tries": 50, "free": 100 });
    day["limits"] = json!({ "segment_ms": 300 });
    let house = House::of(day).await;
    let target = format!("{}0/2.m4s", base(&house.ask("s", FREE).await));
    house.ail(|a| (a.stall, a.edition) = (1.0, 1));
    let asked = async {
        let mut peer = house.call(0).await.unwrap();
        peer.write(get(&target).as_bytes()).await.unwrap();
        let mut all = Vec::new();
        tokio::io::AsyncReadExt::read_to_end(&mut peer.stream, &mut all).await.unwrap();
        all.len()
    };
    let (got, ()) = tokio::join!(asked, async {
        house.says("Again", 1).await;
        house.ail(|a| (a.stall, a.edition) = (0.0, 2));
    });
    assert!(got < 200_000, "the player sees that it is short: {got}");
    house.says("errand failed", 2).await;
    house.ail(|a| a.stall = 0.0);
    assert_eq!(number(&house.get(&target).await), 2);
    house.kept();
}
