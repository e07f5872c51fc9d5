//! The deployment's bounds that the logic needs. Fields are named as the keys of the settings file.

/// Bounds of the deployment. A key that the settings file leaves out has the value of [`Bounds::default`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// A machine counts as connected once it has been without a fault for this time, in milliseconds.
    pub contact_ms: u64,
    /// The longest time until a configuration change is acknowledged to the operator, in milliseconds.
    pub ack_ms: u64,
    /// The longest time from the acknowledgement of a configuration until it is in force everywhere, in milliseconds.
    pub config_apply_ms: u64,
    /// The time from the acknowledgement of a runner's drain notice after which it gets no start, in milliseconds.
    pub drain_ms: u64,
    /// From SIGTERM to SIGKILL, in seconds.
    pub grace_s: f64,
    /// The longest lease that a runner takes, in milliseconds.
    pub hold_max_ms: u64,
    /// The longest time that a stop takes, in milliseconds.
    pub stop_ms: u64,
    /// The time for which a gang member waits for the others, in milliseconds.
    pub gang_ms: u64,
    /// The time from the acknowledgement of a cancellation after which the job gets no start, in milliseconds.
    pub cancel_ms: u64,
    /// How far ahead of its time a scheduled run may start, in milliseconds.
    pub early_ms: u64,
    /// The time for which a job's state can be read after its end, in seconds.
    pub status_s: f64,
    /// The factor by which a task takes longer away from its data.
    pub far_x: f64,
    /// The work between two checkpoints of a run, in seconds.
    pub save_s: f64,
    /// The time that a start from a checkpoint takes before it resumes, in milliseconds.
    pub restore_ms: u64,
    /// The time after its return for which a machine still counts as lost, in seconds.
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
