//! Messages between processes over loopback. Guards against changes of the bytes on the wire, lost or reordered
//! messages on a working connection, unbounded queues, and peers that are not reached again after a restart.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use deku::DekuContainerWrite;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

use sagetrail_cluster_node::input::Input;
use sagetrail_cluster_node::transport::Transport;
use sagetrail_protocol::distribution::{ConfigCurrent, Subscribe};
use sagetrail_protocol::frame::{Preamble, MAGIC, PROTOCOL_VERSION};
use sagetrail_protocol::{Incarnation, Message, NodeId};

use common::{free_node, long, numbered, with_timeout};

struct Process {
    node: NodeId,
    transport: Transport,
    inputs: mpsc::UnboundedReceiver<Input>,
}

impl Process {
    fn start(node: NodeId, incarnation: Incarnation) -> Process {
        let (sender, inputs) = mpsc::unbounded_channel();
        let transport = Transport::start(node, incarnation, sender).unwrap();
        Process {
            node,
            transport,
            inputs,
        }
    }

    async fn next(&mut self) -> (NodeId, Message) {
        match with_timeout(self.inputs.recv()).await.unwrap() {
            Input::Message { from, message } => (from, message),
            _ => panic!("expected Input::Message, got another input"),
        }
    }

    /// Sends a message until it arrives once, since messages may be lost when a connection ends.
    async fn send_until_received(&self, other: &mut Process, message: Message) {
        let sending = async {
            loop {
                self.transport.send(other.node, &message);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let receiving = async {
            while !matches!(other.inputs.recv().await,
                Some(Input::Message { from, message: received }) if from == self.node && received == message)
            {
            }
        };
        with_timeout(async {
            tokio::select! { () = sending => {}, () = receiving => {} }
        })
        .await;
    }
}

/// A process on its own runtime. The end of the runtime closes all sockets of the process.
struct SeparateProcess {
    process: Process,
    stop: oneshot::Sender<()>,
    thread: std::thread::JoinHandle<()>,
}

impl SeparateProcess {
    fn start(node: NodeId, incarnation: Incarnation) -> SeparateProcess {
        let (started, starting) = std::sync::mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(async {
                started
                    .send(Process::start(node, incarnation))
                    .ok()
                    .unwrap();
                let _ = stopped.await;
            });
        });
        let process = starting.recv().unwrap();
        SeparateProcess {
            process,
            stop,
            thread,
        }
    }

    fn end(self) {
        self.stop.send(()).unwrap();
        self.thread.join().unwrap();
    }
}

fn preamble(from: NodeId, version: u16) -> Vec<u8> {
    Preamble {
        magic: MAGIC,
        version,
        from,
        incarnation: 1,
    }
    .to_bytes()
    .unwrap()
}

/// The recorded bytes of a connection: the preamble of process 10.18.74.7:8007 with incarnation 5, then two messages,
/// each after its length in four bytes, least significant first.
const PREAMBLE: &str = "65676173 0100 074a120a 471f 0500000000000000";
const SUBSCRIBE: &str = "11000000 08 0130000000000000 0230000000000000";
const CONFIG_CURRENT: &str = "19000000 0a 0132000000000000 0232000000000000 0332000000000000";

fn bytes_of(hex: &str) -> Vec<u8> {
    let digits: String = hex.split(' ').collect();
    (0..digits.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap())
        .collect()
}

fn subscribe() -> Message {
    Message::Subscribe(Subscribe {
        known_version: 0x3001,
        asked_at: 0x3002,
    })
}

fn config_current() -> Message {
    Message::ConfigCurrent(ConfigCurrent {
        version: 0x3201,
        age_ms: 0x3202,
        asked_at: 0x3203,
    })
}

#[tokio::test]
async fn the_sent_bytes_match_the_recorded_ones() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        panic!("no IPv4 address");
    };
    let one = Process::start(free_node(), 5);
    let (to, sent) = (
        NodeId::from_address(address),
        [subscribe(), config_current()],
    );
    sent.iter()
        .for_each(|message| one.transport.send(to, message));
    let (mut stream, _) = with_timeout(listener.accept()).await.unwrap();
    let mut preamble = bytes_of(PREAMBLE);
    preamble[6..10].copy_from_slice(&one.node.ip.to_le_bytes());
    preamble[10..12].copy_from_slice(&one.node.port.to_le_bytes());
    let expected = [preamble, bytes_of(SUBSCRIBE), bytes_of(CONFIG_CURRENT)].concat();
    let mut received = vec![0; expected.len()];
    with_timeout(stream.read_exact(&mut received))
        .await
        .unwrap();
    assert_eq!(received, expected);
}

#[tokio::test]
async fn the_recorded_bytes_are_read_as_their_messages() {
    let mut one = Process::start(free_node(), 1);
    let mut stream = TcpStream::connect(one.node.address()).await.unwrap();
    for part in [PREAMBLE, SUBSCRIBE, CONFIG_CURRENT] {
        stream.write_all(&bytes_of(part)).await.unwrap();
    }
    let sender = NodeId {
        ip: 0x0a12_4a07,
        port: 8007,
    };
    assert_eq!(one.next().await, (sender, subscribe()));
    assert_eq!(one.next().await, (sender, config_current()));
}

#[tokio::test]
async fn messages_arrive_in_order_with_their_sender() {
    let one = Process::start(free_node(), 1);
    let mut two = Process::start(free_node(), 2);
    for number in 0..1000 {
        one.transport.send(two.node, &numbered(number));
    }
    for number in 0..1000 {
        assert_eq!(two.next().await, (one.node, numbered(number)));
    }
    assert_eq!(one.transport.dropped(), 0);
}

#[tokio::test]
async fn long_messages_arrive_complete() {
    let one = Process::start(free_node(), 1);
    let mut two = Process::start(free_node(), 2);
    for number in 0..3 {
        one.transport.send(two.node, &long(number, 5 << 20));
        assert_eq!(two.next().await, (one.node, long(number, 5 << 20)));
    }
}

#[tokio::test]
async fn a_reply_is_sent_on_the_connection_of_the_request() {
    // No process listens at the asker's address, so the connection that the asker opens is the only one.
    let mut one = Process::start(free_node(), 1);
    let asker = free_node();
    let mut stream = TcpStream::connect(one.node.address()).await.unwrap();
    let mut bytes = preamble(asker, PROTOCOL_VERSION);
    let question = numbered(7).to_bytes().unwrap();
    bytes.extend((question.len() as u32).to_le_bytes());
    bytes.extend(&question);
    stream.write_all(&bytes).await.unwrap();
    assert_eq!(one.next().await, (asker, numbered(7)));
    one.transport.send(asker, &numbered(8));
    let answer = numbered(8).to_bytes().unwrap();
    let mut received = vec![0; 4 + answer.len()];
    with_timeout(stream.read_exact(&mut received))
        .await
        .unwrap();
    assert_eq!(received[..4], (answer.len() as u32).to_le_bytes());
    assert_eq!(received[4..], answer);
}

#[tokio::test]
async fn a_connection_of_another_protocol_version_is_closed() {
    let one = Process::start(free_node(), 1);
    let mut stream = TcpStream::connect(one.node.address()).await.unwrap();
    stream
        .write_all(&preamble(free_node(), PROTOCOL_VERSION + 1))
        .await
        .unwrap();
    let mut rest = Vec::new();
    assert_eq!(
        with_timeout(stream.read_to_end(&mut rest))
            .await
            .unwrap_or(0),
        0
    );
}

#[tokio::test]
async fn a_connection_with_a_malformed_frame_is_closed() {
    let one = Process::start(free_node(), 1);
    for frame in [[1, 0, 0, 0, 255].to_vec(), u32::MAX.to_le_bytes().to_vec()] {
        let mut stream = TcpStream::connect(one.node.address()).await.unwrap();
        stream
            .write_all(&preamble(free_node(), PROTOCOL_VERSION))
            .await
            .unwrap();
        stream.write_all(&frame).await.unwrap();
        let mut rest = Vec::new();
        assert_eq!(
            with_timeout(stream.read_to_end(&mut rest))
                .await
                .unwrap_or(0),
            0
        );
    }
}

#[tokio::test]
async fn messages_to_an_unreachable_process_are_dropped() {
    let one = Process::start(free_node(), 1);
    one.transport.send(free_node(), &numbered(1));
    assert!(!one.transport.is_drained());
    with_timeout(async {
        while one.transport.dropped() == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    })
    .await;
    assert!(one.transport.is_drained());
}

#[tokio::test]
async fn a_connection_to_a_peer_that_does_not_read_is_closed_and_its_queue_is_bounded() {
    let one = Process::start(free_node(), 1);
    let stalled = free_node();
    let listener = TcpListener::bind(stalled.address()).await.unwrap();
    for number in 0..64 {
        one.transport.send(stalled, &long(number, 1 << 20));
    }
    let (first, _) = with_timeout(listener.accept()).await.unwrap();
    assert!(one.transport.dropped() > 0);
    // The sender closes the stalled connection and opens a new one for the frames that are still queued.
    for number in 0..8 {
        one.transport.send(stalled, &long(number, 1 << 20));
        tokio::task::yield_now().await;
    }
    let (second, _) = with_timeout(async {
        loop {
            one.transport.send(stalled, &long(0, 1 << 20));
            let accepted = tokio::time::timeout(Duration::from_millis(50), listener.accept()).await;
            if let Ok(accepted) = accepted {
                return accepted.unwrap();
            }
        }
    })
    .await;
    drop((first, second));
}

#[tokio::test]
async fn a_restarted_process_is_reached_again() {
    let mut one = Process::start(free_node(), 1);
    let node = free_node();
    let mut former = SeparateProcess::start(node, 2);
    one.send_until_received(&mut former.process, numbered(1))
        .await;
    former
        .process
        .send_until_received(&mut one, numbered(2))
        .await;
    former.end();
    let mut restarted = with_timeout(async {
        loop {
            let (sender, inputs) = mpsc::unbounded_channel();
            match Transport::start(node, 3, sender) {
                Ok(transport) => {
                    return Process {
                        node,
                        transport,
                        inputs,
                    }
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    })
    .await;
    one.send_until_received(&mut restarted, numbered(3)).await;
    restarted.send_until_received(&mut one, numbered(4)).await;
}

#[tokio::test]
async fn no_message_is_lost_when_two_processes_connect_to_each_other_at_once() {
    let mut one = Process::start(free_node(), 1);
    let mut two = Process::start(free_node(), 2);
    for number in 0..100 {
        one.transport.send(two.node, &numbered(number));
        two.transport.send(one.node, &numbered(number));
    }
    let mut seen_by_one = Vec::new();
    let mut seen_by_two = Vec::new();
    for _ in 0..100 {
        seen_by_one.push(one.next().await.1);
        seen_by_two.push(two.next().await.1);
    }
    for number in 0..100 {
        assert!(seen_by_one.contains(&numbered(number)));
        assert!(seen_by_two.contains(&numbered(number)));
    }
}
