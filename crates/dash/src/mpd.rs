//! Media Presentation Descriptions (MPDs, ISO/IEC 23009-1): written for players, and parsed where a title is described by an
//! MPD file. Section numbers are those of the standard.
//!
//! The module supports what a front needs: static and dynamic MPDs (5.3.1), several Periods (5.3.2), the
//! Representations of their video sets, and a SegmentTemplate by number or by time, with a duration or with a
//! SegmentTimeline (5.3.9.4, 5.3.9.6). Other elements are ignored. Unsupported elements that would change where segments
//! are (a SegmentList, a BaseURL at a lower level, an open-ended timeline) are errors that name their place.
//!
//! Segments are numbered from 1 through all Periods, as on the media servers; [`Presentation::segment_number_at`] finds the
//! number of a segment that is addressed by its time.

mod parsing;
mod times;

pub use parsing::parse;
pub use times::format_date;
use times::format_duration;

use crate::address::{INITIALISATION_TEMPLATE, MEDIA_BY_TIME_TEMPLATE, MEDIA_TEMPLATE, TIME_PATH};
use quick_xml::events::{BytesDecl, BytesEnd, BytesStart, BytesText, Event};
use quick_xml::writer::Writer;

/// Size limit of an MPD, bytes.
pub const MAX_BYTES: usize = 1 << 20;
/// Maximum number of Periods.
pub const MAX_PERIODS: usize = 256;
/// Maximum number of Representations in a Period.
pub const MAX_REPRESENTATIONS: usize = 64;
/// Maximum number of timeline entries in a Period.
pub const MAX_TIMELINE_ENTRIES: usize = 20_000;
/// Maximum number of segments in all Periods.
pub const MAX_SEGMENTS: u64 = 1_000_000;
/// Maximum duration of a presentation, ms.
pub const MAX_DURATION_MS: u64 = 31 * 86_400_000;

/// The content of a manifest.
#[derive(Clone, Debug, PartialEq)]
pub struct Presentation {
    /// The title, as the MPD's id.
    pub title: String,
    /// BaseURL of the segments, relative to the manifest or absolute; ends in a slash. Empty if the MPD has none.
    pub base_url: String,
    /// URL from which players refresh the manifest, if it differs from its own.
    pub location: Option<String>,
    /// Total duration, ms; none while the end of a live title is not known.
    pub duration_ms: Option<u64>,
    /// Attributes of a dynamic MPD; none for a static one.
    pub live: Option<Live>,
    pub periods: Vec<Period>,
}

/// Attributes of a dynamic MPD (5.3.1.2).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Live {
    /// `availabilityStartTime`: when the first segment began, ms since 1970.
    pub from_ms: u64,
    /// `minimumUpdatePeriod`: how often players refresh the manifest, ms; none once it will not change any more.
    pub update_ms: Option<u64>,
    /// `timeShiftBufferDepth`: how far back segments are kept, ms; none if all are kept.
    pub window_ms: Option<u64>,
    /// `publishTime`, ms since 1970.
    pub published_ms: u64,
}

/// A Period and its video set.
#[derive(Clone, Debug, PartialEq)]
pub struct Period {
    pub id: String,
    /// Start within the presentation, ms.
    pub start_ms: u64,
    pub segments: Segments,
    /// `bandwidth` of the Representations, lowest first, bit/s.
    pub bandwidths: Vec<u64>,
}

/// Durations and addressing of the segments of a Period.
#[derive(Clone, Debug, PartialEq)]
pub enum Segments {
    /// All segments have the same duration, ms, and are addressed by number.
    FixedDuration { segment_ms: u64 },
    /// A timeline gives the segments' times, in units of 1/`timescale` s; they are addressed by time or by number.
    Timeline { timescale: u64, entries: Vec<TimelineEntry>, by_time: bool },
}

/// An `S` element of a SegmentTimeline: a segment of this duration, followed by `repeat` more of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimelineEntry {
    pub start: u64,
    pub duration: u64,
    pub repeat: u64,
}

/// Why an MPD is rejected, and where: the element and its byte position.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{element} at byte {position}: {cause}")]
pub struct MpdError {
    pub element: String,
    pub position: u64,
    pub cause: String,
}

/// Number of segments of equal duration in a Period of this duration, both in ms; at least 1.
pub fn segment_count(duration_ms: u64, segment_ms: u64) -> u64 {
    duration_ms.div_ceil(segment_ms.max(1)).max(1)
}

impl Segments {
    /// Number of segments in a Period of this duration, ms. A timeline gives the number by itself; for segments of fixed
    /// duration, the number is none if the Period's duration is not known.
    fn count(&self, duration_ms: Option<u64>) -> Option<u64> {
        match self {
            Segments::FixedDuration { segment_ms } => {
                duration_ms.map(|duration_ms| segment_count(duration_ms, *segment_ms))
            }
            Segments::Timeline { entries, .. } => Some(entries.iter().map(|e| e.repeat + 1).sum()),
        }
    }
}

impl Presentation {
    /// A static title of one Period, with segments of equal duration.
    pub fn single_period(title: String, duration_ms: u64, segment_ms: u64) -> Presentation {
        Presentation {
            title,
            base_url: String::new(),
            location: None,
            duration_ms: Some(duration_ms),
            live: None,
            periods: vec![Period {
                id: "1".into(),
                start_ms: 0,
                segments: Segments::FixedDuration { segment_ms },
                bandwidths: Vec::new(),
            }],
        }
    }

    /// Each Period and its duration, ms, where it is known: up to the start of the next Period, or to the end.
    fn periods_with_durations(&self) -> impl Iterator<Item = (&Period, Option<u64>)> {
        let ends = self.periods.iter().skip(1).map(|p| Some(p.start_ms)).chain([self.duration_ms]);
        self.periods.iter().zip(ends).map(|(p, end)| (p, end.map(|end| end.saturating_sub(p.start_ms))))
    }

    /// Duration of the longest segment, ms, rounded down.
    pub fn max_segment_ms(&self) -> u64 {
        let longest = self.periods.iter().map(|p| match &p.segments {
            Segments::FixedDuration { segment_ms } => *segment_ms,
            Segments::Timeline { timescale, entries, .. } => {
                entries.iter().map(|e| e.duration * 1000 / timescale).max().unwrap_or(0)
            }
        });
        longest.max().unwrap_or(0)
    }

    /// Number of segments in all Periods; none if a Period with segments of fixed duration has no known end, as in a live
    /// title.
    pub fn segment_count(&self) -> Option<u64> {
        self.periods_with_durations().map(|(period, duration_ms)| period.segments.count(duration_ms)).sum()
    }

    /// The number of the segment that begins at `time`, in units of the Period's timescale, in the Period whose first
    /// segment has the number `first`.
    pub fn segment_number_at(&self, first: u64, time: u64) -> Option<u64> {
        let mut count_before = 0;
        for (period, duration_ms) in self.periods_with_durations() {
            if count_before + 1 == first {
                let Segments::Timeline { entries, by_time: true, .. } = &period.segments else { return None };
                let mut number = first;
                for e in entries {
                    let offset = time.checked_sub(e.start)?;
                    if offset.is_multiple_of(e.duration) && offset / e.duration <= e.repeat {
                        return Some(number + offset / e.duration);
                    }
                    number += e.repeat + 1;
                }
                return None;
            }
            count_before += period.segments.count(duration_ms)?;
        }
        None
    }

    /// First and last segment number that may be requested at `now`, ms since 1970 (A.3.2, A.3.4). For a live title whose
    /// first Period has segments of fixed duration, these are the segments that are complete and still kept, with that
    /// duration for all Periods; the last complete segment stays available. For any other title they are all segments.
    /// None if there is none yet, or if the number of all segments is needed and not known.
    pub fn available_segments(&self, now: u64) -> Option<(u64, u64)> {
        let Some(live) = &self.live else { return Some((1, self.segment_count()?)) };
        let Segments::FixedDuration { segment_ms } = self.periods.first()?.segments else {
            return Some((1, self.segment_count()?));
        };
        let last = now.checked_sub(live.from_ms)? / segment_ms.max(1);
        let last = self.segment_count().map_or(last, |all| all.min(last));
        // A segment expires when the time-shift window after its end has passed.
        let expired_count = |window: u64| now.saturating_sub(live.from_ms + window) / segment_ms.max(1);
        let first = live.window_ms.map_or(1, |window| expired_count(window) + 1);
        (last > 0).then_some((first.min(last), last))
    }

    /// The MPD as XML text.
    pub fn to_xml(&self) -> String {
        let mut writer = Writer::new_with_indent(Vec::new(), b' ', 1);
        self.write_to(&mut writer).expect("writing to a vector does not fail");
        String::from_utf8(writer.into_inner()).expect("the XML is UTF-8")
    }

    fn write_to(&self, out: &mut Writer<Vec<u8>>) -> std::io::Result<()> {
        out.write_event(Event::Decl(BytesDecl::new("1.0", Some("UTF-8"), None)))?;
        let mut mpd = BytesStart::new("MPD");
        let mut set = |name: &str, value: &str| mpd.push_attribute((name, value));
        set("xmlns", "urn:mpeg:dash:schema:mpd:2011");
        set("id", &self.title);
        set("profiles", "urn:mpeg:dash:profile:isoff-live:2011");
        set("type", if self.live.is_some() { "dynamic" } else { "static" });
        if let Some(live) = &self.live {
            set("availabilityStartTime", &format_date(live.from_ms));
            set("publishTime", &format_date(live.published_ms));
            live.update_ms.into_iter().for_each(|ms| set("minimumUpdatePeriod", &format_duration(ms)));
            live.window_ms.into_iter().for_each(|ms| set("timeShiftBufferDepth", &format_duration(ms)));
        }
        self.duration_ms.into_iter().for_each(|ms| set("mediaPresentationDuration", &format_duration(ms)));
        set("minBufferTime", &format_duration(self.max_segment_ms()));
        out.write_event(Event::Start(mpd))?;
        if let Some(location) = &self.location {
            out.create_element("Location").write_text_content(BytesText::new(location))?;
        }
        if !self.base_url.is_empty() {
            out.create_element("BaseURL").write_text_content(BytesText::new(&self.base_url))?;
        }
        let mut first_number = 1;
        for (period, duration_ms) in self.periods_with_durations() {
            period.write_to(out, first_number)?;
            first_number += period.segments.count(duration_ms).unwrap_or(0);
        }
        if self.live.is_some() {
            // Players synchronise with the front's clock (5.8.4.11), by which segments become available.
            let timing = [("schemeIdUri", "urn:mpeg:dash:utc:http-head:2014"), ("value", TIME_PATH)];
            out.create_element("UTCTiming").with_attributes(timing).write_empty()?;
        }
        out.write_event(Event::End(BytesEnd::new("MPD")))
    }
}

impl Period {
    /// Writes the Period, whose first segment has the number `first_number`. A presentation does not hold the codec, so all
    /// Periods are written with the same: H.264, High profile, level 3.1.
    fn write_to(&self, out: &mut Writer<Vec<u8>>, first_number: u64) -> std::io::Result<()> {
        let attributes = [("id", self.id.as_str()), ("start", &format_duration(self.start_ms))];
        out.write_event(Event::Start(BytesStart::new("Period").with_attributes(attributes)))?;
        let attributes = [
            ("id", "1"),
            ("contentType", "video"),
            ("mimeType", "video/mp4"),
            ("codecs", "avc1.64001f"),
            ("segmentAlignment", "true"),
            ("startWithSAP", "1"),
            ("bitstreamSwitching", "true"),
        ];
        out.write_event(Event::Start(BytesStart::new("AdaptationSet").with_attributes(attributes)))?;
        let first_number = first_number.to_string();
        let mut template = BytesStart::new("SegmentTemplate");
        match &self.segments {
            Segments::FixedDuration { segment_ms } => {
                template.push_attribute(("timescale", "1000"));
                template.push_attribute(("duration", segment_ms.to_string().as_str()));
                template.push_attribute(("startNumber", first_number.as_str()));
                template.push_attribute(("initialization", INITIALISATION_TEMPLATE));
                template.push_attribute(("media", MEDIA_TEMPLATE));
                out.write_event(Event::Empty(template))?;
            }
            Segments::Timeline { timescale, entries, by_time } => {
                template.push_attribute(("timescale", timescale.to_string().as_str()));
                template.push_attribute(("startNumber", first_number.as_str()));
                template.push_attribute(("initialization", INITIALISATION_TEMPLATE));
                // Times are relative to the Period, so the address also holds the number of its first segment.
                let media = if *by_time {
                    MEDIA_BY_TIME_TEMPLATE.replace("FIRST", &first_number)
                } else {
                    MEDIA_TEMPLATE.into()
                };
                template.push_attribute(("media", media.as_str()));
                out.write_event(Event::Start(template))?;
                out.write_event(Event::Start(BytesStart::new("SegmentTimeline")))?;
                for e in entries {
                    let mut s = BytesStart::new("S");
                    s.push_attribute(("t", e.start.to_string().as_str()));
                    s.push_attribute(("d", e.duration.to_string().as_str()));
                    if e.repeat > 0 {
                        s.push_attribute(("r", e.repeat.to_string().as_str()));
                    }
                    out.write_event(Event::Empty(s))?;
                }
                out.write_event(Event::End(BytesEnd::new("SegmentTimeline")))?;
                out.write_event(Event::End(BytesEnd::new("SegmentTemplate")))?;
            }
        }
        for (rung, bandwidth) in self.bandwidths.iter().enumerate() {
            // The attribute is mandatory, and `parse` rejects 0.
            let attributes = [("id", rung.to_string()), ("bandwidth", bandwidth.max(&1).to_string())];
            let attributes = attributes.iter().map(|(name, value)| (*name, value.as_str()));
            out.write_event(Event::Empty(BytesStart::new("Representation").with_attributes(attributes)))?;
        }
        out.write_event(Event::End(BytesEnd::new("AdaptationSet")))?;
        out.write_event(Event::End(BytesEnd::new("Period")))
    }
}
