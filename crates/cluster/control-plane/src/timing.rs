//! Spans of time of the control plane, in milliseconds.

/// A replica grants a lease for so long from the moment at which it is asked.
pub const LEASE_MS: u64 = 900;
/// The owner counts on its lease for so long from the moment of asking: less, since clocks differ.
pub const OWNER_LEASE_MS: u64 = 765;
/// The owner renews its lease this often.
pub const RENEW_INTERVAL_MS: u64 = 150;
/// Replicas start elections spread over so long.
pub const ELECTION_JITTER_MS: u64 = 300;
/// After a resignation the election starts sooner.
pub const RESIGNED_JITTER_MS: u64 = 60;
/// A probe for votes is given up after so long.
pub const PROBE_MS: u64 = 300;
/// A message without an answer is sent again after so long.
pub const RESEND_MS: u64 = 200;
/// A round of the register without an outcome is started again after so long.
pub const ROUND_MS: u64 = 1_000;
/// The first and the longest pause between competing rounds.
pub const BACKOFF_MS: u64 = 20;
pub const BACKOFF_MAX_MS: u64 = 320;
/// What is known of the register is made fresh this often.
pub const POLL_MS: u64 = 500;
/// Configurations are handed out only while what is known of the register is no older.
pub const HANDOUT_MS: u64 = 1_000;
/// An acknowledgement waits at most so long for the scheduler to learn the change.
pub const LEARN_WAIT_MS: u64 = 300;
/// An order is answered so long before the operator's bound.
pub const ORDER_MARGIN_MS: u64 = 300;
/// A process that does not take part yet says hello this often.
pub const UNREADY_HELLO_MS: u64 = 150;
/// A process that has known nothing of the register for so long asks the seeds who the members are.
pub const OUT_OF_TOUCH_MS: u64 = 2_000;
/// A founder that hears nothing new for so long founds.
pub const FOUNDING_QUIET_MS: u64 = 700;
/// A founder waits so long for enough processes.
pub const FOUNDING_PATIENCE_MS: u64 = 2_500;
/// A founder that is alone waits so long.
pub const FOUNDING_ALONE_MS: u64 = 6_000;
/// A process that finds itself in the member list waits so long for the founding before it recovers.
pub const FOUNDING_GRACE_MS: u64 = 1_500;
/// A member that was silent for so long may be replaced by a learner that holds everything.
pub const UNREACHABLE_MS: u64 = 2_000;
/// The owner looks this often at who asks to join and whether a change of members may go on.
pub const MEMBERSHIP_INTERVAL_MS: u64 = 50;
/// A process that asks to join counts as there for so long.
pub const JOINER_MS: u64 = 2_000;
/// Batches that a member misses are kept, as far as there is room, until it was silent for so long.
pub const WINDOW_PATIENCE_MS: u64 = 6_000;
/// A replica that stays behind for so long fetches the whole records.
pub const BEHIND_MS: u64 = 400;
/// A source of the records that gives nothing for so long is left for another.
pub const SOURCE_SILENT_MS: u64 = 1_000;
/// An image of the records that nobody asked for is dropped after so long.
pub const SNAPSHOT_MS: u64 = 2_000;
/// A request that waits for fresh knowledge of the register is dropped after so long.
pub const DELAYED_MS: u64 = 1_000;
/// Core processes tell each other this often which leases of membership they hold.
pub const SHARE_INTERVAL_MS: u64 = 1_000;
/// Replies take the forwarder's way for so long after a relayed message.
pub const RELAY_MS: u64 = 2_000;
/// A terminated process ends after so long at the latest.
pub const TERMINATE_MS: u64 = 350;
/// A member that was asked to end, and whose successor is learning, stays until so long before the end of its grace.
pub const HANDOVER_MARGIN_MS: u64 = 1_000;
/// A terminated process that has nothing left to do ends after so long.
pub const TERMINATE_QUIET_MS: u64 = 50;
/// An order that surely was accepted nowhere is given back after so long.
pub const UNTOUCHED_MS: u64 = 1_000;
/// A process that came back says for so long that it holds its former term no more.
pub const RENOUNCE_MS: u64 = 2_000;
/// And this often.
pub const RENOUNCE_INTERVAL_MS: u64 = 100;
