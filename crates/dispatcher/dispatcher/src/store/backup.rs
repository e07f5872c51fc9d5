//! Backup of the committed state as text, and its restoration.
//!
//! ```text
//!   sagetrail backup 1 FLEET CHECKSUM       both as eight hexadecimal digits
//!   {"settings": TEXT, "out": [["runner", NAME], ["dispatcher", NAME], ...]}
//! ```

use serde_json::Value;
use thiserror::Error;

use sagetrail_replicated_store::OverrideTarget;

use super::admin_calls::CallReply;
use super::Store;

/// Version of the form of a backup.
const BACKUP_VERSION: &str = "1";
const RUNNER: &str = "runner";
const DISPATCHER: &str = "dispatcher";

/// Reason why a backup cannot be restored.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
enum BackupError {
    #[error("not a backup")]
    NoBackup,
    #[error("a backup of another version")]
    OtherVersion,
    #[error("another fleet's backup")]
    OtherFleet,
    #[error("an altered backup")]
    Altered,
    /// The settings cannot be used here, for the reason given in one line.
    #[error("{0}")]
    InvalidSettings(String),
}

/// The content of a backup.
struct Backup {
    settings: String,
    out_of_service: Vec<OverrideTarget>,
}

impl Store {
    /// Text of a backup of the committed state.
    pub(super) fn backup(&self) -> String {
        let node = self.node.borrow();
        let out: Vec<(&str, &str)> = node
            .committed
            .overrides
            .keys()
            .filter(|target| node.committed.is_out_of_service(target))
            .map(|target| match target {
                OverrideTarget::Runner(name) => (RUNNER, name.as_str()),
                OverrideTarget::Dispatcher(name) => (DISPATCHER, name.as_str()),
            })
            .collect();
        let body =
            serde_json::json!({ "settings": node.committed.settings(), "out": out }).to_string();
        format!(
            "sagetrail backup {BACKUP_VERSION} {:08x} {:08x}\n{body}\n",
            self.fleet_checksum,
            crc32fast::hash(body.as_bytes())
        )
    }

    /// Commits the content of a backup on top of the committed state.
    pub(super) async fn restore(&self, text: &str) -> CallReply {
        let backup = match self.check_backup(text) {
            Ok(backup) => backup,
            Err(error) => return CallReply::new(400, format!("{error}: nothing was changed\n")),
        };
        let is_in_force = self.node.borrow().committed.settings() == backup.settings;
        if !is_in_force {
            let reply = self.propose_settings(backup.settings).await;
            if reply.status != 200 {
                return reply;
            }
        }
        let mut all_committed = true;
        for target in backup.out_of_service {
            all_committed &= self.set_out_of_service(target, true).await;
        }
        match all_committed {
            true => CallReply::new(200, "restored\n"),
            false => CallReply::new(
                503,
                "settings are restored; words by hand are held here and not agreed yet\n",
            ),
        }
    }

    /// Reads a backup, and checks that it belongs to this fleet and that its settings can be used here.
    fn check_backup(&self, text: &str) -> Result<Backup, BackupError> {
        let backup = parse_backup(text, self.fleet_checksum)?;
        self.source
            .open_on(&backup.settings)
            .map_err(|error| BackupError::InvalidSettings(error.replace('\n', "; ")))?;
        Ok(backup)
    }
}

fn parse_backup(text: &str, own_fleet: u32) -> Result<Backup, BackupError> {
    let (header, body) = text
        .trim_end()
        .split_once('\n')
        .ok_or(BackupError::NoBackup)?;
    let words: Vec<&str> = header.split(' ').collect();
    let ["sagetrail", "backup", version, fleet, checksum] = words.as_slice() else {
        return Err(BackupError::NoBackup);
    };
    if *version != BACKUP_VERSION {
        return Err(BackupError::OtherVersion);
    }
    if *fleet != format!("{own_fleet:08x}") {
        return Err(BackupError::OtherFleet);
    }
    if *checksum != format!("{:08x}", crc32fast::hash(body.as_bytes())) {
        return Err(BackupError::Altered);
    }
    let body: Value = serde_json::from_str(body).map_err(|_| BackupError::NoBackup)?;
    let out = body["out"].as_array().into_iter().flatten();
    Ok(Backup {
        settings: body["settings"].as_str().unwrap_or_default().to_string(),
        out_of_service: out.map(parse_target).collect(),
    })
}

fn parse_target(item: &Value) -> OverrideTarget {
    let name = item[1].as_str().unwrap_or_default().to_string();
    match item[0] == RUNNER {
        true => OverrideTarget::Runner(name),
        false => OverrideTarget::Dispatcher(name),
    }
}
