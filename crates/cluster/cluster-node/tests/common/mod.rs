//! Helpers of the tests: empty folders, free ports, time-outs and messages.

#![allow(dead_code)]
pub(crate) mod client;
pub(crate) mod cluster;
pub(crate) mod runner;

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use sagetrail_protocol::distribution::{ConfigUpdate, Subscribe};
use sagetrail_protocol::{Blob, Message, NodeId};

/// The time-out of [`with_timeout`].
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);

/// Creates an empty folder that no other test uses.
pub(crate) fn folder(name: &str) -> PathBuf {
    let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
    let unique_name = format!("{name}-{}-{number}", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(unique_name);
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// Returns the id of a process on loopback, with a port that was free just before.
pub(crate) fn free_node() -> NodeId {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = listener.local_addr().unwrap().port();
    NodeId::from_address(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
}

/// Awaits a future; panics after [`WAIT_TIMEOUT`].
pub(crate) async fn with_timeout<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(WAIT_TIMEOUT, future)
        .await
        .expect("the future completes before the time-out")
}

/// Creates a small message that is identified by its number.
pub(crate) fn numbered(number: u64) -> Message {
    Message::Subscribe(Subscribe {
        known_version: number,
        asked_at: 0,
    })
}

/// Creates a message with a number and a document of this length in bytes.
pub(crate) fn long(number: u64, bytes: usize) -> Message {
    let document = Blob(vec![number as u8; bytes]);
    Message::ConfigUpdate(ConfigUpdate {
        version: number,
        document,
    })
}
