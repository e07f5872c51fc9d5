//! The cluster's processes: sockets, disk, settings, logs.
