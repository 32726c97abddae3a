//! Scripted days on loopback: [`script`] is what a day is made of, [`fronts`] starts the real fronts as
//! processes, [`stage`] holds the list of servers and lets troubles loose, [`players`] come open-loop, and
//! [`report`] sums up what was seen; [`machine`] sees how late the machine is by itself; [`load`] measures what a
//! front costs. The verdict is the checker's, on the sockets' logs.

pub mod baseline;
pub mod between;
pub mod day;
pub mod fronts;
pub mod load;
pub mod machine;
pub mod players;
pub mod report;
pub mod script;
pub mod set;
pub mod stage;
