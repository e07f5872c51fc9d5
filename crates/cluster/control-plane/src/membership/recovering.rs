//! The recovery of what an emptied disk may have held, before the process takes part again.

use super::Membership;
use crate::effects::Effects;
use crate::recovery::{Recovered, Recovery};
use crate::register::Register;
use crate::terms::Terms;
use crate::timing::{BOOTSTRAP_GRACE_MS, LEASE_MS};
use crate::value::RegisterValue;
use sagetrail_protocol::control::{Promise, RecoverReply, Rejected};
use sagetrail_protocol::{NodeId, Time};

impl Membership {
    fn knows_its_promises(&self) -> bool {
        self.active || self.sync_pending
    }

    /// When the recovery may begin. A lease that the process may have granted in its former incarnation has expired by
    /// then, and so have votes of it.
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

    /// Begins the recovery, repeats its requests, or drops it where it is not needed any more.
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
        let starts_anew = self
            .recovery
            .as_mut()
            .is_none_or(|recovery| recovery.tick(now, effects));
        if starts_anew {
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

    /// A member reported its highest promises.
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

    /// A member promised the recovery's proposal number.
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
            self.take_up_recovered(recovered, register, terms, effects);
        }
    }

    /// A member has promised a higher proposal number than the recovery's.
    pub(crate) fn on_rejected(&mut self, rejected: &Rejected) {
        if let Some(recovery) = &mut self.recovery {
            recovery.on_rejected(rejected);
        }
    }

    /// The others reported what this process may have promised.
    fn take_up_recovered(
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
            // Members that are not among those asked may know of later promises.
            self.recovered_list = value.member_list();
            return;
        }
        let proposal = recovered.proposals.accepted;
        register.adopt(recovered.proposals, recovered.value);
        terms.adopt_promised_term(recovered.term);
        self.write_state(proposal, None, register, terms, effects);
    }
}
