//! Time spans of the control plane. All are in milliseconds.

/// The duration for which a replica grants a lease, counted from the receipt of the request.
pub(crate) const LEASE_MS: u64 = 600;
/// The duration for which a leader relies on a lease, counted from the sending of its request. It is shorter than
/// `LEASE_MS` because clocks run at different rates.
pub(crate) const LEADER_LEASE_MS: u64 = 510;
/// The interval at which a leader renews its lease.
pub(crate) const RENEW_INTERVAL_MS: u64 = 100;
/// The upper bound of the random delay between the end of a lease and a replica's candidacy.
pub(crate) const ELECTION_JITTER_MS: u64 = 200;
/// The upper bound of that delay after a resignation. It is shorter, so that the election starts sooner.
pub(crate) const RESIGNED_JITTER_MS: u64 = 60;
/// The duration after the end of a lease for which rounds of the register wait for the election of the next leader.
pub(crate) const ELECTION_YIELD_MS: u64 = 500;
/// The duration after which a candidate gives up a pre-vote.
pub(crate) const PRE_VOTE_MS: u64 = 250;
/// The duration after which a request without a reply is sent again.
pub(crate) const RESEND_MS: u64 = 200;
/// The duration after which a round of the register without an outcome is started again.
pub(crate) const ROUND_MS: u64 = 1_000;
/// The first backoff between competing rounds.
pub(crate) const BACKOFF_MS: u64 = 20;
/// The longest backoff between competing rounds.
pub(crate) const BACKOFF_MAX_MS: u64 = 320;
/// The interval between background reads of the register, which no request requires.
pub(crate) const POLL_MS: u64 = 500;
/// The maximum age of the register view from which configurations are distributed.
pub(crate) const MAX_DISTRIBUTED_VIEW_AGE_MS: u64 = 1_000;
/// The maximum time that the answer to a configuration change waits for the scheduler to learn the change.
pub(crate) const LEARN_WAIT_MS: u64 = 300;
/// The time before the operator's time limit at which a configuration change is answered.
pub(crate) const ANSWER_MARGIN_MS: u64 = 300;
/// The interval between hellos of a process that does not participate yet.
pub(crate) const UNREADY_HELLO_MS: u64 = 150;
/// The age of the register view above which a process asks other core processes for the member list.
pub(crate) const VIEW_OUTDATED_MS: u64 = 2_000;
/// The time without a further candidate after which a process bootstraps the cluster.
pub(crate) const BOOTSTRAP_QUIET_MS: u64 = 700;
/// The time for which a bootstrapping process waits for the number of candidates that the settings require.
pub(crate) const BOOTSTRAP_WAIT_MS: u64 = 2_500;
/// The time for which a bootstrapping process waits if it finds no other candidate.
pub(crate) const BOOTSTRAP_SINGLE_NODE_WAIT_MS: u64 = 6_000;
/// The time for which a process in the member list waits for the bootstrap value before it recovers.
pub(crate) const BOOTSTRAP_GRACE_MS: u64 = 1_500;
/// The time after which an unreachable member may be replaced by a learner that holds all state.
pub(crate) const UNREACHABLE_MS: u64 = 2_000;
/// The interval at which the leader checks for joining processes and for the next step of a membership change.
pub(crate) const MEMBERSHIP_INTERVAL_MS: u64 = 50;
/// The time after its latest hello for which a process counts as requesting to join.
pub(crate) const JOINER_MS: u64 = 2_000;
/// The time without a message from a replica after which the leader no longer retains the batches that the replica
/// lacks. Until then it retains them within the limits of the batch window.
pub(crate) const MISSED_BATCH_RETENTION_MS: u64 = 6_000;
/// The time after which a replica that lags behind the leader fetches a snapshot.
pub(crate) const BEHIND_MS: u64 = 400;
/// The time without a message after which a source of records is replaced by another one.
pub(crate) const SOURCE_SILENT_MS: u64 = 1_000;
/// The time since its last request after which a snapshot is dropped.
pub(crate) const SNAPSHOT_MS: u64 = 2_000;
/// The time after which a request that waits for a fresh register view is dropped.
pub(crate) const PENDING_MS: u64 = 1_000;
/// The interval at which core processes report the membership leases that they hold to each other.
pub(crate) const SHARE_INTERVAL_MS: u64 = 1_000;
/// The time after a relayed message for which replies take the same route.
pub(crate) const ROUTE_MS: u64 = 2_000;
/// The time after SIGTERM by which requests still in flight are answered.
pub(crate) const TERMINATE_MS: u64 = 350;
/// The time before the end of its grace period until which a terminating member waits for a learning successor.
pub(crate) const HANDOVER_MARGIN_MS: u64 = 1_000;
/// The time after SIGTERM at which a process without requests in flight ends.
pub(crate) const TERMINATE_QUIET_MS: u64 = 50;
/// The time after which a configuration change that cannot have been accepted by any acceptor is answered.
pub(crate) const UNPROPOSED_MS: u64 = 1_000;
/// The time after a restart during which a process keeps sending resignations of its former term.
pub(crate) const RESIGN_FORMER_TERM_MS: u64 = 2_000;
/// The interval between the resignations of the former term.
pub(crate) const RESIGN_INTERVAL_MS: u64 = 100;
