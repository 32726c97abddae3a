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

use crate::address::{INITIALISATION_TEMPLATE, MEDIA_BY_TIME_TEMPLATE, MEDIA_TEMPLATE, TIME_PATH};
use quick_xml::Reader;
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

/// A duration in XML (XML Schema part 2, 3.2.6).
fn format_duration(ms: u64) -> String {
    format!("PT{}S", ms as f64 / 1000.0)
}

/// Days from 1970-01-01 to 1 March of a year. Dates are computed in years that begin on 1 March, so that the leap day
/// comes last. There are 719 468 days from 0000-03-01 to 1970-01-01.
fn days_to_march(year: i64) -> i64 {
    365 * year + year.div_euclid(4) - year.div_euclid(100) + year.div_euclid(400) - 719_468
}

/// A date and time in UTC (XML Schema part 2, 3.2.7), from ms since 1970.
pub fn format_date(ms: u64) -> String {
    let (days, rest) = ((ms / 86_400_000) as i64, ms % 86_400_000);
    let mut year = 1970 + days / 365;
    while days_to_march(year) > days {
        year -= 1;
    }
    // From March on, the lengths of months repeat: 31, 30, 31, 30, 31 days, 153 in all.
    let day_of_year = days - days_to_march(year);
    let month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month + 2) / 5 + 1;
    let (month, year) = if month < 10 { (month + 3, year) } else { (month - 9, year + 1) };
    let (s, ms) = (rest / 1000, rest % 1000);
    format!("{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}.{ms:03}Z", s / 3600, s / 60 % 60, s % 60)
}

// ---- Parsing ----

/// Parses `PnDTnHnMn.nS` to ms; years and months have no fixed length and are rejected. The order of the units is not
/// checked.
fn parse_duration(text: &str) -> Option<u64> {
    let (mut ms, mut number, mut in_time) = (0f64, String::new(), false);
    for c in text.strip_prefix('P')?.chars() {
        let unit = match c {
            'T' if !in_time && number.is_empty() => {
                in_time = true;
                continue;
            }
            '0'..='9' | '.' => {
                number.push(c);
                continue;
            }
            'D' if !in_time => 86_400_000.0,
            'H' if in_time => 3_600_000.0,
            'M' if in_time => 60_000.0,
            'S' if in_time => 1000.0,
            _ => return None,
        };
        ms += number.parse::<f64>().ok()? * unit;
        number.clear();
    }
    let is_complete = number.is_empty() && text.ends_with(['D', 'H', 'M', 'S']);
    (is_complete && ms <= 1e15).then(|| ms.round() as u64)
}

/// Parses `YYYY-MM-DDThh:mm:ss[.fff][Z]`, in UTC, to ms since 1970. A day beyond the end of its month, up to 31, counts on
/// into the next month.
fn parse_date(text: &str) -> Option<u64> {
    let (day, time) = text.strip_suffix('Z').unwrap_or(text).split_once('T')?;
    let digits = |s: &str| s.bytes().all(|b| b.is_ascii_digit()).then(|| s.parse::<i64>().ok())?;
    let [year, month, day]: [i64; 3] =
        day.split('-').map(digits).collect::<Option<Vec<_>>>()?.try_into().ok()?;
    let (time_of_day, fraction) = time.split_once('.').unwrap_or((time, "0"));
    let [hour, minute, second]: [i64; 3] =
        time_of_day.split(':').map(digits).collect::<Option<Vec<_>>>()?.try_into().ok()?;
    let is_valid = (1970..=9999).contains(&year)
        && (1..=12).contains(&month)
        && (1..=31).contains(&day)
        && hour < 24
        && minute < 60
        && second < 60
        && fraction.len() <= 9;
    digits(fraction).filter(|_| is_valid)?;
    let (march_year, from_march) = if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let days = days_to_march(march_year) + (153 * from_march + 2) / 5 + day - 1;
    let ms = (format!("0.{fraction}").parse::<f64>().ok()? * 1000.0).round() as i64;
    u64::try_from(((days * 24 + hour) * 60 + minute) * 60_000 + second * 1000 + ms).ok()
}

/// A Period as it is parsed, before its neighbours are known.
#[derive(Default)]
struct RawPeriod {
    id: String,
    start_ms: Option<u64>,
    duration_ms: Option<u64>,
    /// Timescale, segment duration if given, and whether segments are addressed by time.
    template: Option<(u64, Option<u64>, bool)>,
    entries: Option<Vec<TimelineEntry>>,
    bandwidths: Vec<u64>,
}

/// Place in the document, for errors.
struct ParseContext {
    position: u64,
    element: String,
}

impl ParseContext {
    /// An error at the current place.
    fn error<T>(&self, cause: impl Into<String>) -> Result<T, MpdError> {
        Err(MpdError { element: self.element.clone(), position: self.position, cause: cause.into() })
    }

    /// The value of an attribute without a namespace prefix, if present.
    fn attribute(&self, start: &BytesStart, name: &str) -> Result<Option<String>, MpdError> {
        for attribute in start.attributes() {
            let Ok(attribute) = attribute else { return self.error("an attribute is malformed") };
            if attribute.key.local_name().as_ref() == name.as_bytes() && attribute.key.prefix().is_none() {
                return match attribute.unescape_value() {
                    Ok(value) => Ok(Some(value.into_owned())),
                    Err(_) => self.error(format!("{name} is malformed")),
                };
            }
        }
        Ok(None)
    }

    /// An attribute converted by `parse`, if present; an error if it does not convert.
    fn parsed_attribute<T>(
        &self,
        start: &BytesStart,
        name: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Result<Option<T>, MpdError> {
        match self.attribute(start, name)? {
            None => Ok(None),
            Some(text) => match parse(&text) {
                Some(value) => Ok(Some(value)),
                None => {
                    let shown: String = text.chars().take(40).collect();
                    self.error(format!("{name} has the invalid value {shown:?}"))
                }
            },
        }
    }

    /// An attribute that is an integer of at most 2^53.
    fn number_attribute(&self, start: &BytesStart, name: &str) -> Result<Option<u64>, MpdError> {
        self.parsed_attribute(start, name, |text| text.parse().ok().filter(|n| *n <= 1 << 53))
    }
}

/// Parses an MPD. Unsupported elements are ignored or rejected, as the module documentation says.
pub fn parse(text: &str) -> Result<Presentation, MpdError> {
    let mut context = ParseContext { position: 0, element: "MPD".into() };
    if text.len() > MAX_BYTES {
        return context.error(format!("{} bytes, more than {MAX_BYTES}", text.len()));
    }
    let mut reader = Reader::from_str(text);
    let mut path: Vec<String> = Vec::new();
    let mut mpd: Option<Presentation> = None;
    let (mut raw_periods, mut content) = (Vec::<RawPeriod>::new(), String::new());
    // Depth of an AdaptationSet that is skipped with its content: one that is not video, or a further video set.
    let mut skip_depth: Option<usize> = None;
    loop {
        context.position = reader.buffer_position();
        let event = match reader.read_event() {
            Ok(event) => event,
            Err(e) => return context.error(format!("not valid XML: {e}")),
        };
        let (start, empty) = match &event {
            Event::Start(start) => (start, false),
            Event::Empty(start) => (start, true),
            Event::Text(part) => {
                match part.decode() {
                    Ok(part) if content.len() + part.len() <= 4096 => content.push_str(&part),
                    _ => return context.error("text is malformed or over 4096 bytes"),
                }
                continue;
            }
            Event::GeneralRef(name) => {
                let name = name.decode().unwrap_or_default();
                match quick_xml::escape::unescape(&format!("&{name};")) {
                    Ok(text) if content.len() < 4096 => content.push_str(&text),
                    _ => return context.error("unknown entity, or text over 4096 bytes"),
                }
                continue;
            }
            Event::End(_) => {
                let Some(name) = path.pop() else { return context.error("end tag without a start tag") };
                let text = std::mem::take(&mut content).trim().to_string();
                match (name.as_str(), path.len(), mpd.as_mut()) {
                    ("BaseURL", 1, Some(mpd)) if mpd.base_url.is_empty() => mpd.base_url = text,
                    ("Location", 1, Some(mpd)) => mpd.location = Some(text),
                    _ => {}
                }
                skip_depth = skip_depth.filter(|depth| path.len() > *depth);
                context.element = path.last().cloned().unwrap_or_else(|| "MPD".into());
                continue;
            }
            Event::Eof if !path.is_empty() => return context.error("the document ends inside an element"),
            Event::Eof => break,
            Event::DocType(_) => return context.error("a DOCTYPE is not allowed"),
            _ => continue,
        };
        let name = String::from_utf8_lossy(start.local_name().as_ref()).into_owned();
        context.element = name.clone();
        content.clear();
        let parents: Vec<&str> = path.iter().map(String::as_str).collect();
        if skip_depth.is_none() {
            match (parents.as_slice(), name.as_str()) {
                ([], "MPD") if mpd.is_none() => mpd = Some(parse_root(&context, start)?),
                ([], _) => return context.error("the document must have one MPD as its root"),
                (["MPD"], "Period") => {
                    if raw_periods.len() == MAX_PERIODS {
                        return context.error(format!("more than {MAX_PERIODS} Periods"));
                    }
                    raw_periods.push(RawPeriod {
                        id: context
                            .attribute(start, "id")?
                            .unwrap_or_else(|| (raw_periods.len() + 1).to_string()),
                        start_ms: context.parsed_attribute(start, "start", parse_duration)?,
                        duration_ms: context.parsed_attribute(start, "duration", parse_duration)?,
                        ..RawPeriod::default()
                    });
                }
                (["MPD", "Period", ..], "BaseURL" | "SegmentList" | "SegmentBase") => {
                    return context.error("only a SegmentTemplate is supported within a Period");
                }
                (["MPD", "Period"], "AdaptationSet") => {
                    let content_type =
                        context.attribute(start, "contentType")?.or(context.attribute(start, "mimeType")?);
                    // A set with neither attribute counts as video.
                    let is_video = content_type.is_none_or(|kind| kind.starts_with("video"));
                    let has_video_set = raw_periods.last().is_some_and(|raw| !raw.bandwidths.is_empty());
                    skip_depth = (!is_video || has_video_set).then_some(path.len());
                }
                (["MPD", "Period", ..], "SegmentTemplate") => {
                    let Some(raw) = raw_periods.last_mut() else { return context.error("outside a Period") };
                    let timescale = context.number_attribute(start, "timescale")?.unwrap_or(1);
                    if timescale == 0 || timescale > 1_000_000_000 {
                        return context.error("timescale is not in 1 to 1000000000");
                    }
                    let media = context.attribute(start, "media")?.unwrap_or_default();
                    if raw.template.is_some() {
                        return context.error("more than one SegmentTemplate in the video of a Period");
                    }
                    let by_time = media.contains("$Time");
                    raw.template = Some((timescale, context.number_attribute(start, "duration")?, by_time));
                }
                (["MPD", "Period", .., "SegmentTemplate"], "SegmentTimeline") => {
                    if let Some(raw) = raw_periods.last_mut() {
                        raw.entries = Some(Vec::new());
                    }
                }
                ([.., "SegmentTimeline"], "S") => {
                    let entries = raw_periods.last_mut().and_then(|raw| raw.entries.as_mut());
                    let Some(entries) = entries else { return context.error("outside a Period") };
                    parse_timeline_entry(&context, start, entries)?;
                }
                (["MPD", "Period", "AdaptationSet"], "Representation") => {
                    let Some(raw) = raw_periods.last_mut() else { return context.error("outside a Period") };
                    match context.number_attribute(start, "bandwidth")? {
                        Some(n) if n > 0 => raw.bandwidths.push(n),
                        _ => return context.error("bandwidth is missing or 0"),
                    }
                    if raw.bandwidths.len() > MAX_REPRESENTATIONS {
                        return context.error(format!("more than {MAX_REPRESENTATIONS} Representations"));
                    }
                }
                _ => {}
            }
        }
        if empty {
            skip_depth = skip_depth.filter(|depth| path.len() > *depth);
        } else {
            path.push(name);
            if path.len() > 32 {
                return context.error("over 32 elements deep");
            }
        }
    }
    let Some(mpd) = mpd else { return context.error("the document has no MPD element") };
    assemble(&context, mpd, raw_periods)
}

/// Parses the attributes of the root element.
fn parse_root(context: &ParseContext, start: &BytesStart) -> Result<Presentation, MpdError> {
    let duration_ms = context.parsed_attribute(start, "mediaPresentationDuration", parse_duration)?;
    let live = match context.attribute(start, "type")?.as_deref() {
        Some("dynamic") => {
            let Some(from_ms) = context.parsed_attribute(start, "availabilityStartTime", parse_date)? else {
                return context.error("a dynamic MPD needs an availabilityStartTime");
            };
            Some(Live {
                from_ms,
                update_ms: context.parsed_attribute(start, "minimumUpdatePeriod", parse_duration)?,
                window_ms: context.parsed_attribute(start, "timeShiftBufferDepth", parse_duration)?,
                published_ms: context.parsed_attribute(start, "publishTime", parse_date)?.unwrap_or(from_ms),
            })
        }
        Some("static") | None => None,
        Some(other) => return context.error(format!("type {other:?} is neither static nor dynamic")),
    };
    let title = context.attribute(start, "id")?.unwrap_or_default();
    Ok(Presentation {
        title,
        base_url: String::new(),
        location: None,
        duration_ms,
        live,
        periods: Vec::new(),
    })
}

/// Parses an `S` element (5.3.9.6). Without `t` it follows the entry before. A negative `r` would repeat up to an end that
/// the element does not give, and is rejected.
fn parse_timeline_entry(
    context: &ParseContext,
    element: &BytesStart,
    entries: &mut Vec<TimelineEntry>,
) -> Result<(), MpdError> {
    if entries.len() == MAX_TIMELINE_ENTRIES {
        return context.error(format!("more than {MAX_TIMELINE_ENTRIES} entries"));
    }
    let Some(duration) = context.number_attribute(element, "d")?.filter(|d| *d > 0) else {
        return context.error("d is missing or 0");
    };
    let repeat = match context.parsed_attribute(element, "r", |text| text.parse::<i64>().ok())?.unwrap_or(0) {
        r if r < 0 => return context.error("an open-ended repetition is not supported"),
        r if r as u64 >= MAX_SEGMENTS => return context.error(format!("over {MAX_SEGMENTS} segments")),
        r => r as u64,
    };
    let earliest_start = match entries.last() {
        Some(e) => e.duration.checked_mul(e.repeat + 1).and_then(|length| e.start.checked_add(length)),
        None => Some(0),
    };
    let Some(earliest_start) = earliest_start else { return context.error("time overflow") };
    let start_time = context.number_attribute(element, "t")?.unwrap_or(earliest_start);
    if start_time < earliest_start {
        return context
            .error(format!("t is {start_time}, before the end of the previous entry, {earliest_start}"));
    }
    entries.push(TimelineEntry { start: start_time, duration, repeat });
    Ok(())
}

/// Assembles the Periods into the presentation, and checks it as a whole.
fn assemble(
    context: &ParseContext,
    mut mpd: Presentation,
    raw_periods: Vec<RawPeriod>,
) -> Result<Presentation, MpdError> {
    let error = |cause: String| Err(MpdError { element: "MPD".into(), position: context.position, cause });
    if raw_periods.is_empty() {
        return error("has no Period".into());
    }
    let mut end_ms = Some(0);
    for raw in raw_periods {
        let place = format!("Period {:?}", raw.id.chars().take(40).collect::<String>());
        let Some(start_ms) = raw.start_ms.or(end_ms) else {
            return error(format!("{place}: has no start, and the previous Period has no duration"));
        };
        if end_ms.is_some_and(|end| start_ms < end)
            || mpd.periods.last().is_some_and(|p| start_ms <= p.start_ms)
        {
            return error(format!("{place}: begins before the previous Period ends"));
        }
        let Some((timescale, duration, by_time)) = raw.template else {
            return error(format!("{place}: has no SegmentTemplate"));
        };
        let segments = match (raw.entries, duration) {
            (Some(entries), _) if entries.is_empty() => {
                return error(format!("{place}: its timeline is empty"));
            }
            (Some(entries), _) => Segments::Timeline { timescale, entries, by_time },
            (None, Some(duration)) => {
                let segment_ms = (duration as f64 * 1000.0 / timescale as f64).round() as u64;
                if segment_ms == 0 {
                    return error(format!("{place}: segments shorter than 1 ms"));
                }
                Segments::FixedDuration { segment_ms }
            }
            (None, None) => return error(format!("{place}: has neither a duration nor a timeline")),
        };
        if raw.bandwidths.is_empty() {
            return error(format!("{place}: has no video Representation"));
        }
        if mpd.periods.last().is_some_and(|p| p.bandwidths.len() != raw.bandwidths.len()) {
            return error(format!(
                "{place}: has a different number of Representations than the previous Period"
            ));
        }
        end_ms = raw.duration_ms.map(|duration_ms| start_ms.saturating_add(duration_ms));
        mpd.periods.push(Period { id: raw.id, start_ms, segments, bandwidths: raw.bandwidths });
    }
    mpd.duration_ms = mpd.duration_ms.or(end_ms).filter(|ms| *ms > 0);
    if mpd.live.is_none() && mpd.duration_ms.is_none() {
        return error(
            "a static MPD needs a mediaPresentationDuration, or a duration of its last Period".into(),
        );
    }
    if mpd.duration_ms.is_some_and(|ms| ms > MAX_DURATION_MS) {
        return error(format!("longer than {MAX_DURATION_MS} ms"));
    }
    if mpd.segment_count().is_some_and(|n| n > MAX_SEGMENTS) {
        return error(format!("over {MAX_SEGMENTS} segments"));
    }
    Ok(mpd)
}
