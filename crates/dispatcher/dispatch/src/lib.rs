//! Dispatch of work items as a state machine: who owns a work item, callbacks of runners, the endpoint list, operators'
//! calls, and metrics. It has no socket, no task and no clock of its own. A host makes calls on [`Exchange`], sets the
//! time with [`Exchange::at`], has it decide with [`Exchange::settle`], and carries out what it asks for through
//! [`Outside`].

mod endpoint_list;
mod exchange;
mod membership;
mod message;
mod metrics;
mod saved_state;
mod state;

pub use endpoint_list::{Gate, Life, Member, Names, Told};
pub use exchange::{Exchange, Parts};
pub use message::{number, Answer, Broken, Callback, Order, Outgoing, Reply, State};
pub use metrics::{Figures, Open};
pub use saved_state::{terms, Inherited, Known, Learnt, Passed, Usual};
pub use state::{Load, Outside, Saw, Task, Ticket};
