//! The deployment's figures that the logic needs, as the settings file gives them.

/// Bounds of the deployment. Milliseconds unless the name says otherwise.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// A machine counts as in touch after so long without trouble.
    pub contact_ms: u64,
    /// The operator waits so long for an acknowledgement.
    pub ack_ms: u64,
    /// An acknowledged configuration is in force everywhere after so long.
    pub config_apply_ms: u64,
    /// A draining runner gets no start so long after the acknowledgement of its notice.
    pub drain_ms: u64,
    /// From SIGTERM to SIGKILL, in seconds.
    pub grace_s: f64,
    /// The longest hold a runner grants.
    pub hold_max_ms: u64,
    /// A stop takes at most so long.
    pub stop_ms: u64,
    /// A member of a gang waits so long for the others.
    pub gang_ms: u64,
    /// No start so long after a cancelling was acknowledged.
    pub cancel_ms: u64,
    /// A scheduled run may start so much before its time.
    pub early_ms: u64,
    /// A job's state is told for so long after its end, in seconds.
    pub status_s: f64,
    /// Away from its data a task takes so many times as long.
    pub far_x: f64,
    /// Progress is saved with every so much work, in seconds.
    pub save_s: f64,
    /// A start from a checkpoint takes so long before it resumes.
    pub restore_ms: u64,
    /// So long after its return a machine counts as lost, in seconds.
    pub catch_up_s: f64,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            contact_ms: 3000,
            ack_ms: 4000,
            config_apply_ms: 2000,
            drain_ms: 2000,
            grace_s: 6.0,
            hold_max_ms: 6000,
            stop_ms: 900,
            gang_ms: 3000,
            cancel_ms: 3000,
            early_ms: 250,
            status_s: 120.0,
            far_x: 1.5,
            save_s: 2.0,
            restore_ms: 600,
            catch_up_s: 4.0,
        }
    }
}
