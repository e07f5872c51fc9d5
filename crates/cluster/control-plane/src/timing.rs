//! Spans of time of the control plane, in milliseconds.

/// A replica grants a lease for so long from the moment at which it is asked.
pub(crate) const LEASE_MS: u64 = 900;
/// The leader counts on its lease for so long from the moment of asking: less, since clocks differ.
pub(crate) const LEADER_LEASE_MS: u64 = 765;
/// The leader renews its lease this often.
pub(crate) const RENEW_INTERVAL_MS: u64 = 150;
/// Replicas start elections spread over so long.
pub(crate) const ELECTION_JITTER_MS: u64 = 300;
/// After a resignation the election starts sooner.
pub(crate) const RESIGNED_JITTER_MS: u64 = 60;
/// A probe for votes is given up after so long.
pub(crate) const PRE_VOTE_MS: u64 = 300;
/// A message without an answer is sent again after so long.
pub(crate) const RESEND_MS: u64 = 200;
/// A round of the register without an outcome is started again after so long.
pub(crate) const ROUND_MS: u64 = 1_000;
/// The first and the longest pause between competing rounds.
pub(crate) const BACKOFF_MS: u64 = 20;
pub(crate) const BACKOFF_MAX_MS: u64 = 320;
/// What is known of the register is made fresh this often.
pub(crate) const POLL_MS: u64 = 500;
/// Configurations are handed out only while what is known of the register is no older.
pub(crate) const HANDOUT_MS: u64 = 1_000;
/// An acknowledgement waits at most so long for the scheduler to learn the change.
pub(crate) const LEARN_WAIT_MS: u64 = 300;
/// An order is answered so long before the operator's bound.
pub(crate) const ORDER_MARGIN_MS: u64 = 300;
/// A process that does not take part yet says hello this often.
pub(crate) const UNREADY_HELLO_MS: u64 = 150;
/// A process that has known nothing of the register for so long asks the seeds who the members are.
pub(crate) const OUT_OF_TOUCH_MS: u64 = 2_000;
/// A bootstrapping process that hears nothing new for so long founds.
pub(crate) const BOOTSTRAP_QUIET_MS: u64 = 700;
/// A bootstrapping process waits so long for enough processes.
pub(crate) const BOOTSTRAP_PATIENCE_MS: u64 = 2_500;
/// A bootstrapping process that is alone waits so long.
pub(crate) const BOOTSTRAP_ALONE_MS: u64 = 6_000;
/// A process that finds itself in the member list waits so long for the bootstrap before it recovers.
pub(crate) const BOOTSTRAP_GRACE_MS: u64 = 1_500;
/// A member that was silent for so long may be replaced by a learner that holds everything.
pub(crate) const UNREACHABLE_MS: u64 = 2_000;
/// The leader looks this often at who asks to join and whether a change of members may go on.
pub(crate) const MEMBERSHIP_INTERVAL_MS: u64 = 50;
/// A process that asks to join counts as there for so long.
pub(crate) const JOINER_MS: u64 = 2_000;
/// Batches that a member misses are kept, as far as there is room, until it was silent for so long.
pub(crate) const WINDOW_PATIENCE_MS: u64 = 6_000;
/// A replica that stays behind for so long fetches the whole records.
pub(crate) const BEHIND_MS: u64 = 400;
/// A source of the records that gives nothing for so long is left for another.
pub(crate) const SOURCE_SILENT_MS: u64 = 1_000;
/// An image of the records that nobody asked for is dropped after so long.
pub(crate) const SNAPSHOT_MS: u64 = 2_000;
/// A request that waits for fresh knowledge of the register is dropped after so long.
pub(crate) const DELAYED_MS: u64 = 1_000;
/// Core processes tell each other this often which leases of membership they hold.
pub(crate) const SHARE_INTERVAL_MS: u64 = 1_000;
/// Replies take the forwarder's way for so long after a relayed message.
pub(crate) const RELAY_MS: u64 = 2_000;
/// A terminated process ends after so long at the latest.
pub(crate) const TERMINATE_MS: u64 = 350;
/// A member that was asked to end, and whose successor is learning, stays until so long before the end of its grace.
pub(crate) const HANDOVER_MARGIN_MS: u64 = 1_000;
/// A terminated process that has nothing left to do ends after so long.
pub(crate) const TERMINATE_QUIET_MS: u64 = 50;
/// An order that surely was accepted nowhere is given back after so long.
pub(crate) const UNTOUCHED_MS: u64 = 1_000;
/// A process that came back says for so long that it holds its former term no more.
pub(crate) const RESIGN_FORMER_TERM_MS: u64 = 2_000;
/// And this often.
pub(crate) const RESIGN_INTERVAL_MS: u64 = 100;
