//! The register view: what this process knows of the register's chosen values, and as of when.

use crate::quorum::MemberList;
use crate::value::RegisterValue;
use sagetrail_protocol::control::ProposalNumber;
use sagetrail_protocol::service::ConfigInForce;
use sagetrail_protocol::Time;
use std::sync::Arc;

/// Microseconds in a millisecond.
const MICROS_PER_MS: u64 = 1_000;

/// A chosen value.
#[derive(Clone, Debug)]
pub(crate) struct Chosen {
    /// The proposal number under which a majority accepted it.
    pub proposal: ProposalNumber,
    /// The value itself.
    pub value: Arc<RegisterValue>,
}

/// What is known of the register's chosen values, and how fresh that is.
#[derive(Debug, Default)]
pub(crate) struct RegisterView {
    /// The newest chosen value that is known.
    pub chosen: Option<Chosen>,
    /// The member list to count by. It may be newer than `chosen`: lists also come with directories.
    pub list: MemberList,
    /// Everything chosen before this moment is known.
    pub fresh_as_of: Option<Time>,
    /// The newest proposal number whose value others reported as chosen.
    pub hinted: ProposalNumber,
    config: Option<ConfigInForce>,
}

impl RegisterView {
    /// The proposal number of the newest chosen value.
    pub(crate) fn proposal(&self) -> ProposalNumber {
        self.chosen
            .as_ref()
            .map(|chosen| chosen.proposal)
            .unwrap_or_default()
    }

    /// Takes a chosen value; true where it is newer.
    pub(crate) fn learn(&mut self, proposal: ProposalNumber, value: Arc<RegisterValue>) -> bool {
        if proposal <= self.proposal() {
            return false;
        }
        self.adopt_list(value.member_list());
        self.adopt_config(&value);
        self.chosen = Some(Chosen { proposal, value });
        true
    }

    /// Takes a member list that was chosen; true where it is newer.
    pub(crate) fn adopt_list(&mut self, list: MemberList) -> bool {
        if list.version <= self.list.version || list.members.is_empty() {
            return false;
        }
        self.list = list;
        true
    }

    /// Everything chosen before `moment` is known now.
    pub(crate) fn freshen(&mut self, moment: Time) {
        self.fresh_as_of = self.fresh_as_of.max(Some(moment));
    }

    /// Whether everything chosen before `moment` is known.
    pub(crate) fn is_fresh(&self, moment: Time) -> bool {
        self.fresh_as_of >= Some(moment)
    }

    /// How old the view is at the most, in milliseconds; `None` before the first read of the register.
    pub(crate) fn age_ms(&self, now: Time) -> Option<u64> {
        let fresh_as_of = self.fresh_as_of?;
        Some(now.0.saturating_sub(fresh_as_of.0).div_ceil(MICROS_PER_MS))
    }

    /// The configuration in force.
    pub(crate) fn config(&self) -> Option<&ConfigInForce> {
        self.config.as_ref()
    }

    /// Its version, 0 before the first.
    pub(crate) fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    fn adopt_config(&mut self, value: &RegisterValue) {
        let version = value.config.version;
        if version <= self.config_version() {
            return;
        }
        let document = Arc::new(value.config.document.0.clone());
        self.config = Some(ConfigInForce { version, document });
    }
}
