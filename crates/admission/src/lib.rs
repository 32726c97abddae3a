//! Admission control of a front, independent of sockets and timers: callers pass in the time, in ms.
//!
//! - [`concurrency`]: how many set-ups may be in progress at once, adapted to the measured set-up delay.
//! - [`queue`]: which waiting play is admitted next, and which ones are refused at once because no time is left.
//! - [`read_retries`]: what to do about a failed segment read, within a budget that keeps retries from overloading a
//!   faulty server.
//! - [`loop_lag`]: whether the front's event loop is late.
//! - [`homes`]: which of several fronts may set up a session that must be set up only once.
//! - [`wall_clock`]: the time of day by which tokens are checked.
//!
//! Where a play goes, and each of its allocations, is decided by the placement logic (`pulleystair`).

pub mod concurrency;
pub mod homes;
pub mod loop_lag;
pub mod queue;
pub mod read_retries;
pub mod wall_clock;
