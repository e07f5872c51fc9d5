//! The store's part of the admin API: paths under `/store`.

use sagetrail_dispatch::name_hash;
use sagetrail_replicated_store::{Command, MAX_SETTINGS_BYTES};

use super::Store;

/// The reply to a call: an HTTP status, and a text for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallReply {
    /// The HTTP status.
    pub status: u16,
    /// The text.
    pub text: String,
}

impl CallReply {
    pub(super) fn new(status: u16, text: impl Into<String>) -> CallReply {
        CallReply {
            status,
            text: text.into(),
        }
    }

    /// The reply for the outcome of a command.
    fn for_outcome(outcome: Option<bool>) -> CallReply {
        match outcome {
            Some(true) => CallReply::new(200, "agreed\n"),
            Some(false) => {
                CallReply::new(409, "refused: another word came first, or it cannot hold\n")
            }
            None => CallReply::new(503, "not agreed in time; it may still be\n"),
        }
    }

    fn no_such_member() -> CallReply {
        CallReply::new(404, "no such member\n")
    }
}

impl Store {
    /// Answers a call of the admin API; `changes_state` tells POST from GET.
    pub(crate) async fn admin_call(
        &self,
        path: &str,
        changes_state: bool,
        body: &[u8],
    ) -> CallReply {
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (changes_state, segments.as_slice()) {
            (false, ["store"]) => CallReply::new(200, self.status_page(None)),
            (false, ["store", "fresh"]) => {
                let is_current = self.confirm_current().await;
                CallReply::new(200, self.status_page(Some(is_current)))
            }
            (false, ["store", "diff"]) => CallReply::new(200, self.settings_diff()),
            (false, ["store", "backup"]) => CallReply::new(200, self.backup()),
            (true, ["store", "trust"]) => {
                self.node.borrow_mut().trust_disk();
                CallReply::new(200, "this disk is trusted\n")
            }
            (true, ["store", "propose"]) => match text(body) {
                Some(text) => self.propose_settings(text).await,
                None => CallReply::new(400, "no text, or over 64 KiB\n"),
            },
            (true, ["store", "back"]) => self.revert_settings().await,
            (true, ["store", "restore"]) => match text(body) {
                Some(text) => self.restore(&text).await,
                None => CallReply::new(400, "no backup, or over 64 KiB\n"),
            },
            (true, ["store", "add", name]) => self.add_voter(name).await,
            (true, ["store", "remove", name]) => self.remove_voter(name).await,
            (true, ["store", "voters", names]) => self.set_voters(names).await,
            (true, ["store", "lend", name, "on"]) => self.set_lending(name, true).await,
            (true, ["store", "lend", name, "off"]) => self.set_lending(name, false).await,
            _ => CallReply::new(404, "no such call\n"),
        }
    }

    /// Proposes settings that can be used here.
    pub(super) async fn propose_settings(&self, text: String) -> CallReply {
        if let Err(error) = self.source.open_on(&text) {
            return CallReply::new(400, format!("{error}\n"));
        }
        let base_version = self.node.borrow().committed.version();
        let command = Command::Settings { text, base_version };
        match self.commit(command).await {
            Some(true) => CallReply::new(200, format!("version {} is agreed\n", base_version + 1)),
            Some(false) => CallReply::new(409, "another version came first\n"),
            None => CallReply::new(503, "not agreed in time; it may still be\n"),
        }
    }

    /// Proposes again the version before the one in force.
    async fn revert_settings(&self) -> CallReply {
        match self.previous_settings() {
            Some(text) => self.propose_settings(text).await,
            None => CallReply::new(409, "there is no version before this one\n"),
        }
    }

    /// Text of the version before the one in force; empty for the first version, because nothing was committed before
    /// it.
    fn previous_settings(&self) -> Option<String> {
        let versions = &self.node.borrow().committed.versions;
        match versions.as_slice() {
            [.., previous, _] => Some(previous.text.clone()),
            [only] if only.number == 1 => Some(String::new()),
            _ => None,
        }
    }

    async fn add_voter(&self, name: &str) -> CallReply {
        let Some(member) = self.member_number(name) else {
            return CallReply::no_such_member();
        };
        let mut voters = self.voters_without(member);
        voters.push(member);
        self.commit_voters(voters).await
    }

    async fn remove_voter(&self, name: &str) -> CallReply {
        let Some(member) = self.member_number(name) else {
            return CallReply::no_such_member();
        };
        self.commit_voters(self.voters_without(member)).await
    }

    /// The voters without one member: those that are committed, or the configured ones if none are.
    fn voters_without(&self, member: u64) -> Vec<u64> {
        let committed = self.node.borrow().committed.voters.clone();
        let mut voters = match committed.is_empty() {
            true => self
                .config
                .voters
                .iter()
                .map(|name| name_hash(name))
                .collect(),
            false => committed,
        };
        voters.retain(|voter| *voter != member);
        voters
    }

    async fn commit_voters(&self, voters: Vec<u64>) -> CallReply {
        let is_even = voters.len().is_multiple_of(2);
        let mut reply = CallReply::for_outcome(self.commit(Command::Voters(voters)).await);
        if reply.status == 200 && is_even {
            reply
                .text
                .push_str("an even number of voters bears no more losses than one less\n");
        }
        reply
    }

    /// Sets the voters. `names` are separated by commas.
    async fn set_voters(&self, names: &str) -> CallReply {
        let voters: Option<Vec<u64>> = names
            .split(',')
            .map(|name| self.member_number(name))
            .collect();
        match voters {
            Some(voters) => CallReply::for_outcome(self.commit(Command::Voters(voters)).await),
            None => CallReply::no_such_member(),
        }
    }

    async fn set_lending(&self, name: &str, enabled: bool) -> CallReply {
        match self.member_number(name) {
            Some(member) => {
                let command = Command::Lending { member, enabled };
                CallReply::for_outcome(self.commit(command).await)
            }
            None => CallReply::no_such_member(),
        }
    }
}

/// The body as text, unless it is longer than settings may be.
fn text(body: &[u8]) -> Option<String> {
    String::from_utf8(body.to_vec())
        .ok()
        .filter(|text| text.len() <= MAX_SETTINGS_BYTES)
}
