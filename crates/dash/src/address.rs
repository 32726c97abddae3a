//! The addresses that a front serves.
//!
//! `/v1/PRODUCT/TITLE/manifest.mpd?token=ENTRY` asks for a play; the entry token may also come as
//! `Authorization: Bearer`. `/s/PASS/RUNG/NUMBER.m4s` and `/s/PASS/RUNG/init.mp4` are its segments: the
//! manifest's BaseURL holds the session token, so players need no support for query insertion
//! (ISO/IEC 23009-1, annex I). `DELETE /s/PASS/` says that the viewer leaves.

/// `initialization` and `media` of the SegmentTemplate, relative to the BaseURL.
pub const INITIALISATION: &str = "$RepresentationID$/init.mp4";
pub const MEDIA: &str = "$RepresentationID$/$Number$.m4s";

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Address<'a> {
    Manifest {
        product: &'a str,
        title: &'a str,
        entry: Option<&'a str>,
    },
    /// Number 0 is the initialisation segment.
    Segment {
        pass: &'a str,
        rung: usize,
        number: u64,
    },
    Session {
        pass: &'a str,
    },
}

/// Where a play's segments are; goes into the manifest.
pub fn base(pass: &str) -> String {
    format!("/s/{pass}/")
}

pub fn manifest(product: &str, title: &str, entry: &str) -> String {
    format!("/v1/{product}/{title}/manifest.mpd?token={entry}")
}

/// Reads the target of a request; none where a front serves nothing there.
pub fn read(target: &str) -> Option<Address<'_>> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut parts = path.strip_prefix('/')?.split('/');
    let address = match (parts.next()?, parts.next()?, parts.next()?, parts.next()) {
        ("v1", product, title, Some("manifest.mpd")) if name(product) && name(title) => {
            let entry = query.split('&').find_map(|pair| pair.strip_prefix("token="));
            Address::Manifest { product, title, entry }
        }
        ("s", pass, "", None) if !pass.is_empty() => Address::Session { pass },
        ("s", pass, rung, Some(file)) if !pass.is_empty() => {
            let number = match file.strip_suffix(".m4s") {
                Some(number) => digits(number).filter(|n| *n > 0)?,
                None if file == "init.mp4" => 0,
                None => return None,
            };
            Address::Segment { pass, rung: digits(rung)?.try_into().ok()?, number }
        }
        _ => return None,
    };
    parts.next().is_none().then_some(address)
}

/// Names of products, titles and servers as they stand in addresses: plain characters, 64 at most.
pub fn name(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    !text.is_empty() && text.len() <= 64 && text.bytes().all(plain) && !text.starts_with('.')
}

fn digits(text: &str) -> Option<u64> {
    let plain = !text.is_empty() && text.len() <= 12 && text.bytes().all(|b| b.is_ascii_digit());
    plain.then(|| text.parse().ok())?
}
