//! One connection with another process, in both directions, from its preamble to its end.

use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::TcpStream;

use super::frames::{missing, unpack};
use super::peer::{Link, Peer};
use super::shared::Shared;

/// A connection on which the peer takes nothing for this time is closed.
const STALLED: Duration = Duration::from_millis(1500);
/// Free space in the buffer before each read.
const READ_BYTES: usize = 8 << 10;
/// A larger buffer is freed once it is empty.
const RETAINED_BUFFER_BYTES: usize = 64 << 10;

/// What is left to do after a connection.
#[must_use]
pub(super) enum LinkEnd {
    /// Nothing is queued, or another connection sends it, or another task dials.
    Done,
    /// Frames are queued and nobody dials: the caller does.
    Redial,
}

/// Sends and receives until the connection ends. Frames that are still queued go by another connection.
///
/// # Cancel safety
///
/// Not cancel safe: a frame taken from the queue may be written in part, and the link stays attached.
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

/// Delivers all complete messages; false where the connection is to end.
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

fn reserve(received: &mut BytesMut) {
    if received.is_empty() && received.capacity() > RETAINED_BUFFER_BYTES {
        *received = BytesMut::new();
    }
    received.reserve(missing(received).max(READ_BYTES));
}

async fn send(mut writer: WriteHalf<'_>, peer: &Peer, link: &Link) {
    loop {
        link.wake.notified().await;
        while let Some(frames) = peer.take(link) {
            if write_steadily(&mut writer, &frames).await.is_err() {
                return;
            }
        }
    }
}

/// Writes everything; fails once the peer has taken nothing for [`STALLED`].
async fn write_steadily(writer: &mut WriteHalf<'_>, mut frames: &[u8]) -> std::io::Result<()> {
    while !frames.is_empty() {
        let written = tokio::time::timeout(STALLED, writer.write(frames)).await??;
        if written == 0 {
            return Err(std::io::ErrorKind::WriteZero.into());
        }
        frames = &frames[written..];
    }
    Ok(())
}
