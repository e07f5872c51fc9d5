//! When no trouble was near.
use crate::engine::{Micros, MILLISECOND};
use crate::history::{History, Sight};

struct Span {
    from: Micros,
    until: Micros,
}

/// The troubles of a day.
pub struct Calm {
    troubles: Vec<Span>,
    contact: Micros,
    /// True on days on which clocks jump.
    pub clocks_jump: bool,
}

impl Calm {
    /// Reads the troubles of a day.
    pub fn gather(history: &History, contact_ms: u64) -> Calm {
        let mut calm = Calm { troubles: Vec::new(), contact: contact_ms * MILLISECOND, clocks_jump: false };
        for seen in &history.seen {
            if let Sight::Trouble { until, what } = &seen.sight {
                calm.troubles.push(Span { from: seen.at, until: *until });
                calm.clocks_jump |= what.contains("ClockStep");
            }
        }
        calm
    }

    /// True where no trouble was near at any instant of a span.
    pub fn during(&self, from: Micros, until: Micros) -> bool {
        // After a loss of most of the core the span of contact is twice as long.
        let near = |trouble: &Span| trouble.from <= until && trouble.until + 2 * self.contact >= from;
        !self.troubles.iter().any(near)
    }

    /// True where no trouble was near at an instant.
    pub fn at(&self, instant: Micros) -> bool {
        self.during(instant, instant)
    }
}
