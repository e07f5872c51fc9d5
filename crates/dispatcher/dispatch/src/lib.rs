//! The exchange as a state machine: who owns a work item, what its runner tells, what operators say by hand, and
//! the figures. No socket, no task, no clock of its own: a host makes calls on `Exchange`, says the time with
//! `at`, lets it decide with `settle`, and carries out what it asks through `Outside`.

// Not every public item of this crate has a doc comment yet.
#![allow(missing_docs)]

mod carry;
mod desk;
mod exchange;
mod figures;
mod learnt;
mod message;
mod roster;

pub use desk::{Load, Outside, Saw, Task, Ticket};
pub use exchange::{Exchange, Parts};
pub use figures::{Figures, Open};
pub use learnt::{terms, Inherited, Known, Learnt, Passed, Usual};
pub use message::{number, Answer, Broken, Callback, Order, Outgoing, Reply, State};
pub use roster::{Gate, Life, Member, Names, Told};
