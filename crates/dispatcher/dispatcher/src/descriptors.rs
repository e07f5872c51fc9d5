//! Shares out the file descriptors of the process among its uses.

use crate::admin_api;
use crate::links;
use crate::start::Start;

/// Descriptors for the program itself: standard streams, the runtime, the listener and discovery need ten in all.
const PROGRAM_DESCRIPTORS: usize = 16;
/// Fewest descriptors to share out: with fewer, a burst of connections would be rejected.
const MIN_SHARED: usize = 16;
/// Open files in the folder of the store.
const STORE_FILES: usize = 4;
/// Connections to runners get one of this many shared descriptors.
const RUNNERS_SHARE: usize = 4;
/// Connections on which clients are only rejected get one of this many shared descriptors.
const REJECTS_SHARE: usize = 16;

/// Numbers of connections that may be open at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DescriptorBudget {
    /// Clients that are served.
    pub clients: usize,
    /// Clients beyond these, whose requests are only rejected.
    pub rejected_clients: usize,
    /// Connections to runners.
    pub runners: usize,
}

impl DescriptorBudget {
    /// Shares out the descriptors that `start` allows. During an upgrade (`upgrading`) each of the two processes holds
    /// at most half, so that both together stay within the limit.
    ///
    /// # Errors
    ///
    /// If the limit leaves too few for clients and runners.
    pub(crate) fn share_out(start: &Start, upgrading: bool) -> Result<DescriptorBudget, String> {
        let reserved = reserved(start);
        let limit = if upgrading {
            start.max_descriptors / 2
        } else {
            start.max_descriptors
        };
        let shared = limit.saturating_sub(reserved);
        if shared < MIN_SHARED {
            return Err(format!(
                "{limit} sockets are too few, {} at least",
                reserved + MIN_SHARED
            ));
        }
        let (runners, rejected_clients) = (shared / RUNNERS_SHARE, shared / REJECTS_SHARE);
        Ok(DescriptorBudget {
            clients: shared - runners - rejected_clients,
            rejected_clients,
            runners,
        })
    }
}

/// Descriptors for the program, the admin API, the links to other members and the store.
fn reserved(start: &Start) -> usize {
    let admin_api = start.console.map_or(0, |_| admin_api::DESCRIPTORS);
    let links = start.fleet.as_ref().map_or(0, |_| links::DESCRIPTORS);
    let store = match (&start.store, &start.fleet) {
        (Some(_), Some(fleet)) => store_descriptors(fleet.members.len()),
        _ => 0,
    };
    PROGRAM_DESCRIPTORS + admin_api + links + store
}

/// Descriptors for a link to each member, the streams that members open here, and the files of the store.
fn store_descriptors(members: usize) -> usize {
    members + links::store_streams(members) + STORE_FILES
}
