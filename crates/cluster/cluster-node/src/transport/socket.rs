//! Options of sockets.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// Bytes sent but not acknowledged for so long end a connection.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1500);
/// A silent connection is probed after so long, and again so often.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer that end a connection.
const HEALTH_CHECKS: u32 = 2;

/// Listens at an address that may have been in use a moment ago. Needs the runtime.
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

/// A peer that says nothing is noticed within two seconds, and small frames leave at once.
pub(super) fn prepare_peer(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probing = TcpKeepalive::new()
        .with_time(HEALTH_CHECK_INTERVAL)
        .with_interval(HEALTH_CHECK_INTERVAL)
        .with_retries(HEALTH_CHECKS);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_keepalive(&probing)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
}
