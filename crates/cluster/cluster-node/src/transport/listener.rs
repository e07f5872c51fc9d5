//! Accepts and serves the connections that other processes open.

use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

use sagetrail_protocol::frame::{FrameError, PREAMBLE_BYTES};

use super::dial::dial;
use super::frames::read_preamble;
use super::link::{run, LinkEnd};
use super::shared::Shared;
use super::socket::prepare_peer;

/// The pause after a failed accept, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The time-out for the preamble. A connection on which it has not arrived by then is closed.
const PREAMBLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Accepts connections until the runtime drops the task.
pub(super) async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_accepted(stream, Arc::clone(&shared)));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Reads the preamble and serves the connection.
async fn serve_accepted(mut stream: TcpStream, shared: Arc<Shared>) {
    let mut bytes = [0; PREAMBLE_BYTES];
    let read = tokio::time::timeout(PREAMBLE_TIMEOUT, stream.read_exact(&mut bytes)).await;
    if !matches!(read, Ok(Ok(_))) || prepare_peer(&stream).is_err() {
        return;
    }
    let preamble = match read_preamble(&bytes) {
        Ok(preamble) => preamble,
        Err(error) => return log_closed(&stream, &shared, &error),
    };
    let peer = shared.peer(preamble.from);
    let link = peer.attach(shared.next_link(), Some(preamble.incarnation));
    match run(stream, &shared, &peer, &link).await {
        LinkEnd::Done => {}
        LinkEnd::Redial => dial(shared, peer).await,
    }
}

fn log_closed(stream: &TcpStream, shared: &Shared, error: &FrameError) {
    let peer = stream
        .peer_addr()
        .map_or_else(|_| "unknown".to_owned(), |address| address.to_string());
    shared.log_closed(peer, error);
}
