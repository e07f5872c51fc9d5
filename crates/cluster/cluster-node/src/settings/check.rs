//! Checks of single fields and of the fields that a kind of process requires.

use std::net::Ipv4Addr;

use validator::ValidationError;

use sagetrail_protocol::NodeKind;

use super::number::Number;
use super::PORTS_USED;
use super::{Settings, SettingsError};

/// Checks that the address can be that of a single machine.
pub(super) fn is_specified(ip: &Ipv4Addr) -> Result<(), ValidationError> {
    if ip.is_unspecified() || ip.is_broadcast() || ip.is_multicast() {
        return Err(ValidationError::new(
            "must be the address of a machine, not an unspecified, broadcast or multicast address",
        ));
    }
    Ok(())
}

/// Checks that the range is ascending, starts above zero and holds at least [`PORTS_USED`] ports.
pub(super) fn has_enough_ports(range: &[u16; 2]) -> Result<(), ValidationError> {
    let [first, last] = *range;
    if first == 0 || last < first || last - first + 1 < PORTS_USED {
        return Err(ValidationError::new(
            "must be an ascending range of at least three ports above zero",
        ));
    }
    Ok(())
}

/// Checks that the number is above zero.
pub(super) fn is_positive(number: &Number) -> Result<(), ValidationError> {
    if number.0 <= 0.0 {
        return Err(ValidationError::new("must be above zero"));
    }
    Ok(())
}

/// Checks that the number is not below zero.
pub(super) fn is_not_negative(number: &Number) -> Result<(), ValidationError> {
    if number.0 < 0.0 {
        return Err(ValidationError::new("must not be below zero"));
    }
    Ok(())
}

/// Checks that the fields that this kind of process requires are set.
pub(super) fn fits_kind(settings: &Settings, kind: NodeKind) -> Result<(), SettingsError> {
    let addresses = &settings.bind_addrs;
    let require = |is_set: bool, field: &'static str| match is_set {
        true => Ok(()),
        false => Err(SettingsError::missing(field)),
    };
    match kind {
        NodeKind::Frontend => require(addresses.frontend.is_some(), "bind_addrs.frontend"),
        NodeKind::Side => require(addresses.control.is_some(), "bind_addrs.control"),
        NodeKind::Core => {
            require(addresses.control.is_some(), "bind_addrs.control")?;
            require(settings.data_dir.is_some(), "data_dir")
        }
    }
}
