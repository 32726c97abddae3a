//! How much work a front takes on, decided apart from sockets and clocks: callers hand in the time, ms.
//!
//! [`concurrency`] adapts how many plays may be decided at once to measured set-up delay; [`queue`] chooses who of
//! those that wait is taken next and who is told at once that there is no time left; [`read_retries`] decides what
//! becomes of a segment's read that failed, within a budget that keeps a sick server from being buried by its
//! own repeats; [`loop_lag`] whether a front's own loop is behind; [`homes`] which of several fronts may take a session that
//! is to be set up once only; [`wall_clock`] the time of day by which tokens are judged. Where a play goes, and every
//! allocation of it, stays with the placing module.

pub mod concurrency;
pub mod homes;
pub mod loop_lag;
pub mod queue;
pub mod read_retries;
pub mod wall_clock;
