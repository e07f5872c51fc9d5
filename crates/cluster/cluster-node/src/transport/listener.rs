//! Connections that other processes open.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

use sagetrail_protocol::frame::PREAMBLE_BYTES;

use super::frames::read_preamble;
use super::link::run;
use super::shared::Transport;
use super::socket::prepare_peer;

/// After a failed accept so long nothing is accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// A connection that has not named its process after so long is closed.
const PREAMBLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Accepts connections for as long as the process runs.
pub(super) async fn accept(listener: TcpListener, transport: Transport) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(welcome(stream, transport.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Learns who connects and goes on with the connection.
async fn welcome(mut stream: TcpStream, transport: Transport) {
    let mut bytes = [0; PREAMBLE_BYTES];
    let read = tokio::time::timeout(PREAMBLE_TIMEOUT, stream.read_exact(&mut bytes)).await;
    if !matches!(read, Ok(Ok(_))) || prepare_peer(&stream).is_err() {
        return;
    }
    let preamble = match read_preamble(&bytes) {
        Ok(preamble) => preamble,
        Err(error) => return complain(&stream, &transport, &error),
    };
    let peer = transport.peer(preamble.from);
    let link = peer.attach(transport.next_link(), Some(preamble.incarnation));
    run(stream, transport, peer, link).await;
}

fn complain(
    stream: &TcpStream,
    transport: &Transport,
    error: &sagetrail_protocol::frame::FrameError,
) {
    let who = stream
        .peer_addr()
        .map_or_else(|_| "a stranger".to_owned(), |address| address.to_string());
    transport.complain(who, error);
}
