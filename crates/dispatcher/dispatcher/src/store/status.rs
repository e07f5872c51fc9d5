//! Status of the store as text for operators. Its words and their order are an interface.

use std::fmt::Write;

use sagetrail_raft::{SnapshotProgress, Status};
use sagetrail_replicated_store::{Node, OperatorOverride, OverrideTarget};

use super::Store;

/// Longest time in seconds without a leader that is printed: before the first leader it is infinite.
const MAX_PRINTED_S: f64 = 99_999.0;

impl Store {
    /// Text of the status. `is_current` is the outcome of a linearizable read, if one was requested.
    pub(super) fn status_page(&self, is_current: Option<bool>) -> String {
        let now = self.clock.now();
        let node = self.node.borrow();
        let mut page = String::new();
        self.write_log_status(&mut page, &node, &node.status(now), is_current);
        self.write_disk_and_settings(&mut page, &node);
        self.write_overrides(&mut page, &node);
        write_traffic(&mut page, &node, now);
        page
    }

    fn write_log_status(
        &self,
        page: &mut String,
        node: &Node,
        status: &Status,
        is_current: Option<bool>,
    ) {
        let leader = status
            .leader
            .map_or("nobody", |member| self.member_name(member));
        let _ = writeln!(
            page,
            "{} leader {leader} term {} agreed {} log {} votes {} behind {} silent_s {:.1}",
            status.role.to_string().replace(' ', "-"),
            status.term,
            node.applied_index,
            status.last_index,
            status.can_vote,
            node.is_behind(),
            status.since_leader_s.min(MAX_PRINTED_S)
        );
        if let Some(is_current) = is_current {
            let line = match is_current {
                true => "all that was agreed by now is here",
                false => "it may lack what is agreed",
            };
            let _ = writeln!(page, "{line}");
        }
        if let Some(SnapshotProgress {
            received_bytes,
            total_bytes,
        }) = status.incoming_snapshot
        {
            let _ = writeln!(
                page,
                "a snapshot is coming: {received_bytes} of {total_bytes} bytes"
            );
        }
        let voters = status.voters.iter().map(|voter| voter.member);
        let _ = writeln!(page, "voters {}", self.member_names(voters));
    }

    fn write_disk_and_settings(&self, page: &mut String, node: &Node) {
        let disk = match node.has_disk_failed() {
            true => "failed",
            false => "good",
        };
        let _ = writeln!(
            page,
            "disk {:016x} {disk}, {} batches wait",
            node.disk(),
            self.writing.borrow().len()
        );
        let _ = writeln!(
            page,
            "settings {} in force {}",
            node.committed.version(),
            self.version.get()
        );
        if let Some(rejected) = self.rejected_settings.borrow().as_ref() {
            let _ = writeln!(
                page,
                "version {} cannot be used here: {}",
                rejected.version, rejected.reason
            );
        }
    }

    fn write_overrides(&self, page: &mut String, node: &Node) {
        for active in node.active_overrides() {
            let state = match active.is_committed {
                true => "agreed",
                false => "said, not agreed yet",
            };
            let _ = writeln!(page, "out {} {state}", describe(&active.target));
        }
        for (target, overrides) in &node.committed.overrides {
            if overrides.len() > 1 {
                let _ = writeln!(
                    page,
                    "words differ on {}: {}; out holds until one decides",
                    describe(target),
                    self.describe_overrides(overrides)
                );
            }
        }
        let disabled = &node.committed.lending_disabled;
        if !disabled.is_empty() {
            let names = self.member_names(disabled.iter().copied());
            let _ = writeln!(page, "lends nothing: {names}");
        }
    }

    fn describe_overrides(&self, overrides: &[OperatorOverride]) -> String {
        let describe = |each: &OperatorOverride| {
            let direction = match each.out_of_service {
                true => "out",
                false => "back",
            };
            format!("{direction} by {}", self.member_name(each.member))
        };
        let all: Vec<String> = overrides.iter().map(describe).collect();
        all.join(", ")
    }

    fn member_names(&self, members: impl Iterator<Item = u64>) -> String {
        let names: Vec<&str> = members.map(|member| self.member_name(member)).collect();
        names.join(" ")
    }

    /// Difference between the version in force and the one before it, line by line.
    pub(super) fn settings_diff(&self) -> String {
        let node = self.node.borrow();
        let (previous, current) = match node.committed.versions.as_slice() {
            [] => return "nothing was agreed yet\n".to_string(),
            [current] => (None, current),
            [.., previous, current] => (Some(previous), current),
        };
        let old: Vec<&str> = previous.map_or(Vec::new(), |version| version.text.lines().collect());
        let new: Vec<&str> = current.text.lines().collect();
        let mut diff = format!(
            "version {} against {}\n",
            current.number,
            previous.map_or(0, |version| version.number)
        );
        for line in old.iter().filter(|line| !new.contains(line)) {
            let _ = writeln!(diff, "- {line}");
        }
        for line in new.iter().filter(|line| !old.contains(line)) {
            let _ = writeln!(diff, "+ {line}");
        }
        diff
    }
}

fn describe(target: &OverrideTarget) -> String {
    match target {
        OverrideTarget::Runner(name) => format!("runner {name}"),
        OverrideTarget::Dispatcher(name) => format!("dispatcher {name}"),
    }
}

fn write_traffic(page: &mut String, node: &Node, now: f64) {
    let counts = node.merged.count();
    let _ = writeln!(
        page,
        "merged {} of which marks {}",
        counts.items, counts.tombstones
    );
    let ready_in_s = (node.record_replica.ready_at() - now).max(0.0);
    let _ = writeln!(
        page,
        "records kept {} own out {}, takes claims in {ready_in_s:.1} s",
        node.record_replica.count(),
        node.claims.owned_count()
    );
    let (sent, received) = (node.sent, node.received);
    let _ = writeln!(
        page,
        "links sent {} frames {} bytes, taken {} frames {} bytes",
        sent.frames, sent.bytes, received.frames, received.bytes
    );
    for (error, count) in &node.rejected {
        let _ = writeln!(page, "passed over: {error} {count}");
    }
}
