//! Applies committed and merged state: runners out of service, the drain, settings.

use std::collections::BTreeSet;
use std::rc::Rc;

use sagetrail_replicated_store::{ActiveOverride, OverrideTarget};

use super::{RejectedSettings, Store};
use crate::client_context::ClientContext;
use crate::sockets::Mailbox;
use crate::start::Start;

impl Store {
    /// Applies the state. A member that is behind only takes targets out of service and puts none back, because it may
    /// lack the override by which one is out.
    pub(super) fn apply_state(
        &self,
        is_behind: bool,
        mailbox: &Mailbox,
        client_context: &Rc<ClientContext>,
    ) {
        self.apply_overrides(is_behind, mailbox, client_context);
        if !is_behind {
            self.apply_settings(mailbox);
        }
    }

    fn apply_overrides(
        &self,
        is_behind: bool,
        mailbox: &Mailbox,
        client_context: &Rc<ClientContext>,
    ) {
        let (mut runners, mut drained) = (BTreeSet::new(), false);
        for ActiveOverride { target, .. } in self.node.borrow().active_overrides() {
            match target {
                OverrideTarget::Runner(name) => _ = runners.insert(name),
                OverrideTarget::Dispatcher(name) => drained |= name == self.name,
            }
        }
        let mut applied = self.runners_out.borrow_mut();
        if is_behind {
            runners.extend(applied.iter().cloned());
            drained |= self.is_drained.get();
        }
        if runners != *applied {
            applied.clone_from(&runners);
            mailbox.put(move |exchange| exchange.set_agreed_out_of_service(runners));
        }
        if self.is_drained.replace(drained) != drained {
            client_context.drain(drained);
        }
    }

    /// Applies the last version of the settings, unless it is in force or has been rejected.
    fn apply_settings(&self, mailbox: &Mailbox) {
        let (version, text) = {
            let committed = &self.node.borrow().committed;
            (committed.version(), committed.settings().to_string())
        };
        let rejected_version = self
            .rejected_settings
            .borrow()
            .as_ref()
            .map_or(0, |rejected| rejected.version);
        if version == self.version.get() || version == rejected_version {
            return;
        }
        match self.source.open_on(&text) {
            Ok(start) => self.put_in_force(version, start, mailbox),
            Err(error) => {
                let reason = error.replace('\n', "; ");
                tracing::warn!("settings rejected version={version}: {reason}");
                *self.rejected_settings.borrow_mut() = Some(RejectedSettings { version, reason });
            }
        }
    }

    fn put_in_force(&self, version: u64, start: Start, mailbox: &Mailbox) {
        self.version.set(version);
        *self.rejected_settings.borrow_mut() = None;
        tracing::info!("settings in force version={version}");
        if let Some(members) = &start.fleet {
            self.fleet.set_limits(members, &start.categories);
        }
        self.discovery_at
            .send_if_modified(|at| std::mem::replace(at, start.discovery_at) != start.discovery_at);
        let plan = start.plan;
        mailbox.put(move |exchange| {
            exchange
                .host()
                .site_failover
                .iter_mut()
                .for_each(|site_failover| site_failover.set_plan(plan.clone()));
        });
    }
}
