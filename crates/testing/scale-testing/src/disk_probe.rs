//! Writes and syncs a small file again and again beside the processes' disks: how long that takes is the machine's
//! part of each figure that waits for a disk.

use std::fs::File;
use std::io::{Seek, Write};
use std::path::Path;
use std::sync::mpsc::{channel, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::run_statistics::RunStatistics;
use crate::timings::Timing;

const INTERVAL: Duration = Duration::from_millis(100);
const BYTES: [u8; 512] = [7; 512];
const FILE: &str = "probe";

/// The probe at work, until it is ended.
pub struct DiskProbe {
    over: Sender<()>,
    thread: JoinHandle<std::io::Result<()>>,
}

impl DiskProbe {
    /// Starts on a thread of its own.
    pub fn start(folder: &Path, statistics: Arc<RunStatistics>) -> std::io::Result<DiskProbe> {
        let mut file = File::create(folder.join(FILE))?;
        let (over, ended) = channel::<()>();
        let thread = std::thread::spawn(move || {
            while ended.recv_timeout(INTERVAL) == Err(RecvTimeoutError::Timeout) {
                let started = Instant::now();
                file.rewind()?;
                file.write_all(&BYTES)?;
                file.sync_data()?;
                statistics
                    .timings
                    .record(Timing::DiskSync, "all", started.elapsed());
            }
            Ok(())
        });
        Ok(DiskProbe { over, thread })
    }

    /// Ends it.
    pub fn end(self) -> anyhow::Result<()> {
        drop(self.over);
        let ended = self
            .thread
            .join()
            .map_err(|_| anyhow::anyhow!("the probe of the disk has failed"))?;
        Ok(ended?)
    }
}
