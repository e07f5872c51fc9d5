//! Broken variants of the program, which the checker of the fault tests must find.

/// Name of each variant, the rule or bound that it violates, and how.
pub const BROKEN_VARIANTS: &[(&str, &str, &str)] = &[
    (
        "loses-answers",
        "rule 1",
        "one answer in forty is never given",
    ),
    (
        "makes-up-answers",
        "rule 1",
        "what would be deferred is answered 200 with a body of its own",
    ),
    (
        "reruns-exclusive",
        "rule 2",
        "exclusive work goes as rerunnable work does",
    ),
    (
        "forgets-windows",
        "rule 2",
        "ticketed work is resent past group and window",
    ),
    (
        "two-at-once",
        "rule 2",
        "a hand-off that was called off and never confirmed counts as ended",
    ),
    (
        "ignores-drains",
        "rule 3",
        "a runner told to drain goes on being used",
    ),
    (
        "ignores-cold",
        "rule 4",
        "a runner that has just started is taken for warm",
    ),
    (
        "whole-for-each",
        "bound cold",
        "each takes the whole of what all may send a cold runner",
    ),
    (
        "cap-for-each",
        "bound cap",
        "each takes a category's whole cap",
    ),
    (
        "lends-too-soon",
        "bound cap",
        "a lease's end is taken for the end of what was spent under it",
    ),
    (
        "forgets-its-start",
        "bound cap",
        "a new process spends at once what its former may have out",
    ),
    (
        "believes-one",
        "bound shut-out",
        "one member's word shuts a runner out for 10 s, and any number of them",
    ),
    (
        "forgets-words",
        "bound agreed",
        "a restart forgets what was agreed until nobody tells it",
    ),
    (
        "words-stay-here",
        "bound agreed",
        "a word by hand is called agreed and told to nobody",
    ),
    (
        "records-nothing",
        "rule 2",
        "hand-offs that are to be recorded go out unrecorded",
    ),
    (
        "takes-claims-early",
        "rule 2",
        "a member that has just started takes claims it may have granted before",
    ),
    (
        "all-to-nearest",
        "none, a yardstick",
        "a lost site's dispatchers send all to the next site",
    ),
    (
        "no-pacing",
        "none, a yardstick",
        "a lost site that comes back is in use at once",
    ),
    (
        "resends-freely",
        "bound resends",
        "the limit on resends is not looked at",
    ),
];
