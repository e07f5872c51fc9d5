//! What operators read: counts since the start of this process, and how much is in hand.

use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;

const PREFIX: &str = "edge_relay";

#[derive(Default)]
struct Ends {
    finished: Cell<u64>,
    deferred: Cell<u64>,
    written_off: Cell<u64>,
}

#[derive(Default)]
pub struct Figures {
    categories: Vec<(String, Ends)>,
    /// Attempts written whole to runners.
    pub relayed: Cell<u64>,
    open: Cell<u64>,
}

fn more(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

/// A work item whose request has been read and whose answer is not yet written. Guards against one that a panic
/// or a client that left keeps open for ever: it is closed however this ends.
pub struct Open {
    figures: Rc<Figures>,
    category: usize,
}

impl Open {
    pub fn new(figures: &Rc<Figures>, category: usize) -> Open {
        more(&figures.open);
        Open {
            figures: figures.clone(),
            category,
        }
    }

    /// Its answer has been written.
    pub fn answered(self, status: u16) {
        let (_, ends) = &self.figures.categories[self.category];
        more(match status {
            200 => &ends.finished,
            429 | 503 => &ends.deferred,
            _ => &ends.written_off,
        });
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let open = &self.figures.open;
        open.set(open.get() - 1);
    }
}

impl Figures {
    pub fn new(categories: &[String]) -> Rc<Figures> {
        let categories = categories
            .iter()
            .map(|name| (name.clone(), Ends::default()))
            .collect();
        Rc::new(Figures {
            categories,
            ..Figures::default()
        })
    }

    pub fn relays(&self) {
        more(&self.relayed);
    }

    /// All of them, a line each; with the list's runners and those of them that are avoided.
    pub fn lines(&self, listed: usize, avoided: usize) -> String {
        let mut lines = String::new();
        for (name, ends) in &self.categories {
            let ends = [&ends.finished, &ends.deferred, &ends.written_off];
            for (what, count) in ["fulfilled", "throttled", "faulted"].iter().zip(ends) {
                let _ = writeln!(lines, "{PREFIX}.operations.{name}.{what}:{}|c", count.get());
            }
        }
        let _ = writeln!(lines, "{PREFIX}.relayed:{}|c", self.relayed.get());
        let _ = writeln!(lines, "{PREFIX}.open_requests:{}|g", self.open.get());
        let _ = writeln!(lines, "{PREFIX}.registry_entries:{listed}|g");
        let _ = writeln!(lines, "{PREFIX}.out_of_rotation:{avoided}|g");
        lines
    }
}
