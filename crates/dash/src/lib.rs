//! The DASH side of a front: manifests ([`mpd`]), the paths that a front serves ([`address`]), and the tokens that
//! authorize a play and its session ([`token`]). The crate does no I/O.

pub mod address;
pub mod mpd;
pub mod token;
