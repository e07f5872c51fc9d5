//! The accept phase with the change alone: a member that holds the value before it makes the new one itself.
//!
//! The SHA-256 of the proposer's value goes with the change. A member accepts only a value with the same digest, so
//! that under one proposal number there is still one value.

use crate::change::Change;
use crate::change_function::ChangeFunction;
use crate::value::RegisterValue;
use sagetrail_protocol::control::{AcceptChange, ProposalNumber};
use sagetrail_protocol::Blob;
use sha2::{Digest, Sha256};

/// A change is sent alone where the value is at least so many times its size.
const MIN_SIZE_RATIO: usize = 4;

/// The change to be sent in the place of the value `bytes`, which `function` made of the value accepted in proposal number
/// `base_proposal`; `None` where the value itself is to be sent.
pub(crate) fn compose(
    function: &ChangeFunction,
    proposal: ProposalNumber,
    base_proposal: ProposalNumber,
    bytes: &Blob,
) -> Option<AcceptChange> {
    let ChangeFunction::Config { change, .. } = function else {
        return None;
    };
    if change.body.len() * MIN_SIZE_RATIO > bytes.len() {
        return None;
    }
    let (kind, base_version, body) = (change.kind, change.base, Blob(change.body.clone()));
    Some(AcceptChange {
        proposal,
        base_proposal,
        kind,
        base_version,
        body,
        result: digest(bytes),
    })
}

/// The value that the change makes of `value`, if it is the one that the proposer made.
pub(crate) fn result(accept: &AcceptChange, value: &Blob) -> Option<Blob> {
    let change = Change::new(accept.kind, accept.base_version, accept.body.0.clone());
    let value = RegisterValue::decode(value).ok()?;
    let bytes = change.applied_unchecked(value).ok()?.encode();
    (digest(&bytes) == accept.result).then_some(Blob(bytes))
}

fn digest(bytes: &[u8]) -> [u8; 32] {
    Sha256::digest(bytes).into()
}
