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

use super::room::{Place, Room};
use super::service::{answer, ServiceContext};
use crate::input::Inputs;
use crate::phase::{reached, Phase, PhaseWatch};
use crate::transport::bind_listener;

/// After a failed accept (no descriptor, for instance) so long nothing is accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The most that a connection buffers of a request's head.
const BUFFER_BYTES: usize = 64 << 10;

/// What all listening addresses share.
#[derive(Clone)]
pub struct ServeContext {
    pub inputs: Inputs,
    pub phase: PhaseWatch,
    pub room: Arc<Room>,
    pub next_id: Arc<AtomicU64>,
}

/// A listening address that is served.
#[derive(Clone, Copy, Debug)]
pub struct Listening {
    /// The address in use, with its port also where any was asked for.
    pub address: SocketAddr,
}

/// Listens at an address and serves it until the process closes.
pub fn serve(
    address: SocketAddr,
    endpoint: HttpEndpoint,
    context: ServeContext,
) -> std::io::Result<Listening> {
    let listener = bind_listener(address)?;
    let address = listener.local_addr()?;
    tokio::spawn(accept(listener, endpoint, context));
    Ok(Listening { address })
}

async fn accept(listener: TcpListener, endpoint: HttpEndpoint, context: ServeContext) {
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
            Ok((stream, _)) => admit(stream, &context.room, &service),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

fn admit(stream: TcpStream, room: &Arc<Room>, service: &Arc<ServiceContext>) {
    let Some(place) = room.enter() else { return };
    if stream.set_nodelay(true).is_err() {
        return;
    }
    tokio::spawn(converse(stream, place, Arc::clone(service)));
}

/// Serves one connection until it ends, gives its place away or the process closes.
async fn converse(stream: TcpStream, place: Place, context: Arc<ServiceContext>) {
    let mut closing = context.phase.clone();
    let handler = service_fn(|request| answer(&context, &place, request));
    let mut builder = http1::Builder::new();
    builder.max_buf_size(BUFFER_BYTES);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), handler));
    tokio::select! {
        _ = connection.as_mut() => return,
        // A request may have been read in the same turn: it is answered first.
        () = place.evicted() => {
            if !place.is_busy() {
                return;
            }
        }
        () = reached(&mut closing, Phase::Closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
