//! The time limits and factors of the deployment that the logic uses. The fields have the names of the settings file's
//! keys.

/// The time limits and factors of the deployment. A key that is missing in the settings file has the value of
/// [`Bounds::default`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The time without a fault after which a machine is treated as connected, in milliseconds.
    pub contact_ms: u64,
    /// The longest time until a configuration change is acknowledged to the operator, in milliseconds.
    pub ack_ms: u64,
    /// The longest time from the acknowledgement of a configuration until it is in force on every process, in
    /// milliseconds.
    pub config_apply_ms: u64,
    /// The time from the acknowledgement of a runner's drain notice after which the runner is sent no starts, in
    /// milliseconds.
    pub drain_ms: u64,
    /// The time from SIGTERM to SIGKILL, in seconds.
    pub grace_s: f64,
    /// The longest lease that a runner accepts, in milliseconds.
    pub hold_max_ms: u64,
    /// The longest time that stopping a run takes, in milliseconds.
    pub stop_ms: u64,
    /// The time for which a gang member waits for the other members, in milliseconds.
    pub gang_ms: u64,
    /// The time from the acknowledgement of a cancellation after which no task of the job is started, in milliseconds.
    pub cancel_ms: u64,
    /// The time by which a scheduled run may start early, in milliseconds.
    pub early_ms: u64,
    /// The time for which a job's state can be read after the job ended, in seconds.
    pub status_s: f64,
    /// The factor by which a task takes longer if it does not run near its data.
    pub far_x: f64,
    /// The amount of work between two checkpoints of a run, in seconds.
    pub save_s: f64,
    /// The time that a start from a checkpoint takes before it resumes, in milliseconds.
    pub restore_ms: u64,
    /// The time for which a machine is still treated as lost after it returned, in seconds.
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
