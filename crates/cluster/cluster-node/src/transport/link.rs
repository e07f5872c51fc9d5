//! One connection with another process, in both directions, from its preamble to its end.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::TcpStream;

use super::dial::dial;
use super::frames::{missing, unpack};
use super::peer::{Link, Peer};
use super::shared::Transport;

/// A peer that takes nothing for so long is given up.
const STALLED: Duration = Duration::from_millis(1500);
/// Room for what is read at once.
const READ_BYTES: usize = 8 << 10;
/// A larger buffer is given back once it is empty.
const KEPT_BUFFER_BYTES: usize = 64 << 10;

/// Sends and receives until the connection ends. What is left goes by another connection.
pub(super) async fn run(
    mut stream: TcpStream,
    transport: Transport,
    peer: Arc<Peer>,
    link: Arc<Link>,
) {
    let (reader, writer) = stream.split();
    tokio::select! {
        () = receive(reader, &transport, &peer) => {}
        () = send(writer, &peer, &link) => {}
        () = link.outdated.notified() => {}
    }
    drop(stream);
    if peer.detach(&link) {
        tokio::spawn(dial_again(transport, peer));
    }
}

/// `dial` and `run` call each other; the type of their future must be named somewhere.
fn dial_again(transport: Transport, peer: Arc<Peer>) -> Pin<Box<dyn Future<Output = ()> + Send>> {
    Box::pin(dial(transport, peer))
}

async fn receive(mut reader: ReadHalf<'_>, transport: &Transport, peer: &Peer) {
    let mut received = BytesMut::new();
    loop {
        make_room(&mut received);
        match reader.read_buf(&mut received).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
        if !deliver_all(&mut received, transport, peer) {
            return;
        }
    }
}

/// Hands on all whole messages; false where the connection is to end.
fn deliver_all(received: &mut BytesMut, transport: &Transport, peer: &Peer) -> bool {
    loop {
        match unpack(received) {
            Ok(None) => return true,
            Ok(Some(message)) => {
                if !transport.deliver(peer.node, message) {
                    return false;
                }
            }
            Err(error) => {
                transport.complain(peer.node, &error);
                return false;
            }
        }
    }
}

fn make_room(received: &mut BytesMut) {
    if received.is_empty() && received.capacity() > KEPT_BUFFER_BYTES {
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

/// Writes all, as long as the peer goes on taking some.
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
