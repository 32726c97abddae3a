//! Test scenarios on loopback, with real fronts, fake media servers and simulated players.
//!
//! [`scenario`] defines a scenario, [`testbed`] sets up its parts and [`scenario_run`] runs it. [`fronts`] starts the
//! real fronts as processes with the files of [`front_config`], [`environment`] maintains the server list and injects faults, [`relays`] carries the
//! exchange between fronts, [`players`] generates an open-loop load, and [`report`] summarizes the results.
//! [`scheduling_delay`] measures how late the machine wakes threads; [`load`] measures the cost of a front, and
//! [`baseline`] is a simple front to compare with. The verdict on the rules is that of `pulleystair-rule-checker` on
//! what was observed on the sockets.

pub mod baseline;
pub mod environment;
pub mod front_config;
pub mod fronts;
pub mod load;
pub mod players;
pub mod relays;
pub mod report;
pub mod scenario;
pub mod scenario_run;
pub mod scheduling_delay;
pub mod testbed;
