//! The register view: the register's chosen values that this process knows, and the moment up to which they are
//! complete.

use std::sync::Arc;

use sagetrail_protocol::control::ProposalNumber;
use sagetrail_protocol::service::ConfigInForce;
use sagetrail_protocol::Time;

use crate::quorum::MemberList;
use crate::value::RegisterValue;

/// Microseconds in a millisecond.
const MICROS_PER_MS: u64 = 1_000;

/// A value of the register with the proposal number under which it was accepted.
#[derive(Clone, Debug)]
pub(crate) struct Chosen {
    /// The proposal number under which a majority has accepted the value.
    pub proposal: ProposalNumber,
    /// The value.
    pub value: Arc<RegisterValue>,
}

/// The chosen values of the register that are known, and how fresh that knowledge is.
#[derive(Debug, Default)]
pub(crate) struct RegisterView {
    /// The newest known chosen value.
    pub chosen: Option<Chosen>,
    /// The member list with which quorums are counted. It may be newer than the one in `chosen`, since member lists are
    /// also received with directories.
    pub list: MemberList,
    /// The view includes every value chosen before this moment; `None` before the first read.
    pub fresh_as_of: Option<Time>,
    /// The highest proposal number that another process reported as chosen while its value was not known here.
    pub hinted: ProposalNumber,
    /// The configuration in force; `None` before the first one.
    config: Option<ConfigInForce>,
}

impl RegisterView {
    /// The proposal number of the newest known chosen value; the lowest number if none is known.
    pub(crate) fn proposal(&self) -> ProposalNumber {
        self.chosen
            .as_ref()
            .map(|chosen| chosen.proposal)
            .unwrap_or_default()
    }

    /// Learns a chosen value; returns whether it is newer than the known one.
    pub(crate) fn learn(&mut self, proposal: ProposalNumber, value: Arc<RegisterValue>) -> bool {
        if proposal <= self.proposal() {
            return false;
        }
        self.adopt_list(value.member_list());
        self.adopt_config(&value);
        self.chosen = Some(Chosen { proposal, value });
        true
    }

    /// Adopts a chosen member list; returns whether it is newer than the known one.
    pub(crate) fn adopt_list(&mut self, list: MemberList) -> bool {
        if list.version <= self.list.version || list.members.is_empty() {
            return false;
        }
        self.list = list;
        true
    }

    /// Records that every value chosen before `moment` is known now.
    pub(crate) fn mark_fresh(&mut self, moment: Time) {
        self.fresh_as_of = self.fresh_as_of.max(Some(moment));
    }

    /// Whether every value chosen before `moment` is known.
    pub(crate) fn is_fresh(&self, moment: Time) -> bool {
        self.fresh_as_of >= Some(moment)
    }

    /// The upper bound of the view's age in milliseconds; `None` before the first read of the register.
    pub(crate) fn age_ms(&self, now: Time) -> Option<u64> {
        let fresh_as_of = self.fresh_as_of?;
        Some(now.0.saturating_sub(fresh_as_of.0).div_ceil(MICROS_PER_MS))
    }

    /// The configuration in force.
    pub(crate) fn config(&self) -> Option<&ConfigInForce> {
        self.config.as_ref()
    }

    /// The version of the configuration in force; 0 before the first configuration.
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
