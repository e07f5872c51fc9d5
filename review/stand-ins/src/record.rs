//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            started: Instant::now(),
            file: Mutex::new(BufWriter::new(File::create(path)?)),
        })
    }

    pub fn say(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no holder panics");
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    /// Writes the line to the record and to standard output.
    pub fn tell(&self, text: &str) {
        self.say(text);
        println!("{text}");
        let _ = self.file.lock().expect("no holder panics").flush();
    }
}
