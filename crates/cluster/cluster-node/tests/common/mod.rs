//! Helpers of the tests: folders of their own, free ports, waiting for a condition.

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

/// Nothing that is waited for takes longer.
pub(crate) const PATIENCE: Duration = Duration::from_secs(10);

static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);

/// An empty folder.
pub(crate) fn folder(name: &str) -> PathBuf {
    let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
    let own = format!("{name}-{}-{number}", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(own);
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// A process's name with a port that was free a moment ago.
pub(crate) fn free_node() -> NodeId {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = listener.local_addr().unwrap().port();
    NodeId::from_address(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
}

/// Waits, but not for ever.
pub(crate) async fn soon<T>(what: impl Future<Output = T>) -> T {
    tokio::time::timeout(PATIENCE, what)
        .await
        .expect("it does not come")
}

/// A small message that can be told from others.
pub(crate) fn numbered(number: u64) -> Message {
    Message::Subscribe(Subscribe {
        known_version: number,
        asked_at: 0,
    })
}

/// A message of so many bytes.
pub(crate) fn long(number: u64, bytes: usize) -> Message {
    let document = Blob(vec![number as u8; bytes]);
    Message::ConfigUpdate(ConfigUpdate {
        version: number,
        document,
    })
}
