//! Opening connections: dials a peer while frames are queued for it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::link::{run, LinkEnd};
use super::peer::Peer;
use super::shared::Shared;
use super::socket::prepare_peer;

/// The time-out of one attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The backoff after the first failure.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest backoff.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Failures after which the backoff grows no more.
const MAX_DOUBLINGS: u32 = 4;

/// Tries to connect while frames are queued, with exponential backoff; then serves the connection until it ends, and
/// dials again if that left frames without a connection.
pub(super) async fn dial(shared: Arc<Shared>, peer: Arc<Peer>) {
    loop {
        if let Ok(stream) = connect(&shared, &peer).await {
            let link = peer.attach(shared.next_link(), None);
            peer.dialed();
            match run(stream, &shared, &peer, &link).await {
                LinkEnd::Done => return,
                LinkEnd::Redial => continue,
            }
        }
        tokio::time::sleep(with_jitter(backoff(peer.failed()))).await;
        if !peer.still_needed(Instant::now()) {
            return;
        }
    }
}

async fn connect(shared: &Shared, peer: &Peer) -> io::Result<TcpStream> {
    let address = SocketAddr::from(peer.node.address());
    let connecting = TcpStream::connect(address);
    let mut stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
    prepare_peer(&stream)?;
    stream.write_all(&shared.preamble).await?;
    Ok(stream)
}

/// The backoff; doubles with each failure.
fn backoff(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
    (FIRST_PAUSE * (1 << doublings)).min(LONGEST_PAUSE)
}

/// Between half and all of the backoff, so that many processes don't reconnect at one moment.
fn with_jitter(pause: Duration) -> Duration {
    let steps = u32::from(random_byte());
    pause / 2 + pause / 2 * steps / u32::from(u8::MAX)
}

fn random_byte() -> u8 {
    use rand::TryRngCore;
    let mut byte = [u8::MAX];
    // Without a random source the backoff has no jitter.
    let _ = rand::rngs::OsRng.try_fill_bytes(&mut byte);
    byte[0]
}
