//! Tests of the parts that need no processes: reading scenarios, drawing schedules, and checking records made by hand.

use sagetrail_fault_testing::*;

fn bad(text: &str) -> String {
    Scenario::parse(text).expect_err(text).to_string()
}

/// An example that names a node or a site that does not exist with some number of processes cannot be run there.
#[test]
fn every_example_scenario_is_valid_for_any_number_of_processes() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../../examples/rig");
    let mut seen = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.extension().is_some_and(|end| end == "toml") {
            let mut scenario = Scenario::read(&path).unwrap_or_else(|why| panic!("{why}"));
            for processes in [2, 3, 7, 25] {
                scenario.processes = processes;
                scenario
                    .check()
                    .unwrap_or_else(|why| panic!("{} at {processes}: {why}", path.display()));
            }
            seen += 1;
        }
    }
    assert!(seen >= 25, "{seen}");
}

/// An error that does not name the line, the key or the known values leaves the author of a scenario guessing.
#[test]
fn errors_in_a_scenario_name_their_place() {
    assert!(bad("length = 5").contains("line 1"));
    assert!(bad("lenght = \"5s\"").contains("unknown field `lenght`"));
    assert!(bad("[[faults]]\nat = \"1s\"\nwhat = \"kil\"\non = \"d1\"")
        .contains("did you mean 'kill'?"));
    assert!(bad("[[faults]]\nat = \"1s\"\nwhat = \"kill\"\non = \"r1\"")
        .contains("selects no dispatcher"));
    assert!(
        bad("[[faults]]\nat = \"1s\"\nwhat = \"cut\"\non = \"d1>x9\"")
            .contains("'x9' selects nobody")
    );
    assert!(
        bad("[[faults]]\nat = \"1s\"\nwhat = \"cut\"\non = \"site:z\"").contains("'z' is no site")
    );
    assert!(
        bad("[[faults]]\nat = \"1s\"\nwhat = \"drop\"\np = 1.5\non = \"all\"")
            .contains("p is not from 0 to 1")
    );
    assert!(bad("processes = 26").contains("not from 2 to 25"));
    assert!(bad("[fleet]\ncaps = { x = 1 }").contains("'x' is not a category"));
    assert!(
        bad("[[categories]]\nname = \"a\"\nrate = 1.0\nrepeat = \"again\"").contains("is none of")
    );
}

fn scenario(text: &str) -> Scenario {
    Scenario::parse(text).unwrap()
}

/// A run can be repeated only if a seed always gives the same schedule.
#[test]
fn the_schedule_depends_on_the_seed_alone() {
    let text =
        "[[faults]]\nat = [\"1s\", \"4s\"]\nfor = \"1s\"\nwhat = \"cut\"\non = \"dispatchers<>runners\"\n\
                one = true\nevery = \"500ms\"\ntimes = 3";
    let all = |seed| schedule(&scenario(text), seed).unwrap();
    assert_eq!(all(5), all(5));
    assert_ne!(all(5), all(6));
    let times: Vec<f64> = all(5).iter().map(|what| what.from).collect();
    assert_eq!(times.len(), 3);
    assert!((times[1] - times[0] - 0.5).abs() < 1e-9 && (1.0..4.0).contains(&times[0]));
    assert!(all(5).iter().all(|what| what.links.len() == 1));
}

/// With one random stream for all faults, an added fault would change the times of the others.
#[test]
fn an_added_fault_does_not_move_the_others() {
    let one = "[[faults]]\nat = [\"1s\", \"4s\"]\nwhat = \"kill\"\non = \"d1\"\n";
    let two = format!("{one}[[faults]]\nat = \"2s\"\nwhat = \"kill\"\non = \"d2\"\n");
    let first = |text: &str| {
        let all = schedule(&scenario(text), 9).unwrap();
        all.iter().find(|what| what.on == "d1").unwrap().from
    };
    assert_eq!(first(one), first(&two));
}

// ---- the checker ----

fn wi(id: &str, category: usize) -> RequestRecord {
    RequestRecord {
        id: id.to_string(),
        category,
        intended: 1.0,
        sent: Some(1.0),
        wait_s: 2.5,
        answer: Some((1.2, 200, format!("{id} made"))),
        ..RequestRecord::default()
    }
}

fn ho(id: &str, runner: usize, left: f64, ended: Option<(f64, End)>) -> HandOff {
    HandOff {
        id: id.to_string(),
        runner,
        process: 0,
        dispatcher: 0,
        left,
        came: left,
        wait_s: 2.0,
        category: 2,
        work_s: 0.1,
        started: matches!(ended, None | Some((_, End::Done | End::Failed | End::Lost)))
            .then_some(left),
        ended,
        closed: None,
        came_by: None,
    }
}

fn rules(text: &str, records: &Records) -> Vec<&'static str> {
    let scenario = scenario(text);
    let schedule = schedule(&scenario, 1).unwrap();
    let outcome = Outcome {
        scenario,
        seed: 1,
        schedule,
        records: Records::default(),
        breaks: Vec::new(),
        version: String::new(),
    };
    let mut rules: Vec<&str> = outcome
        .with_inputs(|inputs| find_violations(inputs, records))
        .iter()
        .map(|b| b.rule)
        .collect();
    rules.dedup();
    rules
}

fn with(wis: Vec<RequestRecord>, hos: Vec<HandOff>) -> Records {
    let mut records = Records {
        wis,
        hos,
        ..Records::default()
    };
    let done: Vec<String> = records.hos.iter().map(|ho| ho.id.clone()).collect();
    for id in done {
        records
            .results
            .insert(id.clone(), vec![format!("{id} made")]);
    }
    records
}

/// A request without an answer, with an answer after its expiry, or with a body that no runner produced must be found.
/// An answer that a killed process or a cut link lost is excused.
#[test]
fn rule_1_finds_missing_late_and_invented_answers() {
    let ran = || vec![ho("a", 0, 1.0, Some((1.1, End::Done)))];
    assert!(rules("", &with(vec![wi("a", 2)], ran())).is_empty());
    let none = RequestRecord {
        answer: None,
        ..wi("a", 2)
    };
    assert_eq!(rules("", &with(vec![none.clone()], ran())), ["rule-1"]);
    let made_up = RequestRecord {
        answer: Some((1.2, 200, "made up".to_string())),
        ..wi("a", 2)
    };
    assert_eq!(rules("", &with(vec![made_up], ran())), ["rule-1"]);
    let late = RequestRecord {
        answer: Some((4.2, 502, String::new())),
        ..wi("a", 2)
    };
    assert_eq!(rules("", &with(vec![late], ran())), ["rule-1"]);
    // The client must repeat what a killed process held, and what a cut lost never reached the dispatcher.
    let mut records = with(vec![none.clone()], ran());
    records.absences.push(sagetrail_fault_testing::Absence {
        dispatcher: 0,
        from: 1.1,
        to: 2.0,
        died: true,
    });
    assert!(rules("", &records).is_empty());
    let cut = "[[faults]]\nat = \"1s\"\nfor = \"1s\"\nwhat = \"cut\"\non = \"clients<>d1\"";
    assert!(rules(cut, &with(vec![none], ran())).is_empty());
}

/// Work that may have run must not be handed off again unless its category allows it, and never to two runners at once.
#[test]
fn rule_2_finds_repeated_effects_and_concurrent_hand_offs() {
    let first = || ho("a", 0, 1.0, Some((1.1, End::Failed)));
    let declined = || ho("a", 0, 1.0, Some((1.05, End::Declined)));
    let second = || ho("a", 1, 1.4, Some((1.5, End::Done)));
    let all = |category: usize, first: HandOff, second: HandOff| {
        let hos = [first, second].map(|ho| HandOff { category, ..ho });
        rules("", &with(vec![wi("a", category)], hos.to_vec()))
    };
    assert_eq!(
        all(2, first(), second()),
        ["rule-2"],
        "exclusive, and may have run"
    );
    assert!(all(2, declined(), second()).is_empty(), "never ran");
    assert!(all(0, first(), second()).is_empty(), "rerunnable");
    assert!(
        all(1, first(), second()).is_empty(),
        "ticketed, within group and window"
    );
    assert_eq!(
        all(
            1,
            first(),
            HandOff {
                left: 6.4,
                came: 6.4,
                ..second()
            }
        ),
        ["rule-2"],
        "past its window"
    );
    let running = HandOff {
        ended: Some((1.9, End::Done)),
        ..first()
    };
    assert_eq!(all(0, running, second()), ["rule-2"], "two at once");
    let given_up = HandOff {
        ended: Some((1.3, End::GivenUp)),
        ..first()
    };
    assert!(all(0, given_up, second()).is_empty());
    let deferred = RequestRecord {
        answer: Some((1.2, 503, String::new())),
        ..wi("a", 2)
    };
    assert_eq!(
        rules("", &with(vec![deferred], vec![first()])),
        ["rule-2"],
        "deferred though it may have run"
    );
}

/// A dispatcher must stop sending to a runner that the list or an operator took out of service.
#[test]
fn rule_3_finds_hand_offs_after_the_grace_of_a_drain() {
    let mut records = with(
        vec![wi("a", 2)],
        vec![ho("a", 0, 2.0, Some((2.1, End::Done)))],
    );
    let word = |at, ready| sagetrail_fault_testing::ListUpdate {
        at,
        dispatcher: 0,
        runner: 0,
        ready,
        process: 0,
    };
    records.words = vec![word(0.0, true), word(1.8, false)];
    assert!(rules("", &records).is_empty(), "within the grace");
    records.words[1].at = 1.0;
    assert_eq!(rules("", &records), ["rule-3"]);
    records.words.push(word(1.5, true));
    assert!(rules("", &records).is_empty(), "ready again");
    records.by_hand.push((0, 0, 1.0, f64::INFINITY));
    assert_eq!(rules("", &records), ["rule-3"]);
}

/// The work of all dispatchers together must stay under the limit of a cold runner.
#[test]
fn rule_4_finds_too_much_work_for_a_cold_runner() {
    // Four slots at a fifth of their speed, times three, allow 2.4 s of work within a second, and a little more by age.
    let sent = |n: usize| {
        let hos = (0..n).map(|k| {
            ho(
                &format!("a{k}"),
                0,
                1.0 + 0.001 * k as f64,
                Some((1.5, End::Done)),
            )
        });
        let mut records = with(Vec::new(), hos.collect());
        records.births.push(sagetrail_fault_testing::ProcessStart {
            runner: 0,
            process: 0,
            at: 0.9,
            cold: true,
        });
        records.words.push(sagetrail_fault_testing::ListUpdate {
            at: 0.92,
            dispatcher: 0,
            runner: 0,
            ready: true,
            process: 0,
        });
        rules("", &records)
    };
    assert!(sent(25).is_empty());
    assert_eq!(sent(40), ["rule-4"]);
}

/// Dispatchers that each stay within a shared limit may exceed it together.
#[test]
fn exceeded_caps_and_resend_limits_are_found() {
    let caps = "[fleet]\ncaps = { once = 2 }\nresends = 1";
    let at = |ids: &[(&str, f64)]| {
        let hos = ids
            .iter()
            .map(|(id, left)| ho(id, 0, *left, Some((left + 0.3, End::Done))));
        let hos: Vec<HandOff> = hos.collect();
        hos
    };
    assert!(rules(
        caps,
        &with(vec![], at(&[("a", 1.0), ("b", 1.1), ("c", 1.35)]))
    )
    .is_empty());
    assert_eq!(
        rules(
            caps,
            &with(vec![], at(&[("a", 1.0), ("b", 1.1), ("c", 1.2)]))
        ),
        ["bound-cap"]
    );
    let again = |ids: &[&str]| {
        let both = ids.iter().flat_map(|id| {
            let first = HandOff {
                category: 0,
                ..ho(id, 0, 1.0, Some((1.1, End::Failed)))
            };
            [
                first,
                HandOff {
                    category: 0,
                    ..ho(id, 1, 1.3, Some((1.4, End::Done)))
                },
            ]
        });
        rules(caps, &with(vec![], both.collect()))
    };
    assert!(again(&["a"]).is_empty());
    assert_eq!(again(&["a", "b"]), ["bound-resends"]);
}

/// A healthy runner that gets no work must be found, also if one of three dispatchers cannot reach it.
#[test]
fn a_shut_out_healthy_runner_is_found() {
    let sent = |to: &[usize]| {
        let hos = (0..1200).map(|n| {
            let left = 0.01 * f64::from(n);
            let runner = if left < 1.0 {
                n as usize % 6
            } else {
                to[n as usize % to.len()]
            };
            HandOff {
                category: 0,
                ..ho(
                    &format!("a{n}"),
                    runner,
                    left,
                    Some((left + 0.005, End::Done)),
                )
            }
        });
        with(vec![], hos.collect())
    };
    let long = "length = \"12s\"";
    assert!(rules(long, &sent(&[0, 1, 2, 3, 4, 5])).is_empty());
    assert_eq!(rules(long, &sent(&[0, 1, 2, 3, 4])), ["bound-shut-out"]);
    let ill = format!("{long}\n[[faults]]\nat = \"0s\"\nwhat = \"hang\"\non = \"r6\"");
    assert!(
        rules(&ill, &sent(&[0, 1, 2, 3, 4])).is_empty(),
        "it was not well"
    );
    let cut = format!("{long}\n[[faults]]\nat = \"0s\"\nwhat = \"cut\"\non = \"d2>r6\"");
    assert_eq!(
        rules(&cut, &sent(&[0, 1, 2, 3, 4])),
        ["bound-shut-out"],
        "only one of three was cut off from it"
    );
}

/// A run that stays within all rules may still earn less or fail more than the scenario expects.
#[test]
fn missed_expectations_are_found() {
    let records = with(
        vec![
            wi("a", 2),
            RequestRecord {
                answer: Some((1.2, 502, String::new())),
                ..wi("b", 2)
            },
        ],
        vec![
            ho("a", 0, 1.0, Some((1.1, End::Done))),
            ho("b", 0, 1.0, Some((1.1, End::Failed))),
        ],
    );
    assert!(rules("[expect]\ngoodput = 0.5", &records).is_empty());
    assert_eq!(rules("[expect]\ngoodput = 0.6", &records), ["expected"]);
    assert_eq!(
        rules("[expect]\nfailed_hand_offs = 0", &records),
        ["expected"]
    );
}

/// A client repeats recorded work under a new id after a crash. Its effect must still not occur twice.
#[test]
fn recorded_work_is_one_work_item_under_the_id_of_its_first_try() {
    let text = "[store]\n[[categories]]\nname = \"once\"\nrate = 1.0\nrecord = 1";
    let again = || RequestRecord {
        first: Some("a".to_string()),
        ..wi("a-1", 0)
    };
    let at = |id: &str, runner, left: f64, end| HandOff {
        category: 0,
        ..ho(id, runner, left, Some((left + 0.1, end)))
    };
    let wis = || {
        vec![
            RequestRecord {
                answer: None,
                closed: Some(1.1),
                ..wi("a", 0)
            },
            again(),
        ]
    };
    let killed = |mut records: Records| {
        records.absences.push(sagetrail_fault_testing::Absence {
            dispatcher: 0,
            from: 1.05,
            to: 1.2,
            died: true,
        });
        rules(text, &records)
    };
    let twice = with(
        wis(),
        vec![at("a", 0, 1.0, End::Done), at("a-1", 1, 1.4, End::Done)],
    );
    assert_eq!(killed(twice), ["rule-2"], "its effect twice, under two ids");
    let declined = with(
        wis(),
        vec![at("a", 0, 1.0, End::Declined), at("a-1", 1, 1.4, End::Done)],
    );
    assert!(killed(declined).is_empty(), "it never ran the first time");
    // The result of the first try is a valid answer to the second.
    let mut given = with(wis(), vec![at("a", 0, 1.0, End::Done)]);
    given.wis[1].answer = Some((1.5, 200, "a made".to_string()));
    assert!(killed(given).is_empty());
}

/// A dispatcher that misses an agreed ban sends to the banned runner. This is excused only if it hears fewer than half
/// of the others.
#[test]
fn hand_offs_to_a_banned_runner_are_found() {
    let banned = |schedule: &str, left: f64| {
        let mut records = with(
            vec![],
            vec![HandOff {
                dispatcher: 1,
                ..ho("a", 2, left, Some((left + 0.1, End::Done)))
            }],
        );
        records.banned.push((2, 1.0, 9.0));
        rules(&format!("length = \"10s\"\n[store]\n{schedule}"), &records)
    };
    assert!(
        banned("", 3.0).is_empty(),
        "within two seconds and the grace"
    );
    assert_eq!(banned("", 4.0), ["bound-agreed"]);
    assert!(banned("", 9.5).is_empty(), "it is back");
    let cut = "[[faults]]\nat = \"0s\"\nfor = \"8s\"\nwhat = \"cut\"\non = \"d2<>dispatchers\"";
    assert!(banned(cut, 4.0).is_empty(), "it hears nobody");
    let half = "[[faults]]\nat = \"0s\"\nfor = \"8s\"\nwhat = \"cut\"\non = \"d2<>d1\"";
    assert_eq!(banned(half, 4.0), ["bound-agreed"], "it hears one of two");
}
