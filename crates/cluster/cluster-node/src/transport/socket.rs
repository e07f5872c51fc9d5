//! Creates listening sockets and sets the socket options of connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};

/// The limit on connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// The time-out for acknowledgements (`TCP_USER_TIMEOUT`). A connection whose sent bytes are not acknowledged for this
/// time is closed.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1500);
/// The idle time after which a connection is probed, and the interval between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Listens at an address, which may have been in use until just before (`SO_REUSEADDR`).
///
/// # Errors
///
/// An error if the address can't be bound.
///
/// # Panics
///
/// Panics outside a Tokio runtime.
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
