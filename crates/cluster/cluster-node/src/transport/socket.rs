//! Options of sockets.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// Bytes not acknowledged for this time end a connection.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1500);
/// A silent connection is probed after this time, and each time again.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes that end a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Listens at an address that may have been in use a moment ago (`SO_REUSEADDR`).
///
/// # Errors
///
/// Where the address can't be bound.
///
/// # Panics
///
/// Outside a Tokio runtime.
pub fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Sets the options by which an unreachable peer is detected within two seconds and small frames are sent at once.
pub(super) fn prepare_peer(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
}
