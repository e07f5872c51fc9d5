//! How an leader comes by the records on which its term builds.

use crate::node::CoreNode;
use sagetrail_protocol::Time;

impl CoreNode {
    /// Whether this process owns a term and has its base, or more, in hand.
    pub(crate) fn holds_base(&self) -> bool {
        let term = self.leadership.as_ref().map(|leadership| leadership.term);
        term == Some(self.replica.state.position.term) && self.replica.state.complete
    }

    /// A source that has fallen silent is left for another voter with the same state. Without one the term ends: the
    /// next voters may know the newest state without that source.
    pub(crate) fn step_base(&mut self, now: Time) {
        let silent = !self.holds_base() && self.replica.source_is_silent(now);
        let Some(leadership) = self.leadership.as_mut().filter(|_| silent) else {
            return;
        };
        if !leadership.try_next_source(now) {
            log::info!("term {}: nobody has its base", leadership.term);
            self.step_down();
        }
    }
}
