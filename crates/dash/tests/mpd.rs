//! Manifests are written, parsed back, and parsed by an independent parser (dash-mpd). Errors name the place in the MPD.

use proptest::prelude::*;
use pulleystair_dash::mpd::{Live, Period, Presentation, Segments, TimelineEntry, format_date, parse};
use test_case::test_case;

fn plain(duration_ms: u64, segment_ms: u64) -> Presentation {
    let mut presentation = Presentation::single_period("forms & fees <1>".into(), duration_ms, segment_ms);
    presentation.base_url = "/s/a.b.c/".into();
    presentation.periods[0].bandwidths = vec![400_000, 964_000, 2_400_000];
    presentation
}

#[test_case(34_000, 2000, 17; "whole segments")]
#[test_case(34_500, 2000, 18; "short last segment")]
#[test_case(10, 2000, 1; "one short segment")]
fn an_independent_parser_reads_a_written_manifest(duration_ms: u64, segment_ms: u64, segments: u64) {
    let presentation = plain(duration_ms, segment_ms);
    assert_eq!(presentation.segment_count(), Some(segments));
    let mpd = dash_mpd::parse(&presentation.to_xml()).expect("the independent parser accepts it");
    assert_eq!(mpd.mpdtype.as_deref(), Some("static"));
    assert_eq!(mpd.id.as_deref(), Some("forms & fees <1>"));
    assert_eq!(mpd.mediaPresentationDuration.unwrap().as_millis() as u64, duration_ms);
    assert_eq!(mpd.base_url[0].base, "/s/a.b.c/");
    let sets = &mpd.periods[0].adaptations;
    assert_eq!((mpd.periods.len(), sets.len()), (1, 1));
    let template = sets[0].SegmentTemplate.as_ref().unwrap();
    assert_eq!((template.timescale, template.duration), (Some(1000), Some(segment_ms as f64)));
    assert_eq!(template.startNumber, Some(1));
    assert_eq!(template.media.as_deref(), Some("$RepresentationID$/$Number$.m4s"));
    let bandwidths: Vec<u64> = sets[0].representations.iter().filter_map(|r| r.bandwidth).collect();
    assert_eq!(bandwidths, [400_000, 964_000, 2_400_000]);
}

fn live(window_ms: u64, duration_ms: Option<u64>) -> Presentation {
    let mut presentation = plain(1, 2000);
    presentation.duration_ms = duration_ms;
    presentation.live = Some(Live {
        from_ms: 1_764_600_716_250,
        update_ms: Some(2000),
        window_ms: Some(window_ms),
        published_ms: 1_764_600_716_250,
    });
    presentation
}

#[test]
fn a_live_title_gives_a_dynamic_manifest() {
    let mut presentation = live(30_000, None);
    presentation.location = Some("/s/a.b.c/manifest.mpd".into());
    let mpd = dash_mpd::parse(&presentation.to_xml()).expect("the independent parser accepts it");
    assert_eq!(mpd.mpdtype.as_deref(), Some("dynamic"));
    assert_eq!(mpd.minimumUpdatePeriod.unwrap().as_millis(), 2000);
    assert_eq!(mpd.timeShiftBufferDepth.unwrap().as_millis(), 30_000);
    assert_eq!(mpd.availabilityStartTime.unwrap().timestamp_millis(), 1_764_600_716_250);
    assert_eq!(mpd.locations[0].url, "/s/a.b.c/manifest.mpd");
    assert_eq!((mpd.mediaPresentationDuration, presentation.segment_count()), (None, None));
}

#[test]
fn segments_of_a_live_title_become_available_and_expire() {
    let presentation = live(10_000, Some(60_000));
    let available_at = |ms: u64| presentation.available_segments(1_764_600_716_250 + ms);
    assert_eq!(available_at(0), None);
    assert_eq!(available_at(1_999), None, "the first segment is not complete");
    assert_eq!(available_at(2_000), Some((1, 1)));
    assert_eq!(available_at(11_999), Some((1, 5)));
    assert_eq!(available_at(12_000), Some((2, 6)), "the first segment has left the time-shift window");
    assert_eq!(available_at(60_000), Some((26, 30)));
    assert_eq!(available_at(600_000), Some((30, 30)), "the title has ended");
    assert_eq!(presentation.available_segments(5), None, "long before the start");
}

/// Two Periods; the segments of the first are addressed by time, those of the second by number.
const TWO_PERIODS: &str = r#"<?xml version="1.0"?>
<MPD xmlns="urn:mpeg:dash:schema:mpd:2011" type="static" mediaPresentationDuration="PT1M0.5S">
  <Period id="a" duration="PT12S">
    <AdaptationSet mimeType="audio/mp4"><SegmentTemplate duration="1" media="x$Number$"/><Representation bandwidth="9"/></AdaptationSet>
    <AdaptationSet contentType="video">
      <SegmentTemplate timescale="90000" media="v-$Time$.m4s" initialization="i.mp4">
        <SegmentTimeline><S t="900" d="180000" r="3"/><S d="360000"/></SegmentTimeline>
      </SegmentTemplate>
      <Representation id="lo" bandwidth="100000"/><Representation id="hi" bandwidth="300000"/>
    </AdaptationSet>
  </Period>
  <Period id="b">
    <AdaptationSet contentType="video">
      <SegmentTemplate timescale="30000" duration="120000" startNumber="7" media="v-$Number$.m4s"/>
      <Representation bandwidth="100000"/><Representation bandwidth="300000"/>
    </AdaptationSet>
  </Period>
</MPD>"#;

#[test]
fn periods_with_segments_by_time_and_by_number_are_parsed() {
    let presentation = parse(TWO_PERIODS).unwrap();
    assert_eq!(
        (presentation.periods.len(), presentation.periods[1].start_ms, presentation.duration_ms),
        (2, 12_000, Some(60_500))
    );
    assert_eq!(presentation.periods[1].segments, Segments::FixedDuration { segment_ms: 4000 });
    assert_eq!(presentation.segment_count(), Some(5 + 13));
    assert_eq!(presentation.max_segment_ms(), 4000);
    assert_eq!(
        [900, 180_900, 540_900, 720_900].map(|t| presentation.segment_number_at(1, t)),
        [1, 2, 4, 5].map(Some)
    );
    assert_eq!([0, 901, 360_000, 1_080_900].map(|t| presentation.segment_number_at(1, t)), [None; 4]);
    assert_eq!(
        presentation.segment_number_at(6, 900),
        None,
        "segments of the second Period are addressed by number"
    );
    // The MPD that is written for players numbers segments through all Periods, and parses to the same presentation.
    let reparsed = parse(&presentation.to_xml()).unwrap();
    assert_eq!(reparsed, presentation);
    let mpd = dash_mpd::parse(&presentation.to_xml()).expect("the independent parser accepts it");
    let template = |p: usize| mpd.periods[p].adaptations[0].SegmentTemplate.clone().unwrap();
    assert_eq!(template(0).media.as_deref(), Some("$RepresentationID$/1-t$Time$.m4s"));
    assert_eq!((template(1).startNumber, template(0).SegmentTimeline.unwrap().segments.len()), (Some(6), 2));
}

#[test_case("", "MPD at byte 0: the document has no MPD element"; "empty document")]
#[test_case("<MPD", "MPD at byte 0: not valid XML"; "truncated tag")]
#[test_case("<HTML></HTML>", "HTML at byte 0: the document must have one MPD as its root"; "another document")]
#[test_case("<MPD><Period>", "the document ends inside an element"; "truncated document")]
#[test_case("<!DOCTYPE x [<!ENTITY a 'b'>]><MPD/>", "a DOCTYPE is not allowed"; "a doctype")]
#[test_case("<MPD type='odd'/>", "MPD at byte 0: type \"odd\" is neither static nor dynamic"; "another type")]
#[test_case("<MPD type='dynamic'/>", "availabilityStartTime"; "dynamic without start time")]
#[test_case("<MPD type='dynamic' availabilityStartTime='yesterday'/>", "availabilityStartTime has the invalid value \"yesterday\""; "invalid date")]
#[test_case("<MPD/>", "has no Period"; "no period")]
#[test_case("<MPD mediaPresentationDuration='1 hour'/>", "mediaPresentationDuration has the invalid value \"1 hour\""; "invalid duration")]
#[test_case("<MPD><Period><BaseURL>x</BaseURL></Period></MPD>", "BaseURL at byte 13: only a SegmentTemplate is supported"; "base url in a period")]
#[test_case("<MPD><Period><AdaptationSet><Representation/></AdaptationSet></Period></MPD>", "Representation at byte 28: bandwidth is missing"; "no bandwidth")]
#[test_case("<MPD mediaPresentationDuration='PT9S'><Period/></MPD>", "Period \"1\": has no SegmentTemplate"; "no template")]
fn the_error_for_an_invalid_manifest_names_its_place(text: &str, expected: &str) {
    let error = parse(text).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}

#[test_case("timescale=\"90000\"", "timescale=\"0\"", "SegmentTemplate at byte"; "timescale zero")]
#[test_case("d=\"360000\"", "d=\"0\"", "S at byte"; "a segment without length")]
#[test_case("r=\"3\"", "r=\"-1\"", "open-ended"; "an open end")]
#[test_case("r=\"3\"", "r=\"99999999\"", "over 1000000 segments"; "too many segments")]
#[test_case("<S d=", "<S t=\"5\" d=", "t is 5, before the end of the previous entry, 720900"; "entries that overlap")]
#[test_case("duration=\"PT12S\"", "", "Period \"b\": has no start"; "period without start")]
#[test_case("<Period id=\"b\">", "<Period id=\"b\" start=\"PT3S\">", "Period \"b\": begins before"; "periods that overlap")]
#[test_case("duration=\"120000\"", "duration=\"1\"", "Period \"b\": segments shorter than 1 ms"; "segments of almost no duration")]
#[test_case("PT1M0.5S", "P90D", "longer than"; "too long")]
#[test_case("id=\"b\"", "id=\"&nope;\"", "id is malformed"; "an unknown entity")]
fn the_error_for_a_broken_attribute_names_its_place(old: &str, new: &str, expected: &str) {
    assert!(TWO_PERIODS.contains(old));
    let error = parse(&TWO_PERIODS.replacen(old, new, 1)).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}

#[test]
fn manifests_over_the_limits_are_rejected() {
    let with_more = |entry: &str, count: usize| {
        TWO_PERIODS.replacen("<S d=", &format!("{}<S d=", entry.repeat(count)), 1)
    };
    assert!(parse(&with_more("<S d=\"1\"/>", 20_000)).unwrap_err().cause.contains("entries"));
    assert!(parse(&" ".repeat(2 << 20)).unwrap_err().cause.contains("bytes"));
    assert!(parse(&"<MPD>".repeat(100)).unwrap_err().cause.contains("deep"));
    let periods = format!("<MPD>{}</MPD>", "<Period/>".repeat(300));
    assert!(parse(&periods).unwrap_err().cause.contains("Periods"));
}

#[test_case(0, "1970-01-01T00:00:00.000Z"; "the epoch")]
#[test_case(951_782_400_123, "2000-02-29T00:00:00.123Z"; "a leap day")]
#[test_case(4_107_542_399_000, "2100-02-28T23:59:59.000Z"; "a century without a leap day")]
#[test_case(1_764_600_716_250, "2025-12-01T14:51:56.250Z"; "a day in december")]
fn dates_match_the_calendar(ms: u64, text: &str) {
    assert_eq!(format_date(ms), text);
}

fn presentation() -> impl Strategy<Value = Presentation> {
    let entries = prop::collection::vec((0u64..500, 1u64..10_000, 0u64..20), 1..6).prop_map(|raw| {
        let mut earliest_start = 0;
        raw.into_iter()
            .map(|(gap, duration, repeat)| {
                let start = earliest_start + gap;
                earliest_start = start + duration * (repeat + 1);
                TimelineEntry { start, duration, repeat }
            })
            .collect()
    });
    let segments = prop_oneof![
        (1u64..20_000).prop_map(|segment_ms| Segments::FixedDuration { segment_ms }),
        (1u64..100_000, entries, any::<bool>())
            .prop_map(|(timescale, entries, by_time)| Segments::Timeline { timescale, entries, by_time }),
    ];
    let period = ("[a-z<&\"' ]{0,8}", 1u64..1_000_000, segments);
    let live = prop::option::of((
        0u64..4_000_000_000_000,
        prop::option::of(1u64..1_000_000),
        prop::option::of(1u64..1_000_000),
    ));
    let periods = prop::collection::vec(period, 1..4);
    let bandwidths = prop::collection::vec(1u64..1_000_000_000, 1..5);
    (
        "[a-z<&\"' é]{0,12}",
        "(/s/[a-z&]{1,8}/)?",
        prop::option::of("/s/[a-z<&]{1,9}"),
        live,
        periods,
        bandwidths,
    )
        .prop_map(|(title, base, location, live, periods, bandwidths)| {
            let mut start_ms = 0;
            let periods: Vec<Period> = periods
                .into_iter()
                .map(|(id, length, segments)| {
                    let period = Period { id, start_ms, segments, bandwidths: bandwidths.clone() };
                    start_ms += length;
                    period
                })
                .collect();
            let live = live.map(|(from_ms, update_ms, window_ms)| Live {
                from_ms,
                update_ms,
                window_ms,
                published_ms: from_ms + 5,
            });
            let duration_ms = Some(start_ms).filter(|_| live.is_none() || start_ms % 2 == 0);
            Presentation { title, base_url: base, location, duration_ms, live, periods }
        })
}

proptest! {
    #[test]
    fn a_written_manifest_parses_to_the_same(presentation in presentation()) {
        prop_assert_eq!(parse(&presentation.to_xml()), Ok(presentation));
    }

    /// Each start time in a timeline maps to its own number, in order, and no other time maps to any.
    #[test]
    fn each_timeline_time_maps_to_its_own_number(presentation in presentation()) {
        let mut first = 1;
        for (i, period) in presentation.periods.iter().enumerate() {
            if let Segments::Timeline { entries, by_time: true, .. } = &period.segments {
                let times = entries.iter().flat_map(|e| (0..=e.repeat).map(|r| e.start + r * e.duration));
                let times: Vec<u64> = times.collect();
                for (n, time) in times.iter().enumerate() {
                    prop_assert_eq!(presentation.segment_number_at(first, *time), Some(first + n as u64));
                    if !times.contains(&(time + 1)) {
                        prop_assert_eq!(presentation.segment_number_at(first, time + 1), None);
                    }
                }
            }
            let mut shortened = presentation.clone();
            shortened.periods.truncate(i + 1);
            shortened.duration_ms = presentation.periods.get(i + 1).map(|next| next.start_ms).or(presentation.duration_ms);
            match shortened.segment_count() {
                Some(all) => first = all + 1,
                None => break,
            }
        }
    }

    #[test]
    fn arbitrary_text_does_not_panic_the_parser(text in "(<MPD|<Period|<S|[ a-zA-Z<>/=\"'0-9&;-]){0,60}") {
        let _ = parse(&text);
    }
}
