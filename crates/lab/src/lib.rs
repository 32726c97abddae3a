//! Scripted days on loopback: [`scenario`] is what a day is made of, [`fronts`] starts the real fronts as
//! processes, [`environment`] holds the list of servers and lets troubles loose, [`players`] come open-loop, and
//! [`report`] sums up what was seen; [`host_load`] sees how late the machine is by itself; [`load`] measures what a
//! front costs. The verdict is the checker's, on the sockets' logs.

pub mod baseline;
pub mod environment;
pub mod fronts;
pub mod host_load;
pub mod load;
pub mod players;
pub mod relays;
pub mod report;
pub mod scenario;
pub mod scenario_run;
pub mod testbed;
