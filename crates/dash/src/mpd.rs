//! Media Presentation Descriptions (ISO/IEC 23009-1): written for players, and read where a title is described by one.
//!
//! What is known of them here is what a front needs: static and dynamic ones (5.3.1), several Periods (5.3.2), the
//! Representations of their video sets, and a SegmentTemplate by number or by time, with a duration or with a
//! SegmentTimeline (5.3.9.4, 5.3.9.6). What is read besides is passed over; what would change where segments are
//! and is not known (a SegmentList, a BaseURL of a lower level, an open-ended timeline) is refused by its place.
//!
//! Segments are numbered from 1 through all Periods, as media servers know them; [`Presentation::at_time`] finds the
//! number of one that is addressed by its time.

use crate::address::{INITIALISATION, MEDIA, MEDIA_BY_TIME, TIME};
use quick_xml::Reader;
use quick_xml::events::{BytesDecl, BytesEnd, BytesStart, BytesText, Event};
use quick_xml::writer::Writer;

/// The largest MPD that is read, bytes; Periods, Representations of one, and timeline entries of one at most.
pub const MAX_BYTES: usize = 1 << 20;
pub const MAX_PERIODS: usize = 256;
pub const MAX_RUNGS: usize = 64;
pub const MAX_ENTRIES: usize = 20_000;
/// Segments in all, and the longest presentation, ms.
pub const MAX_SEGMENTS: u64 = 1_000_000;
pub const MAX_DURATION_MS: u64 = 31 * 86_400_000;

/// What a manifest tells of a play.
#[derive(Clone, Debug, PartialEq)]
pub struct Presentation {
    /// The title, as the MPD's id.
    pub title: String,
    /// Where the segments are, relative to the manifest or absolute; ends in a slash. Empty where it tells none.
    pub base: String,
    /// Where to ask for the manifest again, if not where it came from.
    pub location: Option<String>,
    /// How long it is in all, ms; none while a live title has no known end.
    pub duration_ms: Option<u64>,
    pub live: Option<Live>,
    pub periods: Vec<Period>,
}

/// What a dynamic one tells (5.3.1.2).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Live {
    /// When its first segment began, ms since 1970: `availabilityStartTime`.
    pub from_ms: u64,
    /// How often players ask again; none once nothing more will change.
    pub update_ms: Option<u64>,
    /// How far back segments are kept: `timeShiftBufferDepth`; none for all of them.
    pub window_ms: Option<u64>,
    pub published_ms: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Period {
    pub id: String,
    pub start_ms: u64,
    pub segments: Segments,
    /// `bandwidth` of the Representations, lowest first, bit/s.
    pub bandwidths: Vec<u64>,
}

/// How the segments of a Period are told.
#[derive(Clone, Debug, PartialEq)]
pub enum Segments {
    /// All of a length, ms, addressed by number.
    Even { segment_ms: u64 },
    /// Each by its entry, in units of a second's `timescale`, and addressed by time or by number.
    Timeline { timescale: u64, entries: Vec<TimelineEntry>, by_time: bool },
}

/// `S` of a SegmentTimeline: `repeat` more like the first, each `duration` long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimelineEntry {
    pub start: u64,
    pub duration: u64,
    pub repeat: u64,
}

/// Why an MPD is not taken, and where: the element, and the byte that it is at.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{element} at byte {at}: {cause}")]
pub struct MpdError {
    pub element: String,
    pub at: u64,
    pub cause: String,
}

pub fn segments(duration_ms: u64, segment_ms: u64) -> u64 {
    duration_ms.div_ceil(segment_ms.max(1)).max(1)
}

impl Segments {
    /// How many there are in a Period that is so long; none while that is not known.
    fn count(&self, length_ms: Option<u64>) -> Option<u64> {
        match self {
            Segments::Even { segment_ms } => length_ms.map(|length| segments(length, *segment_ms)),
            Segments::Timeline { entries, .. } => Some(entries.iter().map(|e| e.repeat + 1).sum()),
        }
    }
}

impl Presentation {
    /// A title of one Period with segments of one length.
    pub fn plain(title: String, duration_ms: u64, segment_ms: u64) -> Presentation {
        Presentation {
            title,
            base: String::new(),
            location: None,
            duration_ms: Some(duration_ms),
            live: None,
            periods: vec![Period {
                id: "1".into(),
                start_ms: 0,
                segments: Segments::Even { segment_ms },
                bandwidths: Vec::new(),
            }],
        }
    }

    /// Each Period's length, where it is known: up to the next one's start, or to the end.
    fn lengths(&self) -> impl Iterator<Item = (&Period, Option<u64>)> {
        let ends = self.periods.iter().skip(1).map(|p| Some(p.start_ms)).chain([self.duration_ms]);
        self.periods.iter().zip(ends).map(|(p, end)| (p, end.map(|end| end.saturating_sub(p.start_ms))))
    }

    /// The longest segment, ms.
    pub fn longest_segment(&self) -> u64 {
        let longest = self.periods.iter().map(|p| match &p.segments {
            Segments::Even { segment_ms } => *segment_ms,
            Segments::Timeline { timescale, entries, .. } => {
                entries.iter().map(|e| e.duration * 1000 / timescale).max().unwrap_or(0)
            }
        });
        longest.max().unwrap_or(0)
    }

    /// How many segments there are, numbered from 1; none while a live title has no known end.
    pub fn segments(&self) -> Option<u64> {
        self.lengths().map(|(period, length)| period.segments.count(length)).sum()
    }

    /// The number of the segment that begins at `time` in units of the Period's timescale, in the Period whose first
    /// segment is `first`.
    pub fn at_time(&self, first: u64, time: u64) -> Option<u64> {
        let mut before = 0;
        for (period, length) in self.lengths() {
            if before + 1 == first {
                let Segments::Timeline { entries, by_time: true, .. } = &period.segments else { return None };
                let mut number = first;
                for e in entries {
                    let past = time.checked_sub(e.start)?;
                    if past.is_multiple_of(e.duration) && past / e.duration <= e.repeat {
                        return Some(number + past / e.duration);
                    }
                    number += e.repeat + 1;
                }
                return None;
            }
            before += period.segments.count(length)?;
        }
        None
    }

    /// First and last number that may be asked for at `now`, ms since 1970 (A.3.2, A.3.4): of a live title the
    /// segments that are complete and still kept, of another all of them. None where there is none yet.
    pub fn available(&self, now: u64) -> Option<(u64, u64)> {
        let Some(live) = &self.live else { return Some((1, self.segments()?)) };
        let Segments::Even { segment_ms } = self.periods.first()?.segments else {
            return Some((1, self.segments()?));
        };
        let last = now.checked_sub(live.from_ms)? / segment_ms.max(1);
        let last = self.segments().map_or(last, |all| all.min(last));
        // A segment is kept until its end and the window are past.
        let gone = |window: u64| now.saturating_sub(live.from_ms + window) / segment_ms.max(1);
        let first = live.window_ms.map_or(1, |window| gone(window) + 1);
        (last > 0).then_some((first.min(last), last))
    }

    pub fn write(&self) -> String {
        let mut writer = Writer::new_with_indent(Vec::new(), b' ', 1);
        self.write_to(&mut writer).expect("a vector takes all that is written");
        String::from_utf8(writer.into_inner()).expect("what is written is text")
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
            set("availabilityStartTime", &date(live.from_ms));
            set("publishTime", &date(live.published_ms));
            live.update_ms.into_iter().for_each(|ms| set("minimumUpdatePeriod", &span(ms)));
            live.window_ms.into_iter().for_each(|ms| set("timeShiftBufferDepth", &span(ms)));
        }
        self.duration_ms.into_iter().for_each(|ms| set("mediaPresentationDuration", &span(ms)));
        set("minBufferTime", &span(self.longest_segment()));
        out.write_event(Event::Start(mpd))?;
        if let Some(location) = &self.location {
            out.create_element("Location").write_text_content(BytesText::new(location))?;
        }
        if !self.base.is_empty() {
            out.create_element("BaseURL").write_text_content(BytesText::new(&self.base))?;
        }
        let mut first = 1;
        for (period, length) in self.lengths() {
            period.write_to(out, first)?;
            first += period.segments.count(length).unwrap_or(0);
        }
        if self.live.is_some() {
            // Players set their clocks by the front's (5.8.4.11): segments are there by its time.
            let utc = [("schemeIdUri", "urn:mpeg:dash:utc:http-head:2014"), ("value", TIME)];
            out.create_element("UTCTiming").with_attributes(utc).write_empty()?;
        }
        out.write_event(Event::End(BytesEnd::new("MPD")))
    }
}

impl Period {
    fn write_to(&self, out: &mut Writer<Vec<u8>>, first: u64) -> std::io::Result<()> {
        let start = [("id", self.id.as_str()), ("start", &span(self.start_ms))];
        out.write_event(Event::Start(BytesStart::new("Period").with_attributes(start)))?;
        let set = [
            ("id", "1"),
            ("contentType", "video"),
            ("mimeType", "video/mp4"),
            ("codecs", "avc1.64001f"),
            ("segmentAlignment", "true"),
            ("startWithSAP", "1"),
            ("bitstreamSwitching", "true"),
        ];
        out.write_event(Event::Start(BytesStart::new("AdaptationSet").with_attributes(set)))?;
        let first = first.to_string();
        let mut template = BytesStart::new("SegmentTemplate");
        match &self.segments {
            Segments::Even { segment_ms } => {
                template.push_attribute(("timescale", "1000"));
                template.push_attribute(("duration", segment_ms.to_string().as_str()));
                template.push_attribute(("startNumber", first.as_str()));
                template.push_attribute(("initialization", INITIALISATION));
                template.push_attribute(("media", MEDIA));
                out.write_event(Event::Empty(template))?;
            }
            Segments::Timeline { timescale, entries, by_time } => {
                template.push_attribute(("timescale", timescale.to_string().as_str()));
                template.push_attribute(("startNumber", first.as_str()));
                template.push_attribute(("initialization", INITIALISATION));
                // Times begin anew in each Period, so they go beside the number of its first segment.
                let by_time = if *by_time { MEDIA_BY_TIME.replace("FIRST", &first) } else { MEDIA.into() };
                template.push_attribute(("media", by_time.as_str()));
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
            let of = [("id", rung.to_string()), ("bandwidth", bandwidth.max(&1).to_string())];
            let of = of.iter().map(|(name, value)| (*name, value.as_str()));
            out.write_event(Event::Empty(BytesStart::new("Representation").with_attributes(of)))?;
        }
        out.write_event(Event::End(BytesEnd::new("AdaptationSet")))?;
        out.write_event(Event::End(BytesEnd::new("Period")))
    }
}

/// A span of time as XML has it (XML Schema part 2, 3.2.6).
fn span(ms: u64) -> String {
    format!("PT{}S", ms as f64 / 1000.0)
}

/// Days from 1970 to the first of March of that year, as years are counted from March.
fn days_to_march(year: i64) -> i64 {
    365 * year + year.div_euclid(4) - year.div_euclid(100) + year.div_euclid(400) - 719_468
}

/// A time of day and date, in UTC (XML Schema part 2, 3.2.7).
pub fn date(ms: u64) -> String {
    let (days, rest) = ((ms / 86_400_000) as i64, ms % 86_400_000);
    let mut year = 1970 + days / 365;
    while days_to_march(year) > days {
        year -= 1;
    }
    // From March on, months are 31, 30, 31, 30, 31 days long, and again.
    let of_year = days - days_to_march(year);
    let month = (5 * of_year + 2) / 153;
    let day = of_year - (153 * month + 2) / 5 + 1;
    let (month, year) = if month < 10 { (month + 3, year) } else { (month - 9, year + 1) };
    let (s, ms) = (rest / 1000, rest % 1000);
    format!("{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}.{ms:03}Z", s / 3600, s / 60 % 60, s % 60)
}

// ---- reading ----

/// Reads `PnDTnHnMn.nS`; years and months have no fixed length and are not taken.
fn read_span(text: &str) -> Option<u64> {
    let (mut ms, mut number, mut time) = (0f64, String::new(), false);
    for c in text.strip_prefix('P')?.chars() {
        let unit = match c {
            'T' if !time && number.is_empty() => {
                time = true;
                continue;
            }
            '0'..='9' | '.' => {
                number.push(c);
                continue;
            }
            'D' if !time => 86_400_000.0,
            'H' if time => 3_600_000.0,
            'M' if time => 60_000.0,
            'S' if time => 1000.0,
            _ => return None,
        };
        ms += number.parse::<f64>().ok()? * unit;
        number.clear();
    }
    let whole = number.is_empty() && text.ends_with(['D', 'H', 'M', 'S']);
    (whole && ms <= 1e15).then(|| ms.round() as u64)
}

/// Reads `YYYY-MM-DDThh:mm:ss[.fff][Z]`, in UTC.
fn read_date(text: &str) -> Option<u64> {
    let (day, time) = text.strip_suffix('Z').unwrap_or(text).split_once('T')?;
    let digits = |s: &str| s.bytes().all(|b| b.is_ascii_digit()).then(|| s.parse::<i64>().ok())?;
    let [year, month, day]: [i64; 3] =
        day.split('-').map(digits).collect::<Option<Vec<_>>>()?.try_into().ok()?;
    let (whole, part) = time.split_once('.').unwrap_or((time, "0"));
    let [hour, minute, second]: [i64; 3] =
        whole.split(':').map(digits).collect::<Option<Vec<_>>>()?.try_into().ok()?;
    let known = (1970..=9999).contains(&year)
        && (1..=12).contains(&month)
        && (1..=31).contains(&day)
        && hour < 24
        && minute < 60
        && second < 60
        && part.len() <= 9;
    digits(part).filter(|_| known)?;
    let (march_year, from_march) = if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let days = days_to_march(march_year) + (153 * from_march + 2) / 5 + day - 1;
    let ms = (format!("0.{part}").parse::<f64>().ok()? * 1000.0).round() as i64;
    u64::try_from(((days * 24 + hour) * 60 + minute) * 60_000 + second * 1000 + ms).ok()
}

/// A Period as it is read, before its neighbours are known.
#[derive(Default)]
struct Raw {
    id: String,
    start_ms: Option<u64>,
    duration_ms: Option<u64>,
    template: Option<(u64, Option<u64>, bool)>,
    entries: Option<Vec<TimelineEntry>>,
    bandwidths: Vec<u64>,
}

struct Reading {
    at: u64,
    element: String,
}

impl Reading {
    fn fault<T>(&self, cause: impl Into<String>) -> Result<T, MpdError> {
        Err(MpdError { element: self.element.clone(), at: self.at, cause: cause.into() })
    }

    fn attribute(&self, start: &BytesStart, name: &str) -> Result<Option<String>, MpdError> {
        for attribute in start.attributes() {
            let Ok(attribute) = attribute else { return self.fault("an attribute is malformed") };
            if attribute.key.local_name().as_ref() == name.as_bytes() && attribute.key.prefix().is_none() {
                return match attribute.unescape_value() {
                    Ok(value) => Ok(Some(value.into_owned())),
                    Err(_) => self.fault(format!("{name} is malformed")),
                };
            }
        }
        Ok(None)
    }

    fn by<T>(
        &self,
        start: &BytesStart,
        name: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Result<Option<T>, MpdError> {
        match self.attribute(start, name)? {
            None => Ok(None),
            Some(text) => match read(&text) {
                Some(value) => Ok(Some(value)),
                None => {
                    let shown: String = text.chars().take(40).collect();
                    self.fault(format!("{name} is {shown:?}"))
                }
            },
        }
    }

    fn number(&self, start: &BytesStart, name: &str) -> Result<Option<u64>, MpdError> {
        self.by(start, name, |text| text.parse().ok().filter(|n| *n <= 1 << 53))
    }
}

/// Reads an MPD. What is not known is passed over or refused as the module says.
pub fn parse(text: &str) -> Result<Presentation, MpdError> {
    let mut it = Reading { at: 0, element: "MPD".into() };
    if text.len() > MAX_BYTES {
        return it.fault(format!("{} bytes; {MAX_BYTES} at most", text.len()));
    }
    let mut reader = Reader::from_str(text);
    let mut path: Vec<String> = Vec::new();
    let mut mpd: Option<Presentation> = None;
    let (mut raw, mut content) = (Vec::<Raw>::new(), String::new());
    // Sets of other kinds than video are passed over, with all that is in them.
    let mut passing: Option<usize> = None;
    loop {
        it.at = reader.buffer_position();
        let event = match reader.read_event() {
            Ok(event) => event,
            Err(e) => return it.fault(format!("not read as XML: {e}")),
        };
        let (start, empty) = match &event {
            Event::Start(start) => (start, false),
            Event::Empty(start) => (start, true),
            Event::Text(part) => {
                match part.decode() {
                    Ok(part) if content.len() + part.len() <= 4096 => content.push_str(&part),
                    _ => return it.fault("text is malformed or over 4096 bytes"),
                }
                continue;
            }
            Event::GeneralRef(name) => {
                let name = name.decode().unwrap_or_default();
                match quick_xml::escape::unescape(&format!("&{name};")) {
                    Ok(text) if content.len() < 4096 => content.push_str(&text),
                    _ => return it.fault("an entity is not known"),
                }
                continue;
            }
            Event::End(_) => {
                let Some(name) = path.pop() else { return it.fault("ends what never began") };
                let text = std::mem::take(&mut content).trim().to_string();
                match (name.as_str(), path.len(), mpd.as_mut()) {
                    ("BaseURL", 1, Some(mpd)) if mpd.base.is_empty() => mpd.base = text,
                    ("Location", 1, Some(mpd)) => mpd.location = Some(text),
                    _ => {}
                }
                passing = passing.filter(|depth| path.len() > *depth);
                it.element = path.last().cloned().unwrap_or_else(|| "MPD".into());
                continue;
            }
            Event::Eof if !path.is_empty() => return it.fault("ends in the middle"),
            Event::Eof => break,
            Event::DocType(_) => return it.fault("a DOCTYPE is not taken"),
            _ => continue,
        };
        let name = String::from_utf8_lossy(start.local_name().as_ref()).into_owned();
        it.element = name.clone();
        content.clear();
        let inside: Vec<&str> = path.iter().map(String::as_str).collect();
        if passing.is_none() {
            match (inside.as_slice(), name.as_str()) {
                ([], "MPD") if mpd.is_none() => mpd = Some(head(&it, start)?),
                ([], _) => return it.fault("the root is one MPD"),
                (["MPD"], "Period") => {
                    if raw.len() == MAX_PERIODS {
                        return it.fault(format!("more than {MAX_PERIODS} Periods"));
                    }
                    raw.push(Raw {
                        id: it.attribute(start, "id")?.unwrap_or_else(|| (raw.len() + 1).to_string()),
                        start_ms: it.by(start, "start", read_span)?,
                        duration_ms: it.by(start, "duration", read_span)?,
                        ..Raw::default()
                    });
                }
                (["MPD", "Period", ..], "BaseURL" | "SegmentList" | "SegmentBase") => {
                    return it.fault("segments that lie elsewhere are not known here");
                }
                (["MPD", "Period"], "AdaptationSet") => {
                    let kind = it.attribute(start, "contentType")?.or(it.attribute(start, "mimeType")?);
                    let video = kind.is_none_or(|kind| kind.starts_with("video"));
                    let second = raw.last().is_some_and(|raw| !raw.bandwidths.is_empty());
                    passing = (!video || second).then_some(path.len());
                }
                (["MPD", "Period", ..], "SegmentTemplate") => {
                    let Some(raw) = raw.last_mut() else { return it.fault("outside a Period") };
                    let timescale = it.number(start, "timescale")?.unwrap_or(1);
                    if timescale == 0 || timescale > 1_000_000_000 {
                        return it.fault("timescale is 1 to 1000000000");
                    }
                    let media = it.attribute(start, "media")?.unwrap_or_default();
                    if raw.template.is_some() {
                        return it.fault("one of a Period's video is known here");
                    }
                    let by_time = media.contains("$Time");
                    raw.template = Some((timescale, it.number(start, "duration")?, by_time));
                }
                (["MPD", "Period", .., "SegmentTemplate"], "SegmentTimeline") => {
                    if let Some(raw) = raw.last_mut() {
                        raw.entries = Some(Vec::new());
                    }
                }
                ([.., "SegmentTimeline"], "S") => {
                    let entries = raw.last_mut().and_then(|raw| raw.entries.as_mut());
                    let Some(entries) = entries else { return it.fault("outside a Period") };
                    entry(&it, start, entries)?;
                }
                (["MPD", "Period", "AdaptationSet"], "Representation") => {
                    let Some(raw) = raw.last_mut() else { return it.fault("outside a Period") };
                    match it.number(start, "bandwidth")? {
                        Some(n) if n > 0 => raw.bandwidths.push(n),
                        _ => return it.fault("bandwidth is missing"),
                    }
                    if raw.bandwidths.len() > MAX_RUNGS {
                        return it.fault(format!("more than {MAX_RUNGS} Representations"));
                    }
                }
                _ => {}
            }
        }
        if empty {
            passing = passing.filter(|depth| path.len() > *depth);
        } else {
            path.push(name);
            if path.len() > 32 {
                return it.fault("over 32 elements deep");
            }
        }
    }
    let Some(mpd) = mpd else { return it.fault("there is none") };
    whole(&it, mpd, raw)
}

/// The attributes of the root.
fn head(it: &Reading, start: &BytesStart) -> Result<Presentation, MpdError> {
    let duration_ms = it.by(start, "mediaPresentationDuration", read_span)?;
    let live = match it.attribute(start, "type")?.as_deref() {
        Some("dynamic") => {
            let Some(from_ms) = it.by(start, "availabilityStartTime", read_date)? else {
                return it.fault("a dynamic one has an availabilityStartTime");
            };
            Some(Live {
                from_ms,
                update_ms: it.by(start, "minimumUpdatePeriod", read_span)?,
                window_ms: it.by(start, "timeShiftBufferDepth", read_span)?,
                published_ms: it.by(start, "publishTime", read_date)?.unwrap_or(from_ms),
            })
        }
        Some("static") | None => None,
        Some(other) => return it.fault(format!("type is {other:?}")),
    };
    let title = it.attribute(start, "id")?.unwrap_or_default();
    Ok(Presentation { title, base: String::new(), location: None, duration_ms, live, periods: Vec::new() })
}

/// One `S` (5.3.9.6): without `t` it follows the one before; `r` of -1 goes on to an end that is not told here.
fn entry(it: &Reading, start: &BytesStart, entries: &mut Vec<TimelineEntry>) -> Result<(), MpdError> {
    if entries.len() == MAX_ENTRIES {
        return it.fault(format!("more than {MAX_ENTRIES} entries"));
    }
    let Some(duration) = it.number(start, "d")?.filter(|d| *d > 0) else {
        return it.fault("d is missing or 0");
    };
    let repeat = match it.by(start, "r", |text| text.parse::<i64>().ok())?.unwrap_or(0) {
        r if r < 0 => return it.fault("an open-ended repetition is not known here"),
        r if r as u64 >= MAX_SEGMENTS => return it.fault(format!("over {MAX_SEGMENTS} segments")),
        r => r as u64,
    };
    let follows = match entries.last() {
        Some(e) => e.duration.checked_mul(e.repeat + 1).and_then(|length| e.start.checked_add(length)),
        None => Some(0),
    };
    let Some(follows) = follows else { return it.fault("times over any clock") };
    let begins = it.number(start, "t")?.unwrap_or(follows);
    if begins < follows {
        return it.fault(format!("t is {begins}, before the end of the one before, {follows}"));
    }
    entries.push(TimelineEntry { start: begins, duration, repeat });
    Ok(())
}

/// Puts what was read together, and checks it as a whole.
fn whole(it: &Reading, mut mpd: Presentation, raw: Vec<Raw>) -> Result<Presentation, MpdError> {
    let fault = |cause: String| Err(MpdError { element: "MPD".into(), at: it.at, cause });
    if raw.is_empty() {
        return fault("has no Period".into());
    }
    let mut end = Some(0);
    for raw in raw {
        let place = format!("Period {:?}", raw.id.chars().take(40).collect::<String>());
        let Some(start_ms) = raw.start_ms.or(end) else {
            return fault(format!("{place}: has no start, and the one before no duration"));
        };
        if end.is_some_and(|end| start_ms < end) || mpd.periods.last().is_some_and(|p| start_ms <= p.start_ms)
        {
            return fault(format!("{place}: begins before the one before it ends"));
        }
        let Some((timescale, duration, by_time)) = raw.template else {
            return fault(format!("{place}: has no SegmentTemplate"));
        };
        let segments = match (raw.entries, duration) {
            (Some(entries), _) if entries.is_empty() => {
                return fault(format!("{place}: its timeline is empty"));
            }
            (Some(entries), _) => Segments::Timeline { timescale, entries, by_time },
            (None, Some(duration)) => {
                let segment_ms = (duration as f64 * 1000.0 / timescale as f64).round() as u64;
                if segment_ms == 0 {
                    return fault(format!("{place}: segments shorter than 1 ms"));
                }
                Segments::Even { segment_ms }
            }
            (None, None) => return fault(format!("{place}: has neither a duration nor a timeline")),
        };
        if raw.bandwidths.is_empty() {
            return fault(format!("{place}: has no video Representation"));
        }
        if mpd.periods.last().is_some_and(|p| p.bandwidths.len() != raw.bandwidths.len()) {
            return fault(format!("{place}: has other Representations than the one before"));
        }
        end = raw.duration_ms.map(|length| start_ms.saturating_add(length));
        mpd.periods.push(Period { id: raw.id, start_ms, segments, bandwidths: raw.bandwidths });
    }
    mpd.duration_ms = mpd.duration_ms.or(end).filter(|ms| *ms > 0);
    if mpd.live.is_none() && mpd.duration_ms.is_none() {
        return fault("a static one has a mediaPresentationDuration, or its last Period a duration".into());
    }
    if mpd.duration_ms.is_some_and(|ms| ms > MAX_DURATION_MS) {
        return fault(format!("longer than {MAX_DURATION_MS} ms"));
    }
    if mpd.segments().is_some_and(|n| n > MAX_SEGMENTS) {
        return fault(format!("over {MAX_SEGMENTS} segments"));
    }
    Ok(mpd)
}
