//! The recovery of the state that an emptied disk may have held, before the process takes part again.

use sagetrail_protocol::control::{Promise, RecoverReply, Rejected};
use sagetrail_protocol::{NodeId, Time};

use super::Membership;
use crate::effects::Effects;
use crate::recovery::{Recovered, Recovery};
use crate::register::Register;
use crate::terms::Terms;
use crate::timing::{BOOTSTRAP_GRACE_MS, LEASE_MS};
use crate::value::RegisterValue;

impl Membership {
    fn knows_its_promises(&self) -> bool {
        self.active || self.sync_pending
    }

    /// When the recovery may begin; `None` if none is needed. By then a lease that the process may have granted in its
    /// former incarnation has expired, and so have the votes of that incarnation.
    pub(super) fn recovery_due(&self) -> Option<Time> {
        if self.knows_its_promises() {
            return None;
        }
        let grace_ms = if self.may_bootstrap {
            BOOTSTRAP_GRACE_MS
        } else {
            0
        };
        let grace_ends = self.listed_since?.plus_millis(grace_ms);
        Some(grace_ends.max(self.started.plus_millis(LEASE_MS)))
    }

    /// Begins the recovery, resends its requests, or drops it if it is no longer needed.
    pub(super) fn recover(&mut self, now: Time, register: &Register, effects: &mut Effects) {
        if self.knows_its_promises() || !register.has_members() {
            self.recovery = None;
            self.listed_since = None;
            return;
        }
        self.listed_since = self.listed_since.or(Some(now));
        if self.recovery_due().is_none_or(|due| now < due) {
            return;
        }
        let must_start = self
            .recovery
            .as_mut()
            .is_none_or(|recovery| recovery.tick(now, effects));
        if must_start {
            let known = register.members();
            let list = if self.recovered_list.version > known.version {
                &self.recovered_list
            } else {
                known
            };
            let recovery = Recovery::start(self.node, self.incarnation, list, now, effects);
            self.recovery = Some(recovery);
        }
    }

    /// Handles a member's report of its highest promises.
    pub(crate) fn on_recover_reply(
        &mut self,
        from: NodeId,
        reply: &RecoverReply,
        effects: &mut Effects,
    ) {
        if let Some(recovery) = &mut self.recovery {
            recovery.on_reply(from, reply, effects);
        }
    }

    /// Handles a member's promise of the recovery's proposal number.
    pub(crate) fn on_promise(
        &mut self,
        from: NodeId,
        promise: Promise,
        register: &mut Register,
        terms: &mut Terms,
        effects: &mut Effects,
    ) {
        let recovered = self
            .recovery
            .as_mut()
            .and_then(|recovery| recovery.on_promise(from, promise));
        if let Some(recovered) = recovered {
            self.adopt_recovered(recovered, register, terms, effects);
        }
    }

    /// Handles the rejection by a member that has promised a higher proposal number than the recovery's.
    pub(crate) fn on_rejected(&mut self, rejected: &Rejected) {
        if let Some(recovery) = &mut self.recovery {
            recovery.on_rejected(rejected);
        }
    }

    /// Adopts the state that the other members reported, and writes it to disk. If the recovered value has a newer
    /// member list than the one whose members were asked, nothing is adopted and the recovery is repeated with the
    /// newer list.
    fn adopt_recovered(
        &mut self,
        recovered: Recovered,
        register: &mut Register,
        terms: &mut Terms,
        effects: &mut Effects,
    ) {
        let Ok(value) = RegisterValue::decode(&recovered.value) else {
            return;
        };
        self.recovery = None;
        if value.members_version > recovered.members_version {
            // Members of the newer list that were not asked may know of later promises.
            self.recovered_list = value.member_list();
            return;
        }
        let proposal = recovered.proposals.accepted;
        register.adopt(recovered.proposals, recovered.value);
        terms.adopt_promised_term(recovered.term);
        self.write_state(proposal, None, register, terms, effects);
    }
}
