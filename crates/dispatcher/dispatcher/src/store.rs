//! Between the store's node and the rest: frames go out on the links, records to the disk, what is agreed to the
//! exchange, the fleet and the admin API. No decision here.

use crate::client_context::ClientContext;
use crate::clock::Clock;
use crate::disk::{self, Disk, Done, Job};
use crate::fleet::Fleet;
use crate::sockets::Mailbox;
use crate::start::Source;
use crate::trial::Broken;
use bytes::Bytes;
use rand::{Rng, SeedableRng};
use sagetrail_dispatch::number;
use sagetrail_raft::{SnapshotProgress, Timing};
use sagetrail_replicated_store::{
    encode_header, ActiveOverride, Batch, ClaimOutcome, Command, Completion, Node, NodeConfig,
    OutboundFrame, OverrideTarget, RetryAnswer, RetryPolicy, WorkItemName, CLAIM_TIMEOUT_S,
    MAX_SETTINGS_BYTES,
};
use sagetrail_settings::{Fleet as Members, Recorded, Store as Said};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::time::timeout;

/// Frames that wait for one member; more are lost, and asked for again.
pub(crate) const QUEUE: usize = 1024;
/// Batches that wait for the disk: with more of them it counts as failed.
const BATCHES_MOST: usize = 4096;
/// A caller at the door waits so long for agreement.
const AGREE: Duration = Duration::from_millis(800);
/// Merged state is written down this often at the most.
const KEEP_S: f64 = 2.0;

pub(crate) struct Store {
    pub node: RefCell<Node>,
    kick: Notify,
    clock: Clock,
    pub said: Said,
    fleet: Rc<Fleet>,
    /// Every member by its number: its name, and where it is reached.
    names: BTreeMap<u64, String>,
    me: u64,
    name: String,
    fleet_sum: u32,
    queues: BTreeMap<u64, mpsc::Sender<Bytes>>,
    disk: Disk,
    writing: RefCell<VecDeque<Batch>>,
    claims: RefCell<BTreeMap<u64, oneshot::Sender<ClaimOutcome>>>,
    /// Moves on whenever something was agreed or joined.
    progress: watch::Sender<u64>,
    source: Source,
    out: RefCell<BTreeSet<String>>,
    drained: Cell<bool>,
    /// The version in force here, and one that cannot be used here and why.
    version: Cell<u64>,
    unusable: RefCell<Option<(u64, String)>>,
    next_keep: Cell<f64>,
    dirty: Cell<bool>,
    broken: Option<Broken>,
    pub discovery_at: watch::Sender<SocketAddr>,
}

/// Queues of frames, by member, for the links to send.
pub(crate) type Queues = Vec<(SocketAddr, mpsc::Receiver<Bytes>)>;

/// A store and what its tasks need.
pub(crate) struct OpenStore {
    pub store: Rc<Store>,
    /// Batches that the disk has written.
    pub done: mpsc::UnboundedReceiver<Done>,
    pub queues: Queues,
}

impl Store {
    pub(crate) fn open(
        said: Said,
        members: &Members,
        fleet: Rc<Fleet>,
        clock: Clock,
        source: Source,
        discovery_at: watch::Sender<SocketAddr>,
        trial: (disk::Ill, Option<Broken>),
    ) -> Result<OpenStore, String> {
        let (ill, broken) = trial;
        let mut chance = rand_pcg::Pcg64Mcg::from_os_rng();
        let me = number(&members.members[members.me].name);
        let fleet_sum = crc32fast::hash(members.name.as_bytes());
        let found = disk::find(&said.folder, fleet_sum, me, chance.random())?;
        let config = NodeConfig {
            fleet: members.name.clone(),
            member: me,
            members: members
                .members
                .iter()
                .map(|member| number(&member.name))
                .collect(),
            initial_voters: said.voters.iter().map(|name| number(name)).collect(),
            timing: Timing {
                heartbeat_s: said.beat_s,
                election_timeout_s: said.patience_s,
            },
            incarnation: (clock.unix * 1e3) as u64,
            process: chance.random(),
            disk: found.disk,
            records: if broken == Some(Broken::ForgetsWords) {
                Vec::new()
            } else {
                found.records
            },
            records_written: found.records_written,
            tombstone_retention_s: said.marks_s,
            record_retention_s: said.records_s,
        };
        let mut node = Node::new(config, clock.now());
        if broken == Some(Broken::TakesClaimsEarly) {
            node.record_replica.skip_recovery();
        }
        if let Some((bytes, age_s)) = found.merged {
            // A damaged copy is fetched from others.
            let _ = node.merged.restore(clock.now(), &bytes, age_s);
        }
        let (disk, done) = Disk::start(said.folder.clone(), ill)
            .map_err(|error| format!("the store's thread: {error}"))?;
        let (mut queues, mut receivers) = (BTreeMap::new(), Vec::new());
        for member in members
            .members
            .iter()
            .filter(|member| number(&member.name) != me)
        {
            let (queue, frames) = mpsc::channel(QUEUE);
            queues.insert(number(&member.name), queue);
            receivers.push((member.at, frames));
        }
        let name = members.members[members.me].name.clone();
        let store = Store {
            node: RefCell::new(node),
            kick: Notify::new(),
            clock,
            said,
            fleet,
            names: members
                .members
                .iter()
                .map(|member| (number(&member.name), member.name.clone()))
                .collect(),
            me,
            name,
            fleet_sum,
            queues,
            disk,
            writing: RefCell::default(),
            claims: RefCell::default(),
            progress: watch::Sender::new(0),
            source,
            out: RefCell::default(),
            drained: Cell::new(false),
            version: Cell::new(0),
            unusable: RefCell::default(),
            next_keep: Cell::new(0.0),
            dirty: Cell::new(false),
            broken,
            discovery_at,
        };
        Ok(OpenStore {
            store: Rc::new(store),
            done,
            queues: receivers,
        })
    }

    /// The settings that are agreed on, as far as they can be used here.
    pub(crate) fn settings(&self) -> String {
        let node = self.node.borrow();
        match self.unusable.borrow().as_ref() {
            Some((version, _)) => {
                let usable = node
                    .committed
                    .versions
                    .iter()
                    .rev()
                    .find(|v| v.number < *version);
                usable.map_or(String::new(), |version| version.text.clone())
            }
            None => node.committed.settings().to_string(),
        }
    }

    // ---- the loop ----

    pub(crate) async fn keep(
        self: Rc<Self>,
        mut done: mpsc::UnboundedReceiver<Done>,
        mailbox: Mailbox,
        client_context: Rc<ClientContext>,
    ) {
        self.flush(&mailbox, &client_context);
        loop {
            let due = self.node.borrow().deadline();
            let said = tokio::select! {
                said = done.recv() => said,
                () = self.clock.sleep_until(due) => None,
                () = self.kick.notified() => None,
            };
            if let Some(said) = said {
                self.lasts(said);
            }
            let now = self.clock.now();
            if self.node.borrow().deadline() <= now {
                self.node.borrow_mut().tick(now);
            }
            self.flush(&mailbox, &client_context);
        }
    }

    /// A frame has come.
    pub(crate) fn heard(&self, frame: &[u8]) {
        self.node.borrow_mut().receive(self.clock.now(), frame);
        self.kick.notify_one();
        self.hand_out();
        self.tell_claims(false);
    }

    fn lasts(&self, said: Done) {
        let now = self.clock.now();
        match said {
            Ok(n) => {
                for _ in 0..n {
                    let Some(batch) = self.writing.borrow_mut().pop_front() else {
                        return;
                    };
                    self.post(batch.frames);
                    self.node.borrow_mut().persisted(now, batch.position);
                }
            }
            Err(why) => {
                tracing::error!(
                    "the store's disk failed, nothing is promised from here any more: {why}"
                );
                self.writing.borrow_mut().clear();
                self.node.borrow_mut().fail_disk();
            }
        }
    }

    fn post(&self, frames: Vec<OutboundFrame>) {
        for OutboundFrame { to, bytes } in frames {
            // Lost is lost: what matters is sent again.
            self.queues
                .get(&to)
                .map(|queue| queue.try_send(Bytes::from(bytes)));
        }
    }

    fn hand_out(&self) {
        let out = std::mem::take(&mut self.node.borrow_mut().outbound);
        self.post(out);
        loop {
            let Some(batch) = self.node.borrow_mut().next_batch() else {
                return;
            };
            let mut writing = self.writing.borrow_mut();
            if writing.is_empty() && batch.bytes.is_empty() {
                drop(writing);
                self.post(batch.frames);
                continue;
            }
            if writing.len() >= BATCHES_MOST {
                drop(writing);
                return self.lasts(Err("it is too slow".to_string()));
            }
            let bytes = batch.bytes.clone();
            self.disk.put(if batch.rewrite {
                Job::Anew(bytes)
            } else {
                Job::Append(bytes)
            });
            writing.push_back(batch);
        }
    }

    fn tell_claims(&self, all: bool) {
        let now = self.clock.now();
        let mut claims = self.claims.borrow_mut();
        let answered = std::mem::take(&mut self.node.borrow_mut().answered_claims);
        let look: Vec<u64> = if all {
            claims.keys().copied().collect()
        } else {
            answered
        };
        for no in look {
            let outcome = self.node.borrow_mut().claim_outcome(now, no);
            if let Some(outcome) = outcome {
                claims.remove(&no).map(|claim| claim.send(outcome));
            }
        }
    }

    fn flush(&self, mailbox: &Mailbox, client_context: &Rc<ClientContext>) {
        let now = self.clock.now();
        let fault = self.node.borrow().fault();
        if let Some(fault) = fault {
            tracing::error!("the replicated log is put aside, joining again blank: {fault}");
            let fresh = rand_pcg::Pcg64Mcg::from_os_rng().random();
            self.writing.borrow_mut().clear();
            self.disk
                .put(Job::Aside(encode_header(self.fleet_sum, self.me, fresh, 0)));
            self.node.borrow_mut().restart_blank(now, fresh);
        }
        self.hand_out();
        self.tell_claims(true);
        let lends = {
            let node = self.node.borrow();
            let fresh =
                node.status(now).since_leader_s < self.said.stale_s || node.status(now).term == 0;
            fresh && !node.is_behind() && !node.committed.lending_disabled.contains(&self.me)
        };
        self.fleet.lends(lends);
        let (changed, behind) = {
            let mut node = self.node.borrow_mut();
            (std::mem::take(&mut node.changed), node.is_behind())
        };
        if changed {
            self.take_up(behind, mailbox, client_context);
            self.dirty.set(true);
            self.progress.send_modify(|n| *n += 1);
        }
        if self.dirty.get() && now >= self.next_keep.get() {
            self.dirty.set(false);
            self.next_keep.set(now + KEEP_S);
            self.disk
                .put(Job::Merged(self.node.borrow().merged.encode()));
        }
    }

    /// What is agreed now goes where it is used. One that is behind takes nothing back: it may not know why it was said.
    fn take_up(&self, behind: bool, mailbox: &Mailbox, client_context: &Rc<ClientContext>) {
        let (mut runners, mut drained) = (BTreeSet::new(), false);
        for ActiveOverride { target, .. } in self.node.borrow().active_overrides() {
            match target {
                OverrideTarget::Runner(name) => _ = runners.insert(name),
                OverrideTarget::Dispatcher(name) => drained |= name == self.name,
            }
        }
        let mut out = self.out.borrow_mut();
        if behind {
            runners.extend(out.iter().cloned());
            drained |= self.drained.get();
        }
        if runners != *out {
            out.clone_from(&runners);
            mailbox.put(move |exchange| exchange.held_out(runners));
        }
        if self.drained.replace(drained) != drained {
            client_context.drain(drained);
        }
        let (version, text) = {
            let node = self.node.borrow();
            (
                node.committed.version(),
                node.committed.settings().to_string(),
            )
        };
        let tried = self
            .unusable
            .borrow()
            .as_ref()
            .map_or(0, |(version, _)| *version);
        if behind || version == self.version.get() || version == tried {
            return;
        }
        match self.source.open_on(&text) {
            Ok(start) => {
                self.version.set(version);
                *self.unusable.borrow_mut() = None;
                tracing::info!("version {version} of the agreed settings is in force");
                if let Some(said) = &start.fleet {
                    self.fleet.limits(said, &start.categories);
                }
                self.discovery_at.send_if_modified(|at| {
                    std::mem::replace(at, start.discovery_at) != start.discovery_at
                });
                let plan = start.plan;
                mailbox.put(move |exchange| {
                    exchange
                        .outside()
                        .siting
                        .iter_mut()
                        .for_each(|siting| siting.plan(plan.clone()))
                });
            }
            Err(why) => {
                let why = why.replace('\n', "; ");
                tracing::warn!(
                    "version {version} of the agreed settings cannot be used here: {why}"
                );
                *self.unusable.borrow_mut() = Some((version, why));
            }
        }
    }

    // ---- attempts that are recorded ----

    /// Makes a work item known to others before it is taken. Its number, or what is answered at once.
    pub(crate) async fn claim(
        &self,
        category: &str,
        called: &str,
        recorded: &Recorded,
    ) -> Result<Option<u64>, RetryAnswer> {
        if self.broken == Some(Broken::RecordsNothing) {
            return Ok(None);
        }
        let name = WorkItemName::new(category, called);
        let (tell, told) = oneshot::channel();
        let no = self
            .node
            .borrow_mut()
            .claim_name(self.clock.now(), name, recorded.copies);
        self.claims.borrow_mut().insert(no, tell);
        self.hand_out();
        self.tell_claims(true);
        self.kick.notify_one();
        let outcome = timeout(Duration::from_secs_f64(CLAIM_TIMEOUT_S), told)
            .await
            .ok()
            .and_then(Result::ok);
        self.claims.borrow_mut().remove(&no);
        // Guards against a claim that is granted when nobody waits for it any more.
        let outcome = outcome.unwrap_or_else(|| {
            self.node.borrow_mut().abandon_claim(self.clock.now(), no);
            ClaimOutcome::NoQuorum
        });
        match outcome {
            ClaimOutcome::Owned { .. } => Ok(Some(no)),
            ClaimOutcome::NoQuorum if recorded.send => Ok(None),
            outcome => Err(RetryPolicy {
                window_s: recorded.window_s,
            }
            .answer(&outcome)),
        }
    }

    /// A recorded work item has been answered.
    pub(crate) fn complete_claim(&self, no: u64, completion: Completion) {
        self.node
            .borrow_mut()
            .complete_claim(self.clock.now(), no, completion);
        self.hand_out();
        self.kick.notify_one();
    }

    // ---- operators ----

    async fn until<T>(&self, mut look: impl FnMut(&mut Node) -> Option<T>) -> Option<T> {
        let mut progress = self.progress.subscribe();
        let waits = async {
            loop {
                if let Some(found) = look(&mut self.node.borrow_mut()) {
                    return found;
                }
                // Reads are answered without anything new.
                let _ = timeout(Duration::from_millis(20), progress.changed()).await;
            }
        };
        timeout(AGREE, waits).await.ok()
    }

    /// Has something agreed: whether it was taken; `None` if that is not known yet.
    async fn agree(&self, command: Command) -> Option<bool> {
        let no = self
            .node
            .borrow_mut()
            .propose(self.clock.now(), command)
            .ok()?;
        self.hand_out();
        self.kick.notify_one();
        let done = self.until(|node| node.proposal_outcome(no)).await;
        if done.is_none() {
            self.node.borrow_mut().abandon_proposal(no);
        }
        done
    }

    /// Says one out, or back in service, for all; whether that is agreed. Out holds at once, agreed or not.
    pub(crate) async fn word(&self, target: OverrideTarget, out: bool) -> bool {
        if self.broken == Some(Broken::WordsStayHere) {
            return true;
        }
        if !out
            && self
                .node
                .borrow()
                .active_overrides()
                .iter()
                .all(|active| active.target != target)
        {
            return true;
        }
        let no = self
            .node
            .borrow_mut()
            .set_out_of_service(self.clock.now(), target, out);
        self.hand_out();
        self.kick.notify_one();
        let Ok(no) = no else { return false };
        let done = self.until(|node| node.proposal_outcome(no)).await;
        if done.is_none() && !out {
            // Nobody waits for it: later it could put back what was taken out anew.
            self.node.borrow_mut().abandon_proposal(no);
        }
        done == Some(true)
    }

    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    fn member(&self, name: &str) -> Option<u64> {
        self.names
            .iter()
            .find(|(_, known)| *known == name)
            .map(|(who, _)| *who)
    }

    fn named(&self, who: u64) -> &str {
        self.names.get(&who).map_or("?", String::as_str)
    }

    /// A call at the door: status and text.
    pub(crate) async fn call(&self, path: &str, says: bool, body: &[u8]) -> (u16, String) {
        let words: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let text = || {
            String::from_utf8(body.to_vec())
                .ok()
                .filter(|text| text.len() <= MAX_SETTINGS_BYTES)
        };
        let said = |done: Option<bool>| match done {
            Some(true) => (200, "agreed\n".to_string()),
            Some(false) => (
                409,
                "refused: another word came first, or it cannot hold\n".to_string(),
            ),
            None => (503, "not agreed in time; it may still be\n".to_string()),
        };
        match (says, words.as_slice()) {
            (false, ["store"]) => (200, self.status(false).await),
            (false, ["store", "fresh"]) => (200, self.status(true).await),
            (false, ["store", "diff"]) => (200, self.diff()),
            (false, ["store", "backup"]) => (200, self.backup()),
            (true, ["store", "trust"]) => {
                self.node.borrow_mut().trust_disk();
                (200, "this disk is trusted\n".to_string())
            }
            (true, ["store", "propose"]) => match text() {
                Some(text) => self.propose(text).await,
                None => (400, "no text, or over 64 KiB\n".to_string()),
            },
            (true, ["store", "back"]) => {
                let before = {
                    let node = self.node.borrow();
                    let versions = &node.committed.versions;
                    // Before the first there were none.
                    let before = versions
                        .len()
                        .checked_sub(2)
                        .map(|n| versions[n].text.clone());
                    before.or(versions
                        .first()
                        .filter(|first| first.number == 1)
                        .map(|_| String::new()))
                };
                match before {
                    Some(text) => self.propose(text).await,
                    None => (409, "there is no version before this one\n".to_string()),
                }
            }
            (true, ["store", "restore"]) => match text() {
                Some(text) => self.restore(&text).await,
                None => (400, "no backup, or over 64 KiB\n".to_string()),
            },
            (true, ["store", how @ ("add" | "remove"), name]) => {
                let Some(who) = self.member(name) else {
                    return (404, "no such member\n".to_string());
                };
                let mut voters = {
                    let node = self.node.borrow();
                    match node.committed.voters.is_empty() {
                        true => self.said.voters.iter().map(|name| number(name)).collect(),
                        false => node.committed.voters.clone(),
                    }
                };
                voters.retain(|voter| *voter != who);
                if *how == "add" {
                    voters.push(who);
                }
                let even = voters.len().is_multiple_of(2);
                let (status, mut text) = said(self.agree(Command::Voters(voters)).await);
                if status == 200 && even {
                    text.push_str("an even number of voters bears no more losses than one less\n");
                }
                (status, text)
            }
            (true, ["store", "voters", names]) => {
                let voters: Option<Vec<u64>> =
                    names.split(',').map(|name| self.member(name)).collect();
                match voters {
                    Some(voters) => said(self.agree(Command::Voters(voters)).await),
                    None => (404, "no such member\n".to_string()),
                }
            }
            (true, ["store", "lend", name, on @ ("on" | "off")]) => match self.member(name) {
                Some(who) => said(
                    self.agree(Command::Lending {
                        member: who,
                        enabled: *on == "on",
                    })
                    .await,
                ),
                None => (404, "no such member\n".to_string()),
            },
            _ => (404, "no such call\n".to_string()),
        }
    }

    async fn propose(&self, text: String) -> (u16, String) {
        // Whole and usable here, or not at all.
        if let Err(why) = self.source.open_on(&text) {
            return (400, format!("{why}\n"));
        }
        let on = self.node.borrow().committed.version();
        match self
            .agree(Command::Settings {
                text,
                base_version: on,
            })
            .await
        {
            Some(true) => (200, format!("version {} is agreed\n", on + 1)),
            Some(false) => (409, "another version came first\n".to_string()),
            None => (503, "not agreed in time; it may still be\n".to_string()),
        }
    }

    async fn status(&self, fresh: bool) -> String {
        let sure = match fresh {
            true => {
                let no = self.node.borrow_mut().read(self.clock.now());
                self.hand_out();
                Some(
                    self.until(|node| node.is_read_done(no).then_some(()))
                        .await
                        .is_some(),
                )
            }
            false => None,
        };
        let now = self.clock.now();
        let node = self.node.borrow();
        let s = node.status(now);
        let mut lines = String::new();
        let leader = s.leader.map_or("nobody", |who| self.named(who));
        let _ = writeln!(
            lines,
            "{} leader {leader} term {} agreed {} log {} votes {} behind {} silent_s {:.1}",
            s.role.to_string().replace(' ', "-"),
            s.term,
            node.applied_index,
            s.last_index,
            s.can_vote,
            node.is_behind(),
            s.since_leader_s.min(99_999.0)
        );
        if let Some(sure) = sure {
            let word = if sure {
                "all that was agreed by now is here"
            } else {
                "it may lack what is agreed"
            };
            let _ = writeln!(lines, "{word}");
        }
        if let Some(SnapshotProgress {
            received_bytes,
            total_bytes,
        }) = s.incoming_snapshot
        {
            let _ = writeln!(
                lines,
                "a snapshot is coming: {received_bytes} of {total_bytes} bytes"
            );
        }
        let voters: Vec<&str> = s
            .voters
            .iter()
            .map(|voter| self.named(voter.member))
            .collect();
        let _ = writeln!(lines, "voters {}", voters.join(" "));
        let disk = if node.has_disk_failed() {
            "failed"
        } else {
            "good"
        };
        let _ = writeln!(
            lines,
            "disk {:016x} {disk}, {} batches wait",
            node.disk(),
            self.writing.borrow().len()
        );
        let _ = writeln!(
            lines,
            "settings {} in force {}",
            node.committed.version(),
            self.version.get()
        );
        if let Some((version, why)) = self.unusable.borrow().as_ref() {
            let _ = writeln!(lines, "version {version} cannot be used here: {why}");
        }
        let describe = |target: &OverrideTarget| match target {
            OverrideTarget::Runner(name) => format!("runner {name}"),
            OverrideTarget::Dispatcher(name) => format!("dispatcher {name}"),
        };
        for active in node.active_overrides() {
            let how = if active.is_committed {
                "agreed"
            } else {
                "said, not agreed yet"
            };
            let _ = writeln!(lines, "out {} {how}", describe(&active.target));
        }
        for (whom, all) in node
            .committed
            .overrides
            .iter()
            .filter(|(_, all)| all.len() > 1)
        {
            let words: Vec<String> = all
                .iter()
                .map(|said| {
                    format!(
                        "{} by {}",
                        if said.out_of_service { "out" } else { "back" },
                        self.named(said.member)
                    )
                })
                .collect();
            let _ = writeln!(
                lines,
                "words differ on {}: {}; out holds until one decides",
                describe(whom),
                words.join(", ")
            );
        }
        let no_loans: Vec<&str> = node
            .committed
            .lending_disabled
            .iter()
            .map(|who| self.named(*who))
            .collect();
        if !no_loans.is_empty() {
            let _ = writeln!(lines, "lends nothing: {}", no_loans.join(" "));
        }
        let counts = node.merged.count();
        let _ = writeln!(
            lines,
            "merged {} of which marks {}",
            counts.items, counts.tombstones
        );
        let from = (node.record_replica.ready_at() - now).max(0.0);
        let _ = writeln!(
            lines,
            "records kept {} own out {}, takes claims in {from:.1} s",
            node.record_replica.count(),
            node.claims.owned_count()
        );
        let (sent, taken) = (node.sent, node.received);
        let _ = writeln!(
            lines,
            "links sent {} frames {} bytes, taken {} frames {} bytes",
            sent.frames, sent.bytes, taken.frames, taken.bytes
        );
        for (error, count) in &node.rejected {
            let _ = writeln!(lines, "passed over: {error} {count}");
        }
        lines
    }

    /// The version in force against the one before it, line by line.
    fn diff(&self) -> String {
        let node = self.node.borrow();
        let versions = &node.committed.versions;
        let Some(last) = versions.last() else {
            return "nothing was agreed yet\n".to_string();
        };
        let before = versions.len().checked_sub(2).map(|n| &versions[n]);
        let old: Vec<&str> = before.map_or(Vec::new(), |version| version.text.lines().collect());
        let new: Vec<&str> = last.text.lines().collect();
        let mut lines = format!(
            "version {} against {}\n",
            last.number,
            before.map_or(0, |version| version.number)
        );
        old.iter()
            .filter(|line| !new.contains(line))
            .for_each(|line| _ = writeln!(lines, "- {line}"));
        new.iter()
            .filter(|line| !old.contains(line))
            .for_each(|line| _ = writeln!(lines, "+ {line}"));
        lines
    }

    fn backup(&self) -> String {
        let node = self.node.borrow();
        let out: Vec<(&str, &str)> = node
            .committed
            .overrides
            .keys()
            .filter(|target| node.committed.is_out_of_service(target))
            .map(|target| match target {
                OverrideTarget::Runner(name) => ("runner", name.as_str()),
                OverrideTarget::Dispatcher(name) => ("dispatcher", name.as_str()),
            })
            .collect();
        let body =
            serde_json::json!({ "settings": node.committed.settings(), "out": out }).to_string();
        format!(
            "sagetrail backup 1 {:08x} {:08x}\n{body}\n",
            self.fleet_sum,
            crc32fast::hash(body.as_bytes())
        )
    }

    /// Has all that a backup says agreed anew, on top of what is agreed.
    async fn restore(&self, text: &str) -> (u16, String) {
        let bad = |why: &str| (400, format!("{why}: nothing was changed\n"));
        let Some((head, body)) = text.trim_end().split_once('\n') else {
            return bad("not a backup");
        };
        let words: Vec<&str> = head.split(' ').collect();
        let ["sagetrail", "backup", version, fleet, sum] = words.as_slice() else {
            return bad("not a backup");
        };
        if *version != "1" {
            return bad("a backup of another version");
        }
        if *fleet != format!("{:08x}", self.fleet_sum) {
            return bad("another fleet's backup");
        }
        if *sum != format!("{:08x}", crc32fast::hash(body.as_bytes())) {
            return bad("an altered backup");
        }
        let Ok(body) = serde_json::from_str::<serde_json::Value>(body) else {
            return bad("not a backup");
        };
        let settings = body["settings"].as_str().unwrap_or_default().to_string();
        if let Err(why) = self.source.open_on(&settings) {
            return bad(&why.replace('\n', "; "));
        }
        let same = self.node.borrow().committed.settings() == settings;
        if !same {
            let (status, why) = self.propose(settings).await;
            if status != 200 {
                return (status, why);
            }
        }
        let mut all = true;
        for item in body["out"].as_array().into_iter().flatten() {
            let name = item[1].as_str().unwrap_or_default().to_string();
            let target = if item[0] == "runner" {
                OverrideTarget::Runner(name)
            } else {
                OverrideTarget::Dispatcher(name)
            };
            all &= self.word(target, true).await;
        }
        match all {
            true => (200, "restored\n".to_string()),
            false => (
                503,
                "settings are restored; words by hand are held here and not agreed yet\n"
                    .to_string(),
            ),
        }
    }
}
