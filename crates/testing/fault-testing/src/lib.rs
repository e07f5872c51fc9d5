//! Runs several real processes of the program with stand-ins for clients, runners and the list, with a relay on every
//! link and a schedule of faults, and checks what runners and clients observed. `docs/rig.md` is the reference.

// Not every public item of this crate has a doc comment yet.
#![allow(missing_docs)]

mod checker;
mod clients;
mod compare;
mod http;
mod links;
mod list;
mod names;
mod play;
mod processes;
mod records;
mod relay;
mod report;
mod runners;
mod scenario;
mod schedule;

pub use checker::{find_violations, RunInputs, Violation};
pub use compare::{compare, Compared};
pub use play::{play, Options, Outcome};
pub use records::{
    Absence, Beliefs, End, HandOff, ListUpdate, ProcessStart, Records, RequestRecord,
};
pub use report::{html, table};
pub use scenario::{Bad, Scenario};
pub use schedule::{schedule, ScheduledFault, FAULT_KINDS};
