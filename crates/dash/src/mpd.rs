//! A play's manifest: a static Media Presentation Description of one Period and one AdaptationSet
//! (ISO/IEC 23009-1, sections 5.2 to 5.3), its segments numbered by a SegmentTemplate (5.3.9.4).

use crate::address::{INITIALISATION, MEDIA};
use quick_xml::events::{BytesDecl, BytesEnd, BytesStart, Event};
use quick_xml::writer::Writer;

/// What a manifest tells of a play.
#[derive(Clone, Debug, PartialEq)]
pub struct Presentation {
    /// The title, as the MPD's id.
    pub title: String,
    /// Where the segments are, relative to the manifest or absolute; ends in a slash.
    pub base: String,
    pub duration_ms: u64,
    pub segment_ms: u64,
    /// Rates of the rungs on offer, lowest first, kB a second.
    pub ladder: Vec<f64>,
}

impl Presentation {
    /// How many segments there are, numbered from 1.
    pub fn segments(&self) -> u64 {
        segments(self.duration_ms, self.segment_ms)
    }

    pub fn write(&self) -> String {
        let mut writer = Writer::new_with_indent(Vec::new(), b' ', 1);
        self.write_to(&mut writer).expect("a vector takes all that is written");
        String::from_utf8(writer.into_inner()).expect("what is written is text")
    }

    fn write_to(&self, out: &mut Writer<Vec<u8>>) -> std::io::Result<()> {
        let open = |name: &'static str, attributes: &[(&str, &str)]| {
            let mut start = BytesStart::new(name);
            attributes.iter().for_each(|a| start.push_attribute(*a));
            start
        };
        let duration = format!("PT{}S", self.duration_ms as f64 / 1000.0);
        let segment = format!("PT{}S", self.segment_ms as f64 / 1000.0);
        out.write_event(Event::Decl(BytesDecl::new("1.0", Some("UTF-8"), None)))?;
        out.write_event(Event::Start(open(
            "MPD",
            &[
                ("xmlns", "urn:mpeg:dash:schema:mpd:2011"),
                ("id", &self.title),
                ("profiles", "urn:mpeg:dash:profile:isoff-live:2011"),
                ("type", "static"),
                ("mediaPresentationDuration", &duration),
                ("minBufferTime", &segment),
            ],
        )))?;
        out.create_element("BaseURL").write_text_content(quick_xml::events::BytesText::new(&self.base))?;
        out.write_event(Event::Start(open("Period", &[("id", "1"), ("start", "PT0S")])))?;
        out.write_event(Event::Start(open(
            "AdaptationSet",
            &[
                ("id", "1"),
                ("contentType", "video"),
                ("mimeType", "video/mp4"),
                ("codecs", "avc1.64001f"),
                ("segmentAlignment", "true"),
                ("startWithSAP", "1"),
                ("bitstreamSwitching", "true"),
            ],
        )))?;
        out.write_event(Event::Empty(open(
            "SegmentTemplate",
            &[
                ("timescale", "1000"),
                ("duration", &self.segment_ms.to_string()),
                ("startNumber", "1"),
                ("initialization", INITIALISATION),
                ("media", MEDIA),
            ],
        )))?;
        for (rung, kb) in self.ladder.iter().enumerate() {
            let bandwidth = ((kb * 8000.0).ceil() as u64).max(1).to_string();
            let id = rung.to_string();
            out.write_event(Event::Empty(open(
                "Representation",
                &[("id", id.as_str()), ("bandwidth", bandwidth.as_str())],
            )))?;
        }
        for name in ["AdaptationSet", "Period", "MPD"] {
            out.write_event(Event::End(BytesEnd::new(name)))?;
        }
        Ok(())
    }
}

pub fn segments(duration_ms: u64, segment_ms: u64) -> u64 {
    duration_ms.div_ceil(segment_ms.max(1)).max(1)
}
