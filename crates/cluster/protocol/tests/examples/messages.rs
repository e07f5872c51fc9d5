//! Examples of the messages between processes, except those among core processes.

use sagetrail_protocol::agent::{
    ActiveRun, FinishedRun, Resources, RunEnd, RunnerCommands, RunnerReport, StartCommand,
    StopCommand,
};
use sagetrail_protocol::client::{ClientMethod, ClientReply, ClientRequest, NotLeader};
use sagetrail_protocol::control::{ControlMessage, Learn};
use sagetrail_protocol::directory::{Directory, Hello};
use sagetrail_protocol::distribution::{ConfigCurrent, ConfigUpdate, Subscribe};
use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::{Blob, List, Message, NodeKind, Text};

use super::members::process;
use super::{examples_of_all_variants, variants, Example};

variants!(MESSAGES, message, Message, {
    Message::Hello(_) => "hello",
    Message::Directory(_) => "directory",
    Message::ClientRequest(_) => "client-request",
    Message::ClientReply(_) => "client-reply",
    Message::NotLeader(_) => "not-owner",
    Message::RunnerReport(_) => "runner-report",
    Message::RunnerCommands(_) => "runner-orders",
    Message::Subscribe(_) => "subscribe",
    Message::ConfigUpdate(_) => "config-update",
    Message::ConfigCurrent(_) => "config-current",
    Message::Control(_) => "control",
    Message::Relayed(_) => "relayed",
});

pub(crate) fn examples() -> Vec<Example> {
    let values = vec![
        hello(),
        directory(),
        client_request(),
        client_reply(),
        not_leader(),
        report(),
        report_of_draining_runner(),
        report_without_runner(),
        orders(),
        Message::Subscribe(Subscribe {
            known_version: 0x3001,
            asked_at: 0x3002,
        }),
        Message::ConfigUpdate(ConfigUpdate {
            version: 0x3101,
            document: Blob(b"{\"a\":1}".to_vec()),
        }),
        Message::ConfigCurrent(ConfigCurrent {
            version: 0x3201,
            age_ms: 0x3202,
            asked_at: 0x3203,
        }),
        Message::Control(ControlMessage::Learn(Learn {
            proposal: super::control::proposal(0x33),
        })),
        Message::Relayed(Relayed {
            from: process(0x34),
            to: process(0x35),
            payload: Blob(vec![0x36, 0x37, 0x38]),
        }),
    ];
    examples_of_all_variants("message", MESSAGES, message, values)
}

fn hello() -> Message {
    Message::Hello(Hello {
        kind: NodeKind::Side,
        incarnation: 0x0102_0304_0506_0708,
        config_version: 0x1112_1314_1516_1718,
    })
}

fn directory() -> Message {
    Message::Directory(Directory {
        members_version: 0x2001,
        members: List(vec![process(1), process(2)]),
        next_members: List(vec![process(3)]),
        term: 0x2002,
        leader: process(4),
        config_version: 0x2003,
        relays: List(vec![process(5), process(6), process(7)]),
    })
}

fn client_request() -> Message {
    Message::ClientRequest(ClientRequest {
        request: 0x2101,
        method: ClientMethod::Cancel,
        host: Text::from("jobs.example"),
        path: Text::from("/queue/é"),
        body: Blob(vec![0, 0xff, 0x7f]),
        config_version: 0x2102,
        remaining_ms: 0x2103_2104,
    })
}

fn client_reply() -> Message {
    Message::ClientReply(ClientReply {
        request: 0x2201,
        status: 0x0190,
        retry_after_ms: 0x2202_2203,
        body: Blob(b"{}".to_vec()),
        config_version: 0x2204,
    })
}

fn not_leader() -> Message {
    Message::NotLeader(NotLeader {
        request: 0x2301,
        term: 0x2302,
        leader: process(0x23),
    })
}

fn report() -> Message {
    Message::RunnerReport(RunnerReport {
        agent: 0x2401,
        sequence: 0x2402,
        sent_at: 0x2403,
        term: 0x2404,
        revision: 0x2405,
        starts_resolved: true,
        has_runner: true,
        instance: Text::from("instance"),
        service: Text::from("service"),
        address: Text::from("10.0.0.1:80"),
        zone: Text::from("zone"),
        draining: false,
        remaining_ms: 0x2406,
        slow_start_remaining_ms: 0x2407,
        capacity: Resources {
            cpu: 0x2408,
            mem_mb: 0x2409,
            gpu: 0x240a,
        },
        labels: List(vec![Text::from("one"), Text::from("two")]),
        active: List(vec![
            ActiveRun {
                task: Text::from("a.1.2.3"),
                attempt: 0x240b,
                checkpoint: Text::from("kept"),
                percent: 0x2c,
            },
            ActiveRun {
                task: Text::from("b"),
                attempt: 0x240c,
                checkpoint: Text::default(),
                percent: 0x2d,
            },
        ]),
        finished: List(vec![FinishedRun {
            number: 0x240d,
            task: Text::from("c.1"),
            attempt: 0x240e,
            end: RunEnd::GangMemberEnded,
            checkpoint: Text::from("last"),
        }]),
        lease_expired: false,
        since_heartbeat_ms: 0x240f,
    })
}

/// Builds a report about a draining runner. Together with the other two reports, every pair of flags differs in at
/// least one report.
fn report_of_draining_runner() -> Message {
    Message::RunnerReport(RunnerReport {
        agent: 0x2701,
        sequence: 0x2702,
        sent_at: 0x2703,
        term: 0x2704,
        revision: 0x2705,
        starts_resolved: false,
        has_runner: true,
        instance: Text::default(),
        service: Text::default(),
        address: Text::default(),
        zone: Text::default(),
        draining: true,
        remaining_ms: 0,
        slow_start_remaining_ms: 0,
        capacity: Resources {
            cpu: 0,
            mem_mb: 0,
            gpu: 0,
        },
        labels: List(Vec::new()),
        active: List(Vec::new()),
        finished: List(Vec::new()),
        lease_expired: false,
        since_heartbeat_ms: 0x2706,
    })
}

/// Builds a report without a known runner, in which every run of an earlier runner has ended.
fn report_without_runner() -> Message {
    Message::RunnerReport(RunnerReport {
        agent: 0x2501,
        sequence: 0x2502,
        sent_at: 0x2503,
        term: 0x2504,
        revision: 0x2505,
        starts_resolved: false,
        has_runner: false,
        instance: Text::default(),
        service: Text::default(),
        address: Text::default(),
        zone: Text::default(),
        draining: false,
        remaining_ms: 0,
        slow_start_remaining_ms: 0,
        capacity: Resources {
            cpu: 0,
            mem_mb: 0,
            gpu: 0,
        },
        labels: List(Vec::new()),
        active: List(Vec::new()),
        finished: List(Vec::new()),
        lease_expired: true,
        since_heartbeat_ms: 0x2506,
    })
}

fn orders() -> Message {
    Message::RunnerCommands(RunnerCommands {
        term: 0x2601,
        revision: 0x2602,
        agent: 0x2603,
        sent_at: 0x2604,
        lease_ms: 0x2605,
        instance: Text::from("instance"),
        start: List(vec![StartCommand {
            task: Text::from("a.1.2.3"),
            attempt: 0x2606,
            spec: Text::from("{\"id\":\"a\"}"),
            checkpoint: Text::from("kept"),
        }]),
        stop: List(vec![
            StopCommand {
                task: Text::from("b"),
                attempt: 0x2607,
            },
            StopCommand {
                task: Text::from("c"),
                attempt: 0x2608,
            },
        ]),
        observed: 0x2609,
        retry_after_ms: 0x260a,
    })
}
