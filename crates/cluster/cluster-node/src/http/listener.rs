//! The HTTP listeners and their connections.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use sagetrail_protocol::node::HttpEndpoint;

use super::connection_limit::{ConnectionLimit, ConnectionSlot};
use super::service::{answer, ServiceContext};
use crate::input::Inputs;
use crate::lifecycle::{reached, Phase, PhaseReceiver};
use crate::transport::bind_listener;

/// The pause after a failed accept, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The limit on a connection's buffer for the head of a request, in bytes.
const BUFFER_BYTES: usize = 64 << 10;

/// The context that all HTTP listeners of a process share.
#[derive(Clone)]
pub struct ServerContext {
    /// The channel that requests are sent to.
    pub inputs: Inputs,
    /// The phase of the process.
    pub phase: PhaseReceiver,
    /// The limit on the connections of all listeners together.
    pub connection_limit: Arc<ConnectionLimit>,
    /// The id of the next request; ids are unique across all listeners.
    pub next_id: Arc<AtomicU64>,
}

/// An HTTP endpoint that is being served.
#[derive(Clone, Copy, Debug)]
pub struct ListeningEndpoint {
    /// The bound address. If the requested port was 0, this is the port that the system chose.
    pub address: SocketAddr,
}

/// Listens at an address and serves requests until [`Phase::Closing`].
///
/// # Errors
///
/// An error if the address can't be bound.
///
/// # Panics
///
/// Panics outside a Tokio runtime.
pub fn serve(
    address: SocketAddr,
    endpoint: HttpEndpoint,
    context: ServerContext,
) -> std::io::Result<ListeningEndpoint> {
    let listener = bind_listener(address)?;
    let address = listener.local_addr()?;
    tokio::spawn(accept(listener, endpoint, context));
    Ok(ListeningEndpoint { address })
}

async fn accept(listener: TcpListener, endpoint: HttpEndpoint, context: ServerContext) {
    let mut closing = context.phase.clone();
    let service = Arc::new(ServiceContext {
        endpoint,
        inputs: context.inputs,
        phase: context.phase,
        next_id: context.next_id,
    });
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = reached(&mut closing, Phase::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => admit(stream, &context.connection_limit, &service),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

fn admit(
    stream: TcpStream,
    connection_limit: &Arc<ConnectionLimit>,
    service: &Arc<ServiceContext>,
) {
    let Some(slot) = connection_limit.admit_connection() else {
        return;
    };
    if stream.set_nodelay(true).is_err() {
        return;
    }
    tokio::spawn(serve_connection(stream, slot, Arc::clone(service)));
}

/// Serves one connection until it ends, is evicted, or the process closes.
async fn serve_connection(stream: TcpStream, slot: ConnectionSlot, context: Arc<ServiceContext>) {
    let mut closing = context.phase.clone();
    let handler = service_fn(|request| answer(&context, &slot, request));
    let mut builder = http1::Builder::new();
    builder.max_buf_size(BUFFER_BYTES);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), handler));
    tokio::select! {
        _ = connection.as_mut() => return,
        // A request may have been read in the same poll. It is answered before the connection closes.
        () = slot.evicted() => {
            if !slot.is_busy() {
                return;
            }
        }
        () = reached(&mut closing, Phase::Closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
