//! What a DASH player is handed and hands back: the manifest of a play ([`mpd`]), the addresses that lead
//! through a front ([`address`]), and the tokens that vouch for a session ([`token`]). No I/O.

pub mod address;
pub mod mpd;
pub mod token;
