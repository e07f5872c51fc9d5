//! When no fault was near, and which machines were in touch.

use crate::engine::{Micros, MILLISECOND};
use crate::history::{History, Observation, Reach};
use sagetrail_protocol::NodeId;

struct Span {
    from: Micros,
    until: Micros,
    reach: Reach,
}

impl Span {
    /// Whether the machine is out of touch for this fault, or was within `contact` before.
    fn touches(&self, machine: NodeId, at: Micros, contact: Micros) -> bool {
        let (reached, contact) = match &self.reach {
            // A final fault took most of the core.
            Reach::Everything => (true, 2 * contact),
            Reach::Core => (true, contact),
            Reach::Machines(machines) => (machines.contains(&machine), contact),
            Reach::Runner => (false, contact),
        };
        reached && self.from <= at && self.until + contact >= at
    }
}

/// The faults of a day.
pub(super) struct Calm {
    troubles: Vec<Span>,
    contact: Micros,
    /// True on days on which clocks jump.
    pub clocks_jump: bool,
}

impl Calm {
    /// Reads the faults of a day.
    pub(super) fn gather(history: &History, contact_ms: u64) -> Calm {
        let mut calm = Calm {
            troubles: Vec::new(),
            contact: contact_ms * MILLISECOND,
            clocks_jump: false,
        };
        for seen in &history.observations {
            if let Observation::Fault { until, what, reach } = &seen.observation {
                calm.troubles.push(Span {
                    from: seen.at,
                    until: *until,
                    reach: reach.clone(),
                });
                calm.clocks_jump |= what.contains("ClockStep");
            }
        }
        calm
    }

    /// True where no fault of anyone was near at any instant of a span.
    pub(super) fn during(&self, from: Micros, until: Micros) -> bool {
        // After a loss of most of the core the span of contact is twice as long.
        let near =
            |trouble: &Span| trouble.from <= until && trouble.until + 2 * self.contact >= from;
        !self.troubles.iter().any(near)
    }

    /// True where no fault of anyone was near at an instant.
    pub(super) fn at(&self, instant: Micros) -> bool {
        self.during(instant, instant)
    }

    /// True where a machine outside the core was in touch at an instant, whatever hit by faults other machines.
    pub(super) fn in_touch(&self, machine: NodeId, instant: Micros) -> bool {
        !self
            .troubles
            .iter()
            .any(|trouble| trouble.touches(machine, instant, self.contact))
    }
}
