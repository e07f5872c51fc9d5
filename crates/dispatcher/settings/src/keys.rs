//! Table of all keys with their meaning. The reader, the reference page and the schema are made from it.

/// Kind of the value of a key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Text that is not empty.
    Text,
    /// One of the given words.
    OneOf(&'static [&'static str]),
    /// True or false.
    Bool,
    /// A whole number within the given bounds.
    Integer(u64, u64),
    /// A number within the given bounds.
    Number(f64, f64),
    /// A duration as text, within the given bounds in seconds.
    Duration(f64, f64),
    /// An IPv4 or IPv6 address with a port.
    Address,
    /// An address with a port, of loopback or a private range only.
    PrivateAddress,
    /// A list of text.
    TextList,
    /// A table of whole numbers within the given bounds, under names that the user chooses.
    IntegerTable(u64, u64),
    /// The settings object of the platform, passed on unchanged.
    Settings,
}

/// A key of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Path of the key, with `[]` in place of the index in a list of tables.
    pub path: &'static str,
    /// Kind of its value.
    pub kind: Kind,
    /// Default value as text; empty if there is none.
    pub default: &'static str,
    /// Meaning, as shown in the reference.
    pub what: &'static str,
}

const fn key(path: &'static str, kind: Kind, default: &'static str, what: &'static str) -> Key {
    Key {
        path,
        kind,
        default,
        what,
    }
}

/// All keys.
pub const KEYS: &[Key] = &[
    key("name", Kind::Text, "sagetrail", "this dispatcher's name, the same after a restart"),
    key("listen", Kind::Address, "", "where clients and runners' news connect"),
    key("discovery", Kind::Address, "", "where the list of runners is"),
    key("console", Kind::Address, "none", "the operators' door; none is opened without it"),
    key("seed", Kind::Text, "0", "for chance, a hexadecimal number; best another with each start"),
    key("learnt", Kind::Text, "none", "file that keeps what was learnt over a planned restart"),
    key("log", Kind::OneOf(&["text", "json"]), "text", "the form of the log's lines on standard error"),
    key("me", Kind::Integer(0, 9999), "0", "this dispatcher's number among `dispatchers`"),
    key("dispatchers", Kind::Integer(1, 10000), "1", "how many dispatchers serve together"),
    key("zone", Kind::Text, "the first", "the zone this dispatcher is in"),
    key("zones", Kind::TextList, "", "the zones the list names"),
    key("kinds", Kind::TextList, "", "the kinds of machine the list names"),
    key("limits.sockets", Kind::Integer(48, 1_000_000), "1024", "file descriptors this process may hold"),
    key("limits.held", Kind::Integer(1, 1_000_000), "10000", "work items in hand at once"),
    key("limits.hand_offs", Kind::Integer(1, 100), "3", "hand-offs of one work item"),
    key("limits.dial", Kind::Duration(0.001, 60.0), "250ms", "a connection to a runner must be up by then"),
    key("limits.idle", Kind::Duration(0.1, 3600.0), "10s", "runners close connections idle for so long"),
    key("limits.come_back", Kind::Duration(0.0, 3600.0), "2s", "the longest Retry-After; 0s sends none"),
    key("limits.may_cancel", Kind::Bool, "true", "runners may be told to give a job up"),
    key("limits.two_at_once", Kind::Bool, "false", "one work item may be at two runners at once"),
    key("runners.tells_start", Kind::Bool, "true", "runners tell when a job starts"),
    key("runners.progress", Kind::Duration(0.0, 3600.0), "0s", "and how far it is, so often; 0s for never"),
    key("drain.grace", Kind::Duration(0.0, 60.0), "300ms", "no first byte to a draining runner after this"),
    key("list.must_ask", Kind::Duration(0.5, 3600.0), "10s", "the list is asked anew within this"),
    key(
        "cold.from",
        Kind::Number(0.0, 1.0),
        "0.2",
        "what a runner does at its start, of what it does when warm",
    ),
    key(
        "cold.time",
        Kind::Duration(0.0, 86400.0),
        "20s",
        "so long after its start a runner is cold; 0s for never",
    ),
    key(
        "cold.multiple",
        Kind::Number(0.0, 1000.0),
        "3",
        "work sent by all stays under this x present capacity",
    ),
    key("cold.span", Kind::Duration(0.01, 600.0), "1s", "within any span of this length"),
    key(
        "cold.start_off",
        Kind::Duration(0.0, 3600.0),
        "0s",
        "a start may be listed so much earlier or later than it was",
    ),
    key("categories[].name", Kind::Text, "", "the category, first part of the path"),
    key(
        "categories[].repeat",
        Kind::OneOf(&["rerunnable", "ticketed", "exclusive"]),
        "exclusive",
        "whether what may have run may run again",
    ),
    key(
        "categories[].group",
        Kind::OneOf(&["all", "zone", "cell"]),
        "all",
        "ticketed: runners that drop its repeats",
    ),
    key("categories[].window", Kind::Duration(0.0, 86400.0), "5s", "ticketed: for so long"),
    key("categories[].due", Kind::Duration(0.0, 86400.0), "1s", "answered by then it pays in full"),
    key("categories[].stretch", Kind::Number(0.0, 1000.0), "0", "due time grows by this x its own work"),
    key("categories[].expiry", Kind::Duration(0.0, 86400.0), "10s", "its client waits so long"),
    key("categories[].payoff", Kind::Number(0.0, 1e9), "1", "what an answer in time pays"),
    key(
        "categories[].tardy",
        Kind::Number(0.0, 1.0),
        "0.2",
        "the part of that left between due time and expiry",
    ),
    key("categories[].kind", Kind::Text, "any", "the kind of machine it needs"),
    key(
        "categories[].record",
        Kind::Integer(0, 2),
        "0",
        "ticketed and exclusive, with a store: a hand-off is known to so many others before its first byte",
    ),
    key(
        "categories[].named",
        Kind::OneOf(&["header", "key"]),
        "header",
        "what a recorded work item goes by: Req-Name, else Req-Id; or its key",
    ),
    key(
        "categories[].unrecorded",
        Kind::OneOf(&["refuse", "send"]),
        "refuse",
        "where too few others can be told: turned away at once, or sent unrecorded",
    ),
    key(
        "settings",
        Kind::Settings,
        "",
        "the platform's settings object, in place of all keys from `me` to here but limits.sockets",
    ),
    key("sites.look", Kind::Bool, "true", "a whole site's loss is looked for, and its return paced"),
    key(
        "plan.headroom",
        Kind::Number(0.0, 0.99),
        "0.1",
        "the part of a site's capacity that is kept free when another is lost",
    ),
    key(
        "plan.floor",
        Kind::Number(0.0, 0.99),
        "0.05",
        "the part of each category that is let in, whatever is refused",
    ),
    key(
        "plan.order",
        Kind::TextList,
        "",
        "categories refused first, in this order; the others by payoff for what they cost",
    ),
    key(
        "plan.step",
        Kind::Duration(0.1, 600.0),
        "2s",
        "a returning site's portion grows no faster than this",
    ),
    key("plan.sites[].name", Kind::Text, "", "a zone"),
    key(
        "plan.sites[].capacity",
        Kind::Number(-1e9, 1e9),
        "",
        "slots of its runners; without any site nothing is refused by capacity",
    ),
    key(
        "plan.sites[].headroom",
        Kind::Number(0.0, 0.99),
        "plan.headroom",
        "the part of it that is kept free",
    ),
    key("plan.sites[].refuge", Kind::TextList, "all others", "where its load is planned to go first"),
    key("plan.load[].category", Kind::Text, "", "for `plan what-if`: a category's load at a busy hour"),
    key("plan.load[].slots", Kind::Number(-1e9, 1e9), "0", "slots that it fills then"),
    key("fleet.name", Kind::Text, "", "the fleet's name: members of another are not heard"),
    key("fleet.listen", Kind::PrivateAddress, "", "UDP and TCP address for the other members"),
    key(
        "fleet.sharing",
        Kind::Bool,
        "true",
        "budgets, counts and evidence are shared; membership runs in any case",
    ),
    key("fleet.members[].name", Kind::Text, "", "every dispatcher that may be there, this one too"),
    key("fleet.members[].site", Kind::Text, "", "the site it is in, a zone of the list"),
    key("fleet.members[].at", Kind::PrivateAddress, "", "where it is reached from here"),
    key("fleet.probe", Kind::Duration(0.02, 60.0), "300ms", "membership probes one member each so often"),
    key("fleet.ack", Kind::Duration(0.005, 60.0), "100ms", "and waits so long before it asks others to try"),
    key("fleet.helpers", Kind::Integer(0, 10), "3", "that many others"),
    key("fleet.lease", Kind::Duration(0.5, 60.0), "3s", "parts of budgets are lent for so long"),
    key("fleet.owners", Kind::Integer(1, 25), "3", "a cold runner's budget is owned by so many members"),
    key(
        "fleet.caps",
        Kind::IntegerTable(0, 1_000_000),
        "none",
        "work items of a category out at runners, by all together",
    ),
    key(
        "fleet.resends",
        Kind::Integer(0, 1_000_000),
        "none",
        "hand-offs beyond a work item's first, each second by all",
    ),
    key(
        "store.folder",
        Kind::Text,
        "none",
        "where the agreed log and merged state lie on disk; no store without it",
    ),
    key(
        "store.voters",
        Kind::TextList,
        "the first 3",
        "the 1, 3 or 5 members that vote at first; the first founds",
    ),
    key("store.beat", Kind::Duration(0.02, 10.0), "100ms", "the leader writes to all so often"),
    key(
        "store.patience",
        Kind::Duration(0.1, 60.0),
        "500ms",
        "without a leader for so long, one asks for votes",
    ),
    key(
        "store.marks",
        Kind::Duration(1.0, 604_800.0),
        "3600s",
        "marks of what was dropped are kept for so long",
    ),
    key(
        "store.stale",
        Kind::Duration(1.0, 86400.0),
        "60s",
        "without word of a leader for so long, nothing is lent from here",
    ),
    key(
        "trial.clock_off",
        Kind::Number(-86400.0, 86400.0),
        "0",
        "`trial` only: Unix time is off by so many seconds",
    ),
    key(
        "trial.disk_slow",
        Kind::Duration(0.0, 60.0),
        "0s",
        "`trial` only: each sync of the store's disk takes so long",
    ),
    key("trial.disk_full", Kind::Integer(0, 1 << 40), "none", "`trial` only: it is full after so many bytes"),
    key("trial.break", Kind::Text, "none", "`trial` only: a broken variant, see `sagetrail-fault-testing list`"),
];
