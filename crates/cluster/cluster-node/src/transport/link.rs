//! Serves one connection with another process in both directions, from after its preamble to its end.

use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::TcpStream;

use super::frames::{missing_bytes, unpack};
use super::peer::{Link, Peer};
use super::shared::Shared;

/// The time-out of a write. A connection on which the peer accepts no bytes for this time is closed.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The minimum free space in the receive buffer before each read, in bytes.
const READ_BYTES: usize = 8 << 10;
/// The largest capacity, in bytes, with which an empty receive buffer is kept; a larger one is freed.
const RETAINED_BUFFER_BYTES: usize = 64 << 10;

/// Whether the caller has to dial after a connection ended.
#[must_use]
pub(super) enum LinkEnd {
    /// No frames are queued, or another connection sends them, or another task dials.
    Done,
    /// Frames are queued and no other task dials, so the caller has to.
    Redial,
}

/// Sends and receives until the connection ends. Frames that are still queued then are sent on another connection.
///
/// # Cancel safety
///
/// Not cancel safe: a frame taken from the queue may be written in part, and the connection stays attached to the peer.
pub(super) async fn run(
    mut stream: TcpStream,
    shared: &Shared,
    peer: &Peer,
    link: &Link,
) -> LinkEnd {
    let (reader, writer) = stream.split();
    tokio::select! {
        () = receive(reader, shared, peer) => {}
        () = send(writer, peer, link) => {}
        () = link.outdated.notified() => {}
    }
    drop(stream);
    if peer.detach(link) {
        LinkEnd::Redial
    } else {
        LinkEnd::Done
    }
}

async fn receive(mut reader: ReadHalf<'_>, shared: &Shared, peer: &Peer) {
    let mut received = BytesMut::new();
    loop {
        reserve(&mut received);
        match reader.read_buf(&mut received).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
        if !deliver_all(&mut received, shared, peer) {
            return;
        }
    }
}

/// Delivers all complete messages; returns false if the connection has to end.
fn deliver_all(received: &mut BytesMut, shared: &Shared, peer: &Peer) -> bool {
    loop {
        match unpack(received) {
            Ok(None) => return true,
            Ok(Some(message)) => {
                if !shared.deliver(peer.node, message) {
                    return false;
                }
            }
            Err(error) => {
                shared.log_closed(peer.node, &error);
                return false;
            }
        }
    }
}

/// Frees an empty buffer of a large capacity, and reserves space for the next read.
fn reserve(received: &mut BytesMut) {
    if received.is_empty() && received.capacity() > RETAINED_BUFFER_BYTES {
        *received = BytesMut::new();
    }
    received.reserve(missing_bytes(received).max(READ_BYTES));
}

async fn send(mut writer: WriteHalf<'_>, peer: &Peer, link: &Link) {
    loop {
        link.wake.notified().await;
        while let Some(frames) = peer.take(link) {
            if write_all(&mut writer, &frames).await.is_err() {
                return;
            }
        }
    }
}

/// Writes all bytes; fails if the peer accepts none for [`WRITE_TIMEOUT`].
async fn write_all(writer: &mut WriteHalf<'_>, mut frames: &[u8]) -> std::io::Result<()> {
    while !frames.is_empty() {
        let written = tokio::time::timeout(WRITE_TIMEOUT, writer.write(frames)).await??;
        if written == 0 {
            return Err(std::io::ErrorKind::WriteZero.into());
        }
        frames = &frames[written..];
    }
    Ok(())
}
