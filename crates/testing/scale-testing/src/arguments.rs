//! The command line.

use std::path::PathBuf;

use argh::FromArgs;

/// Plays a scale run: hollow runners and agents beside real core and frontend processes on loopback.
#[derive(FromArgs, Debug)]
pub struct Arguments {
    /// the scenario file (TOML)
    #[argh(positional)]
    pub scenario: PathBuf,
    /// folder for results (default: target/scale)
    #[argh(option, default = "PathBuf::from(\"target/scale\")")]
    pub results: PathBuf,
    /// folder of the programs sagetrail-core, sagetrail-frontend and sagetrail-side (default: this program's own)
    #[argh(option)]
    pub programs: Option<PathBuf>,
    /// folder in which the processes' disks are made (default: the system's for temporary files)
    #[argh(option, default = "std::env::temp_dir()")]
    pub disks: PathBuf,
    /// number of workers instead of the scenario's; rates go with it
    #[argh(option)]
    pub workers: Option<u32>,
    /// all in this process on simulated time: processor time of the logic alone, whatever else the machine does
    #[argh(switch)]
    pub simulated: bool,
    /// seed instead of the scenario's
    #[argh(option)]
    pub seed: Option<u64>,
}
