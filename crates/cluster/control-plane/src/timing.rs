//! Spans of time of the control plane, in milliseconds.

/// A replica grants a lease for this long from the moment at which it is requested.
pub(crate) const LEASE_MS: u64 = 600;
/// The leader counts on its lease for this long from the moment of the request: less, since clocks differ.
pub(crate) const LEADER_LEASE_MS: u64 = 510;
/// The leader's interval between renewals of its lease.
pub(crate) const RENEW_INTERVAL_MS: u64 = 100;
/// Elections of the replicas are spread over this span.
pub(crate) const ELECTION_JITTER_MS: u64 = 200;
/// The same after a resignation: the election starts sooner.
pub(crate) const RESIGNED_JITTER_MS: u64 = 60;
/// Rounds of the register wait for an election that is under way, for this long after the end of the former lease.
pub(crate) const ELECTION_YIELD_MS: u64 = 500;
/// A pre-vote is given up after this time.
pub(crate) const PRE_VOTE_MS: u64 = 250;
/// A request without a reply is sent again after this time.
pub(crate) const RESEND_MS: u64 = 200;
/// A round of the register without an outcome is started again after this time.
pub(crate) const ROUND_MS: u64 = 1_000;
/// The first backoff between competing rounds.
pub(crate) const BACKOFF_MS: u64 = 20;
/// The longest backoff between competing rounds.
pub(crate) const BACKOFF_MAX_MS: u64 = 320;
/// The interval between reads of the register that nobody requires.
pub(crate) const POLL_MS: u64 = 500;
/// The oldest register view by which configurations are handed out.
pub(crate) const HANDOUT_MS: u64 = 1_000;
/// How long the answer to a configuration change waits for the scheduler to learn the change.
pub(crate) const LEARN_WAIT_MS: u64 = 300;
/// A configuration change is answered this long before the operator's bound.
pub(crate) const ANSWER_MARGIN_MS: u64 = 300;
/// The interval between hellos of a process that does not take part yet.
pub(crate) const UNREADY_HELLO_MS: u64 = 150;
/// A process whose register view is older asks other core processes who the members are.
pub(crate) const OUT_OF_TOUCH_MS: u64 = 2_000;
/// A process bootstraps the cluster once it has found no further candidate for this long.
pub(crate) const BOOTSTRAP_QUIET_MS: u64 = 700;
/// How long a bootstrapping process waits for as many candidates as the settings ask for.
pub(crate) const BOOTSTRAP_PATIENCE_MS: u64 = 2_500;
/// How long a bootstrapping process waits that finds no other candidate.
pub(crate) const BOOTSTRAP_ALONE_MS: u64 = 6_000;
/// How long a process in the member list waits for the bootstrap value before it recovers.
pub(crate) const BOOTSTRAP_GRACE_MS: u64 = 1_500;
/// A member that has been unreachable for this long may be replaced by a learner that holds everything.
pub(crate) const UNREACHABLE_MS: u64 = 2_000;
/// The leader's interval between checks for joiners and for the next step of a change of members.
pub(crate) const MEMBERSHIP_INTERVAL_MS: u64 = 50;
/// How long after its latest hello a process counts as asking to join.
pub(crate) const JOINER_MS: u64 = 2_000;
/// Batches that a member misses are kept, as far as there is room, until it has been silent for this long.
pub(crate) const WINDOW_PATIENCE_MS: u64 = 6_000;
/// A replica that lags for this long fetches a snapshot.
pub(crate) const BEHIND_MS: u64 = 400;
/// A source of records that has sent nothing for this long is replaced by another.
pub(crate) const SOURCE_SILENT_MS: u64 = 1_000;
/// A snapshot that nobody has requested for this long is dropped.
pub(crate) const SNAPSHOT_MS: u64 = 2_000;
/// A request that waits for a fresh register view is dropped after this time.
pub(crate) const PENDING_MS: u64 = 1_000;
/// The interval at which core processes report to each other the leases of membership that they hold.
pub(crate) const SHARE_INTERVAL_MS: u64 = 1_000;
/// How long after a relayed message replies take the same route.
pub(crate) const ROUTE_MS: u64 = 2_000;
/// After SIGTERM, requests still in flight are answered at this time at the latest.
pub(crate) const TERMINATE_MS: u64 = 350;
/// A member whose successor is learning stays until this long before the end of its grace.
pub(crate) const HANDOVER_MARGIN_MS: u64 = 1_000;
/// How long after SIGTERM a process ends that has nothing in flight.
pub(crate) const TERMINATE_QUIET_MS: u64 = 50;
/// A configuration change that surely was accepted nowhere is answered after this time.
pub(crate) const UNPROPOSED_MS: u64 = 1_000;
/// How long a restarted process resigns its former term.
pub(crate) const RESIGN_FORMER_TERM_MS: u64 = 2_000;
/// The interval between these resignations.
pub(crate) const RESIGN_INTERVAL_MS: u64 = 100;
