//! Parsing of MPDs.

use super::times::{parse_date, parse_duration};
use super::{
    Live, MAX_BYTES, MAX_DURATION_MS, MAX_PERIODS, MAX_REPRESENTATIONS, MAX_SEGMENTS, MAX_TIMELINE_ENTRIES,
    MpdError, Period, Presentation, Segments, TimelineEntry,
};
use quick_xml::Reader;
use quick_xml::events::{BytesStart, Event};

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
