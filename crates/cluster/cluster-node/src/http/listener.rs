//! Listening addresses and their connections.

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

/// The pause after a failed accept (no descriptor, for instance).
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The most that a connection buffers of a request's head, in bytes.
const BUFFER_BYTES: usize = 64 << 10;

/// What all listening addresses share.
#[derive(Clone)]
pub struct ServerContext {
    /// Where requests go.
    pub inputs: Inputs,
    /// The phase of the process.
    pub phase: PhaseReceiver,
    /// The limit on connections of all addresses together.
    pub connection_limit: Arc<ConnectionLimit>,
    /// The id of the next request.
    pub next_id: Arc<AtomicU64>,
}

/// A listening address that is served.
#[derive(Clone, Copy, Debug)]
pub struct ListeningEndpoint {
    /// The bound address, with the actual port where 0 was given.
    pub address: SocketAddr,
}

/// Listens at an address and serves it until [`Phase::Closing`].
///
/// # Errors
///
/// Where the address can't be bound.
///
/// # Panics
///
/// Outside a Tokio runtime.
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
        // A request may have been read in the same poll: it is answered first.
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
