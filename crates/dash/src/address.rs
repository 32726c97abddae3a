//! The paths that a front serves to players. SESSION_TOKEN and ENTRY_TOKEN stand for the tokens of [`crate::token`].
//!
//! - `/v1/PRODUCT/TITLE/manifest.mpd?token=ENTRY_TOKEN` requests a play. The entry token may also be sent as
//!   `Authorization: Bearer`.
//! - `/s/SESSION_TOKEN/RUNG/NUMBER.m4s` and `/s/SESSION_TOKEN/RUNG/init.mp4` are the segments of the play. The
//!   manifest's BaseURL holds the session token, so that players need no support for query insertion (ISO/IEC 23009-1,
//!   annex I).
//! - `/s/SESSION_TOKEN/RUNG/FIRST-tTIME.m4s` is the segment that begins at TIME, in the Period whose first segment has the
//!   number FIRST.
//! - `/s/SESSION_TOKEN/manifest.mpd` is the current manifest of a running play.
//! - `DELETE /s/SESSION_TOKEN/` ends the session when the viewer leaves.
//! - `/v1/time` returns the time in its `Date` header.

/// `initialization` of the SegmentTemplate, relative to the BaseURL.
pub const INITIALISATION_TEMPLATE: &str = "$RepresentationID$/init.mp4";
/// `media` of the SegmentTemplate where segments are addressed by number.
pub const MEDIA_TEMPLATE: &str = "$RepresentationID$/$Number$.m4s";
/// `media` of the SegmentTemplate where segments are addressed by time; FIRST stands for the number of the Period's first
/// segment.
pub const MEDIA_BY_TIME_TEMPLATE: &str = "$RepresentationID$/FIRST-t$Time$.m4s";

/// Path at which players read the time.
pub const TIME_PATH: &str = "/v1/time";

/// What a request target names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route<'a> {
    /// A new play, with the entry token in the query, if any.
    Manifest { product: &'a str, title: &'a str, entry_token: Option<&'a str> },
    /// A segment of a session.
    Segment { session_token: &'a str, rung: usize, segment: SegmentId },
    /// The current manifest of a running play.
    Refresh { session_token: &'a str },
    /// The time.
    Time,
    /// The session itself, which a `DELETE` ends.
    Session { session_token: &'a str },
}

/// Names one of a title's segments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SegmentId {
    /// The initialisation segment.
    Initialisation,
    /// By number, counted from 1 through all Periods.
    Number(u64),
    /// The segment that begins at `time`, in the Period whose first segment has the number `first`.
    Time { first: u64, time: u64 },
}

/// Path under which a session's segments are served; the manifest's BaseURL.
pub fn base_path(session_token: &str) -> String {
    format!("/s/{session_token}/")
}

/// Path of the current manifest of a running play.
pub fn refresh_path(session_token: &str) -> String {
    format!("/s/{session_token}/manifest.mpd")
}

/// Request target of a play: path and query, with the entry token.
pub fn play_request_target(product: &str, title: &str, entry_token: &str) -> String {
    format!("/v1/{product}/{title}/manifest.mpd?token={entry_token}")
}

/// Parses a request target; none if the front serves nothing there.
pub fn parse(target: &str) -> Option<Route<'_>> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    if path == TIME_PATH {
        return Some(Route::Time);
    }
    let mut parts = path.strip_prefix('/')?.split('/');
    let route = match (parts.next()?, parts.next()?, parts.next()?, parts.next()) {
        ("v1", product, title, Some("manifest.mpd")) if is_valid_name(product) && is_valid_name(title) => {
            let entry_token = query.split('&').find_map(|pair| pair.strip_prefix("token="));
            Route::Manifest { product, title, entry_token }
        }
        ("s", session_token, "manifest.mpd", None) if !session_token.is_empty() => {
            Route::Refresh { session_token }
        }
        ("s", session_token, "", None) if !session_token.is_empty() => Route::Session { session_token },
        ("s", session_token, rung, Some(file)) if !session_token.is_empty() => {
            let segment = match file.strip_suffix(".m4s").map(|name| (name, name.split_once("-t"))) {
                Some((_, Some((first, time)))) => SegmentId::Time {
                    first: parse_digits(first).filter(|n| *n > 0)?,
                    time: parse_digits(time)?,
                },
                Some((number, None)) => SegmentId::Number(parse_digits(number).filter(|n| *n > 0)?),
                None if file == "init.mp4" => SegmentId::Initialisation,
                None => return None,
            };
            Route::Segment { session_token, rung: parse_digits(rung)?.try_into().ok()?, segment }
        }
        _ => return None,
    };
    parts.next().is_none().then_some(route)
}

/// Whether a name of a product or title is valid in a path: 1 to 64 ASCII letters, digits, `-`, `_` or `.`, not starting
/// with a dot. Names of servers follow the same rule.
pub fn is_valid_name(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    !text.is_empty() && text.len() <= 64 && text.bytes().all(is_allowed) && !text.starts_with('.')
}

/// Parses 1 to 16 decimal digits. 2^53, the largest number that is accepted in an MPD, has 16 digits.
fn parse_digits(text: &str) -> Option<u64> {
    let is_valid = !text.is_empty() && text.len() <= 16 && text.bytes().all(|b| b.is_ascii_digit());
    is_valid.then(|| text.parse().ok())?
}
