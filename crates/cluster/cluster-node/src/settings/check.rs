//! Checks of single fields, and of the fields that a kind of process requires.

use std::net::Ipv4Addr;

use validator::ValidationError;

use sagetrail_protocol::NodeKind;

use super::number::Number;
use super::PORTS_USED;
use super::{Settings, SettingsError};

/// The address is a machine's own.
pub(super) fn is_specified(ip: &Ipv4Addr) -> Result<(), ValidationError> {
    if ip.is_unspecified() || ip.is_broadcast() || ip.is_multicast() {
        return Err(ValidationError::new("not the address of a machine"));
    }
    Ok(())
}

/// The ports are ascending, and at least [`PORTS_USED`].
pub(super) fn has_enough_ports(range: &[u16; 2]) -> Result<(), ValidationError> {
    let [first, last] = *range;
    if first == 0 || last < first || last - first + 1 < PORTS_USED {
        return Err(ValidationError::new(
            "needs three ports or more, in ascending order",
        ));
    }
    Ok(())
}

/// The figure is above zero.
pub(super) fn is_positive(number: &Number) -> Result<(), ValidationError> {
    if number.0 <= 0.0 {
        return Err(ValidationError::new("must be above zero"));
    }
    Ok(())
}

/// The figure is zero or above.
pub(super) fn is_not_negative(number: &Number) -> Result<(), ValidationError> {
    if number.0 < 0.0 {
        return Err(ValidationError::new("must not be below zero"));
    }
    Ok(())
}

/// The fields that this kind of process requires are there.
pub(super) fn fits_kind(settings: &Settings, kind: NodeKind) -> Result<(), SettingsError> {
    let binds = &settings.bind_addrs;
    let need = |is_set: bool, field: &'static str| match is_set {
        true => Ok(()),
        false => Err(SettingsError::missing(field)),
    };
    match kind {
        NodeKind::Frontend => need(binds.frontend.is_some(), "bind_addrs.frontend"),
        NodeKind::Side => need(binds.control.is_some(), "bind_addrs.control"),
        NodeKind::Core => {
            need(binds.control.is_some(), "bind_addrs.control")?;
            need(settings.data_dir.is_some(), "data_dir")
        }
    }
}
