//! Opening a connection to another process for what waits to be sent to it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::link::run;
use super::peer::Peer;
use super::shared::Transport;
use super::socket::prepare_peer;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
const MOST_DOUBLINGS: u32 = 4;

/// Tries to connect while something waits, with growing pauses; then sends by the connection until it ends.
pub(super) async fn dial(transport: Transport, peer: Arc<Peer>) {
    loop {
        if let Ok(stream) = connect(&transport, &peer).await {
            let link = peer.attach(transport.next_link(), None);
            peer.dialed();
            return run(stream, transport, peer, link).await;
        }
        tokio::time::sleep(with_jitter(pause_after(peer.failed()))).await;
        if !peer.still_needed(Instant::now()) {
            return;
        }
    }
}

async fn connect(transport: &Transport, peer: &Peer) -> io::Result<TcpStream> {
    let address = SocketAddr::from(peer.node.address());
    let connecting = TcpStream::connect(address);
    let mut stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
    prepare_peer(&stream)?;
    stream.write_all(&transport.shared.preamble).await?;
    Ok(stream)
}

/// Doubles with each failure.
fn pause_after(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(MOST_DOUBLINGS);
    (FIRST_PAUSE * (1 << doublings)).min(LONGEST_PAUSE)
}

/// Between a half and the whole of the pause, so that many do not come back at once.
fn with_jitter(pause: Duration) -> Duration {
    let steps = u32::from(rand_byte());
    pause / 2 + pause / 2 * steps / u32::from(u8::MAX)
}

fn rand_byte() -> u8 {
    use rand::TryRngCore;
    let mut byte = [u8::MAX];
    // Without it pauses are whole: no harm.
    let _ = rand::rngs::OsRng.try_fill_bytes(&mut byte);
    byte[0]
}
