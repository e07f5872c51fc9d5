//! Examples of process identifiers, of the preamble of a connection, and of the enums without fields.

use sagetrail_protocol::agent::RunEnd;
use sagetrail_protocol::client::ClientMethod;
use sagetrail_protocol::control::ChangeKind;
use sagetrail_protocol::frame::Preamble;
use sagetrail_protocol::{NodeId, NodeKind};

use super::{examples_of_all_variants, variants, Example};

variants!(NODE_KINDS, node_kind, NodeKind, {
    NodeKind::Frontend => "frontend",
    NodeKind::Side => "side",
    NodeKind::Core => "core",
});

variants!(CLIENT_METHODS, client_method, ClientMethod, {
    ClientMethod::Submit => "submit",
    ClientMethod::Read => "read",
    ClientMethod::Cancel => "cancel",
});

variants!(RUN_ENDS, run_end, RunEnd, {
    RunEnd::Done => "done",
    RunEnd::Failed => "failed",
    RunEnd::Stopped => "stopped",
    RunEnd::LeaseExpired => "lapsed",
    RunEnd::GangMemberEnded => "broken",
    RunEnd::GangTimedOut => "alone",
    RunEnd::Rejected => "refused",
});

variants!(CHANGE_KINDS, change_kind, ChangeKind, {
    ChangeKind::Replace => "replace",
    ChangeKind::Patch => "patch",
});

/// Builds the id of a process whose address ends with the byte `last`.
pub(crate) fn process(last: u8) -> NodeId {
    NodeId {
        ip: 0x0a12_4a00 + u32::from(last),
        port: 0x1f00 + u16::from(last),
    }
}

pub(crate) fn examples() -> Vec<Example> {
    let preamble = Preamble {
        magic: 0x0102_0304,
        version: 0x0506,
        from: process(7),
        incarnation: 0x1112_1314_1516_1718,
    };
    let mut examples = vec![
        Example::of("preamble", preamble),
        Example::of("node-id", process(9)),
    ];
    examples.extend(examples_of_all_variants(
        "node-kind",
        NODE_KINDS,
        node_kind,
        vec![NodeKind::Frontend, NodeKind::Side, NodeKind::Core],
    ));
    examples.extend(examples_of_all_variants(
        "client-method",
        CLIENT_METHODS,
        client_method,
        vec![
            ClientMethod::Submit,
            ClientMethod::Read,
            ClientMethod::Cancel,
        ],
    ));
    examples.extend(examples_of_all_variants(
        "run-end",
        RUN_ENDS,
        run_end,
        vec![
            RunEnd::Done,
            RunEnd::Failed,
            RunEnd::Stopped,
            RunEnd::LeaseExpired,
            RunEnd::GangMemberEnded,
            RunEnd::GangTimedOut,
            RunEnd::Rejected,
        ],
    ));
    examples.extend(examples_of_all_variants(
        "change-kind",
        CHANGE_KINDS,
        change_kind,
        vec![ChangeKind::Replace, ChangeKind::Patch],
    ));
    examples
}
