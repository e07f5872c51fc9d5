//! How the process's file descriptors are shared out among its uses.

use crate::admin_api;
use crate::links;
use crate::start::Start;

/// Descriptors for the program itself: its streams, the runtime's, the listener, discovery are ten in all.
const PROGRAM: usize = 16;
/// With fewer to share out, a burst would find no place.
const FEWEST: usize = 16;
/// Files of the store's folder.
const STORE_FILES: usize = 4;
/// One in so many of the shared descriptors is for connections to runners.
const RUNNERS_SHARE: usize = 4;
/// One in so many is for connections on which clients are only rejected.
const REJECTS_SHARE: usize = 16;

/// Numbers of connections that may be open at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DescriptorBudget {
    /// Clients that are served.
    pub clients: usize,
    /// Clients beyond these, which are only rejected.
    pub rejected_clients: usize,
    /// Connections to runners.
    pub runners: usize,
}

impl DescriptorBudget {
    /// Shares out what `start` allows. During an upgrade (`upgrading`) each of the two processes holds at most half, so
    /// that both together stay within the limit.
    ///
    /// # Errors
    ///
    /// Where the limit leaves too few for clients and runners.
    pub(crate) fn share_out(start: &Start, upgrading: bool) -> Result<DescriptorBudget, String> {
        let reserved = reserved(start);
        let limit = if upgrading {
            start.descriptors / 2
        } else {
            start.descriptors
        };
        let shared = limit.saturating_sub(reserved);
        if shared < FEWEST {
            return Err(format!(
                "{limit} sockets are too few, {} at least",
                reserved + FEWEST
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

/// What the program, the admin API, the links to peers and the store need.
fn reserved(start: &Start) -> usize {
    let admin_api = start.console.map_or(0, |_| admin_api::DESCRIPTORS);
    let links = start.fleet.as_ref().map_or(0, |_| links::DESCRIPTORS);
    let store = match (&start.store, &start.fleet) {
        (Some(_), Some(fleet)) => store_descriptors(fleet.members.len()),
        _ => 0,
    };
    PROGRAM + admin_api + links + store
}

/// A link to each member, the streams that members open here, and the files of the store's folder.
fn store_descriptors(members: usize) -> usize {
    members + links::store_streams(members) + STORE_FILES
}
