//! The addresses that a front serves.
//!
//! `/v1/PRODUCT/TITLE/manifest.mpd?token=ENTRY` asks for a play; the entry token may also come as
//! `Authorization: Bearer`. `/s/PASS/RUNG/NUMBER.m4s` and `/s/PASS/RUNG/init.mp4` are its segments: the
//! manifest's BaseURL holds the session token, so players need no support for query insertion
//! (ISO/IEC 23009-1, annex I). `/s/PASS/RUNG/FIRST-tTIME.m4s` is the one that begins at that time in the Period whose
//! first number that is. `/s/PASS/manifest.mpd` is the manifest of a play that runs, anew. `DELETE /s/PASS/` says
//! that the viewer leaves. `/v1/time` tells the time, in its `Date`.

/// `initialization` and `media` of the SegmentTemplate, relative to the BaseURL.
pub const INITIALISATION_TEMPLATE: &str = "$RepresentationID$/init.mp4";
pub const MEDIA_TEMPLATE: &str = "$RepresentationID$/$Number$.m4s";
/// `media` by time; FIRST stands for the Period's first number.
pub const MEDIA_BY_TIME_TEMPLATE: &str = "$RepresentationID$/FIRST-t$Time$.m4s";

/// Where players ask for the time.
pub const TIME_PATH: &str = "/v1/time";

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route<'a> {
    Manifest {
        product: &'a str,
        title: &'a str,
        entry: Option<&'a str>,
    },
    Segment {
        pass: &'a str,
        rung: usize,
        which: SegmentId,
    },
    /// The manifest of a play that runs, anew.
    Again {
        pass: &'a str,
    },
    Time,
    Session {
        pass: &'a str,
    },
}

/// Which of a title's segments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SegmentId {
    Initialisation,
    /// Numbered from 1 through all Periods.
    Number(u64),
    /// That which begins at `time`, in the Period whose first number is `first`.
    Time {
        first: u64,
        time: u64,
    },
}

/// Where a play's segments are; goes into the manifest.
pub fn base_path(pass: &str) -> String {
    format!("/s/{pass}/")
}

/// Where a play that runs has its manifest anew.
pub fn refresh_path(pass: &str) -> String {
    format!("/s/{pass}/manifest.mpd")
}

pub fn manifest_path(product: &str, title: &str, entry: &str) -> String {
    format!("/v1/{product}/{title}/manifest.mpd?token={entry}")
}

/// Reads the target of a request; none where a front serves nothing there.
pub fn parse(target: &str) -> Option<Route<'_>> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    if path == TIME_PATH {
        return Some(Route::Time);
    }
    let mut parts = path.strip_prefix('/')?.split('/');
    let route = match (parts.next()?, parts.next()?, parts.next()?, parts.next()) {
        ("v1", product, title, Some("manifest.mpd")) if is_valid_name(product) && is_valid_name(title) => {
            let entry = query.split('&').find_map(|pair| pair.strip_prefix("token="));
            Route::Manifest { product, title, entry }
        }
        ("s", pass, "manifest.mpd", None) if !pass.is_empty() => Route::Again { pass },
        ("s", pass, "", None) if !pass.is_empty() => Route::Session { pass },
        ("s", pass, rung, Some(file)) if !pass.is_empty() => {
            let which = match file.strip_suffix(".m4s").map(|name| (name, name.split_once("-t"))) {
                Some((_, Some((first, time)))) => SegmentId::Time {
                    first: parse_digits(first).filter(|n| *n > 0)?,
                    time: parse_digits(time)?,
                },
                Some((number, None)) => SegmentId::Number(parse_digits(number).filter(|n| *n > 0)?),
                None if file == "init.mp4" => SegmentId::Initialisation,
                None => return None,
            };
            Route::Segment { pass, rung: parse_digits(rung)?.try_into().ok()?, which }
        }
        _ => return None,
    };
    parts.next().is_none().then_some(route)
}

/// Names of products, titles and servers as they stand in addresses: plain characters, 64 at most.
pub fn is_valid_name(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    !text.is_empty() && text.len() <= 64 && text.bytes().all(is_allowed) && !text.starts_with('.')
}

fn parse_digits(text: &str) -> Option<u64> {
    let is_number = !text.is_empty() && text.len() <= 16 && text.bytes().all(|b| b.is_ascii_digit());
    is_number.then(|| text.parse().ok())?
}
