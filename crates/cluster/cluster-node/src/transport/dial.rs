//! Opens connections: dials a peer while frames are queued for it.

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

/// The time-out of one attempt to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The backoff after the first failed attempt.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// The upper bound on the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// The limit on how often the backoff is doubled.
const MAX_DOUBLINGS: u32 = 4;

/// Tries to connect with exponential backoff while frames are queued. Serves the connection until it ends, and dials
/// again if frames are queued then and there is no other connection.
pub(super) async fn dial(shared: Arc<Shared>, peer: Arc<Peer>) {
    loop {
        if let Ok(stream) = connect(&shared, &peer).await {
            let link = peer.attach(shared.next_link(), None);
            peer.finish_dial();
            match run(stream, &shared, &peer, &link).await {
                LinkEnd::Done => return,
                LinkEnd::Redial => continue,
            }
        }
        tokio::time::sleep(with_jitter(backoff(peer.record_failed_dial()))).await;
        if !peer.needs_dial(Instant::now()) {
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

/// Returns the backoff, which doubles with each failure up to [`MAX_BACKOFF`].
fn backoff(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
    (MIN_BACKOFF * (1 << doublings)).min(MAX_BACKOFF)
}

/// Returns a random time between half of the backoff and all of it, so that many processes do not reconnect at the same
/// moment.
fn with_jitter(backoff: Duration) -> Duration {
    let steps = u32::from(random_byte());
    backoff / 2 + backoff / 2 * steps / u32::from(u8::MAX)
}

fn random_byte() -> u8 {
    use rand::TryRngCore;
    let mut byte = [u8::MAX];
    // Without a random source the backoff has no jitter.
    let _ = rand::rngs::OsRng.try_fill_bytes(&mut byte);
    byte[0]
}
