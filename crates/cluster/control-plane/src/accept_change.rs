//! The accept phase with the change instead of the value: a member that holds the value to which the change applies
//! computes the new value itself.
//!
//! The change is sent with the SHA-256 of the proposer's value. A member accepts only a value with the same digest, so
//! there is still only one value under one proposal number.

use crate::change::Change;
use crate::change_function::ChangeFunction;
use crate::value::RegisterValue;
use sagetrail_protocol::control::{AcceptChange, ProposalNumber};
use sagetrail_protocol::Blob;
use sha2::{Digest, Sha256};

/// A change is sent instead of the value if the value is at least this many times as large as the change.
const MIN_SIZE_RATIO: usize = 4;

/// Builds the message with the change to send instead of the encoded value `bytes`, which `function` computed from the
/// value accepted under `base_proposal`. Returns `None` if the value is to be sent.
pub(crate) fn build(
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

/// Applies the change to the encoded value `value`. Returns `None` if the result is not the value of the proposer.
pub(crate) fn apply(accept: &AcceptChange, value: &Blob) -> Option<Blob> {
    let change = Change::new(accept.kind, accept.base_version, accept.body.0.clone());
    let value = RegisterValue::decode(value).ok()?;
    let bytes = change.apply_unchecked(value).ok()?.encode();
    (digest(&bytes) == accept.result).then_some(Blob(bytes))
}

fn digest(bytes: &[u8]) -> [u8; 32] {
    Sha256::digest(bytes).into()
}
