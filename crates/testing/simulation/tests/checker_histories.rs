//! Hand-made days: each rule is seen to be broken, and a day that keeps all is not accused.

use sagetrail_protocol::agent::{Resources, RunEnd};
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::NodeId;
use sagetrail_simulation::checker::{check, Limits, Rule};
use sagetrail_simulation::configuration::{Configuration, RouteItem};
use sagetrail_simulation::engine::{Micros, SECOND, WALL_START_MS};
use sagetrail_simulation::history::{
    Answer, History, Observation, ObservedChange, ObservedEnd, ObservedStart, Reach, RunnerFacts,
    ShownState,
};
use sagetrail_simulation::job::{JobDefinition, StepDefinition, TaskName};
use std::collections::BTreeSet;

const JOB: &str = "00000000000000aa";

fn configuration(version: u64) -> Configuration {
    let mut made = Configuration {
        version,
        ..Configuration::default()
    };
    made.services.insert("s".into(), false);
    made.put_route(RouteItem {
        max_attempts: 2,
        ..RouteItem::new("r", "h", "/q/", "s")
    });
    made
}

fn order(number: usize, base: u64, version: u64) -> ObservedChange {
    ObservedChange {
        order: number,
        base,
        version,
        valid: true,
        content: Some(configuration(version)),
    }
}

fn limits(all_must_finish: bool) -> Limits {
    Limits {
        bounds: Bounds::default(),
        visible_ms: 3_000,
        finish_ms: 14_000,
        recovery_ms: 12_000,
        all_must_finish,
    }
}

/// The machine of a runner.
fn machine(instance: &str) -> NodeId {
    NodeId {
        ip: u32::from(instance.as_bytes()[0]),
        port: 1,
    }
}

/// A day on which the job was accepted at 10 s, with a configuration and two runners.
struct Day(History);

impl Day {
    fn new(job: JobDefinition) -> Day {
        let mut history = History::default();
        history.jobs.jobs.insert(job.id.clone(), job);
        let mut day = Day(history);
        day.at(1.0, Observation::OrderSent(order(0, 0, 1)));
        day.at(
            1.1,
            Observation::OrderAnswered {
                order: 0,
                answer: Answer::Status(200),
            },
        );
        for instance in ["a", "b"] {
            let capacity = Resources {
                cpu: 1_000,
                mem_mb: 1_000,
                gpu: 0,
            };
            let labels = vec!["good".to_owned()];
            let facts = RunnerFacts {
                instance: instance.into(),
                machine: machine(instance),
                service: "s".into(),
                capacity,
                labels,
                guards: false,
            };
            day.at(2.0, Observation::RunnerUp(facts));
        }
        day
    }

    fn accepted(job: JobDefinition) -> Day {
        let mut day = Day::new(job);
        day.submit(10.0, Answer::Status(200));
        day
    }

    fn at(&mut self, seconds: f64, observation: Observation) {
        self.0
            .note((seconds * SECOND as f64) as Micros, observation);
    }

    fn trouble(&mut self, seconds: f64, until_second: u64, reach: Reach) {
        self.at(
            seconds,
            Observation::Fault {
                until: until_second * SECOND,
                what: "Kill".into(),
                reach,
            },
        );
    }

    fn submit(&mut self, seconds: f64, answer: Answer) {
        self.at(seconds, Observation::SubmitSent { job: JOB.into() });
        self.at(
            seconds,
            Observation::SubmitAnswered {
                job: JOB.into(),
                answer,
            },
        );
    }

    fn start(&mut self, seconds: f64, instance: &str, task: &str, attempt: u64) {
        let task = format!("{JOB}.{task}");
        let seen = ObservedStart {
            instance: instance.into(),
            task,
            attempt,
            spec: "work".into(),
            saved: String::new(),
        };
        self.at(seconds, Observation::Started(seen));
    }

    fn end(
        &mut self,
        seconds: f64,
        instance: &str,
        task: &str,
        attempt: u64,
        number: u64,
        end: RunEnd,
    ) {
        let task = TaskName::parse(&format!("{JOB}.{task}")).expect("a task's name");
        let seen = ObservedEnd {
            instance: instance.into(),
            number,
            task,
            attempt,
            end,
            saved: String::new(),
        };
        self.at(seconds, Observation::Ended(seen));
    }

    fn observed(&mut self, seconds: f64, instance: &str, number: u64) {
        self.at(
            seconds,
            Observation::Observed {
                instance: instance.into(),
                number,
            },
        );
    }

    fn read(&mut self, seconds: f64, state: ShownState) {
        let sent = (seconds * SECOND as f64) as Micros;
        self.at(
            seconds,
            Observation::StateRead {
                job: JOB.into(),
                sent,
                gateway: NodeId::default(),
                state,
            },
        );
    }

    fn rules(&self) -> BTreeSet<Rule> {
        check(&self.0, limits(true))
            .into_iter()
            .map(|violation| violation.rule)
            .collect()
    }

    fn breaks(&self, rule: Rule) {
        assert_eq!(self.rules(), BTreeSet::from([rule]));
    }

    fn keeps_all(&self) {
        assert_eq!(self.rules(), BTreeSet::new());
    }
}

fn step(count: u64) -> StepDefinition {
    StepDefinition {
        count,
        cpu: 600,
        mem_mb: 10,
        work: SECOND,
        ..StepDefinition::default()
    }
}

fn job(steps: Vec<StepDefinition>) -> JobDefinition {
    JobDefinition {
        id: JOB.into(),
        spec: "work".into(),
        prefix: "/q/".into(),
        steps,
        ..JobDefinition::default()
    }
}

#[test]
fn a_day_that_keeps_all_rules_is_not_accused() {
    let dependent = StepDefinition {
        depends_on: vec![0],
        ..step(1)
    };
    let mut day = Day::accepted(job(vec![step(1), dependent]));
    day.start(11.0, "a", "0.0.0", 1);
    day.end(12.0, "a", "0.0.0", 1, 1, RunEnd::Failed);
    day.observed(12.1, "a", 1);
    day.start(12.2, "b", "0.0.0", 2);
    day.end(13.0, "b", "0.0.0", 2, 1, RunEnd::Done);
    day.start(13.2, "b", "0.1.0", 1);
    day.observed(13.3, "b", 1);
    day.end(14.0, "b", "0.1.0", 1, 2, RunEnd::Done);
    day.read(15.0, ShownState::Completed);
    day.at(
        60.0,
        Observation::ConfigRead {
            sent: 59 * SECOND,
            content: Some(configuration(1)),
        },
    );
    day.at(70.0, Observation::DayEnd);
    day.keeps_all();
}

#[test]
fn two_runs_at_once_are_twice() {
    let mut day = Day::accepted(job(vec![step(1)]));
    day.start(11.0, "a", "0.0.0", 1);
    day.start(11.5, "b", "0.0.0", 2);
    day.breaks(Rule::Twice);
}

#[test]
fn speculative_runs_at_once_are_allowed() {
    let mut day = Day::accepted(job(vec![StepDefinition {
        speculative: true,
        ..step(1)
    }]));
    day.start(11.0, "a", "0.0.0", 1);
    day.start(11.5, "b", "0.0.0", 2);
    day.keeps_all();
}

#[test]
fn a_start_after_a_noted_end_is_twice_also_if_the_note_comes_later() {
    let mut day = Day::accepted(job(vec![step(1)]));
    day.start(11.0, "a", "0.0.0", 1);
    day.end(12.0, "a", "0.0.0", 1, 1, RunEnd::Done);
    day.start(12.5, "b", "0.0.0", 2);
    day.keeps_all();
    day.observed(13.0, "a", 1);
    day.breaks(Rule::Twice);
}

#[test]
fn an_end_before_a_lapse_is_not_noted_any_more() {
    let mut day = Day::accepted(job(vec![step(1)]));
    day.start(11.0, "a", "0.0.0", 1);
    day.end(12.0, "a", "0.0.0", 1, 1, RunEnd::Done);
    day.at(
        12.2,
        Observation::LeaseExpired {
            instance: "a".into(),
        },
    );
    day.start(12.5, "b", "0.0.0", 2);
    day.observed(13.0, "a", 1);
    day.keeps_all();
}

#[test]
fn a_start_after_completion_was_shown_is_twice() {
    let mut day = Day::accepted(job(vec![step(1)]));
    day.start(11.0, "a", "0.0.0", 1);
    day.end(12.0, "a", "0.0.0", 1, 1, RunEnd::Done);
    day.read(13.0, ShownState::Completed);
    day.start(15.0, "b", "0.0.0", 2);
    day.breaks(Rule::Twice);
}

#[test]
fn more_than_the_capacity_breaks_the_limit_stopped_runs_included() {
    let mut day = Day::accepted(job(vec![step(2)]));
    day.start(11.0, "a", "0.0.0", 1);
    day.start(11.1, "a", "0.0.1", 1);
    day.breaks(Rule::Limit);
}

#[test]
fn a_step_before_the_earlier_one_breaks_the_order() {
    let dependent = StepDefinition {
        depends_on: vec![0],
        ..step(1)
    };
    let mut day = Day::accepted(job(vec![step(1), dependent]));
    day.start(11.0, "a", "0.0.0", 1);
    day.start(11.5, "b", "0.1.0", 1);
    day.breaks(Rule::Order);
}

#[test]
fn a_start_before_its_time_breaks_the_order() {
    let timed = JobDefinition {
        repeat: 2,
        first_run_ms: WALL_START_MS + 20_000,
        ..job(vec![step(1)])
    };
    let mut day = Day::accepted(timed);
    day.start(19.8, "a", "0.0.0", 1);
    day.keeps_all();
    day.start(15.0, "b", "1.0.0", 1);
    day.breaks(Rule::Order);
}

#[test]
fn a_start_beyond_the_attempts_breaks_the_budget() {
    let mut day = Day::accepted(job(vec![step(1)]));
    for attempt in 1..=2 {
        let at = 10.0 + attempt as f64;
        day.start(at, "a", "0.0.0", attempt);
        day.end(at + 0.5, "a", "0.0.0", attempt, attempt, RunEnd::Failed);
    }
    day.observed(13.0, "a", 2);
    day.keeps_all();
    day.start(14.0, "a", "0.0.0", 3);
    day.breaks(Rule::Budget);
}

#[test]
fn what_nobody_sent_is_unasked() {
    let mut day = Day::new(job(vec![step(1)]));
    day.start(11.0, "a", "0.0.0", 1);
    day.breaks(Rule::Unasked);
}

#[test]
fn a_start_after_the_cancelling_is_unasked() {
    let mut day = Day::accepted(job(vec![step(1)]));
    day.at(11.0, Observation::CancelSent { job: JOB.into() });
    day.at(
        11.1,
        Observation::CancelAnswered {
            job: JOB.into(),
            answer: Answer::Status(200),
        },
    );
    day.start(14.0, "a", "0.0.0", 1);
    day.end(14.5, "a", "0.0.0", 1, 1, RunEnd::Stopped);
    day.keeps_all();
    day.start(15.0, "a", "0.0.0", 2);
    day.breaks(Rule::Unasked);
}

#[test]
fn a_run_that_outlives_the_cancelling_is_unasked() {
    let mut day = Day::accepted(job(vec![step(1)]));
    day.start(11.0, "a", "0.0.0", 1);
    day.at(11.0, Observation::CancelSent { job: JOB.into() });
    day.at(
        11.1,
        Observation::CancelAnswered {
            job: JOB.into(),
            answer: Answer::Status(200),
        },
    );
    day.end(16.0, "a", "0.0.0", 1, 1, RunEnd::Done);
    day.breaks(Rule::Unasked);
}

#[test]
fn another_jobs_checkpoint_is_unasked() {
    let mut day = Day::accepted(job(vec![StepDefinition {
        checkpoints: true,
        ..step(1)
    }]));
    let saved = "0000000100-00000000000000bb.0.0.0".to_owned();
    let task = format!("{JOB}.0.0.0");
    day.at(
        11.0,
        Observation::Started(ObservedStart {
            instance: "a".into(),
            task,
            attempt: 1,
            spec: "work".into(),
            saved,
        }),
    );
    day.breaks(Rule::Unasked);
}

#[test]
fn a_start_of_a_job_whose_every_try_was_rejected_is_refused() {
    let mut day = Day::new(job(vec![step(1)]));
    day.submit(10.0, Answer::Status(503));
    day.submit(10.5, Answer::Status(429));
    day.start(11.0, "a", "0.0.0", 1);
    day.breaks(Rule::Refused);
}

#[test]
fn a_start_after_one_try_without_an_answer_is_not_refused() {
    let mut day = Day::new(job(vec![step(1)]));
    day.submit(10.0, Answer::Silence);
    day.submit(10.5, Answer::Status(503));
    day.start(11.0, "a", "0.0.0", 1);
    day.keeps_all();
}

#[test]
fn an_accepted_job_that_is_unknown_is_lost() {
    let mut day = Day::accepted(job(vec![step(1)]));
    day.read(12.0, ShownState::Gone);
    day.keeps_all();
    day.read(14.0, ShownState::Gone);
    day.breaks(Rule::Lost);
}

#[test]
fn an_unknown_job_near_a_fault_is_excused() {
    let mut day = Day::accepted(job(vec![step(1)]));
    day.trouble(12.0, 13, Reach::Everything);
    day.read(14.0, ShownState::Gone);
    day.keeps_all();
}

#[test]
fn a_fault_excuses_only_the_machines_that_it_reaches() {
    let elsewhere = NodeId { ip: 99, port: 1 };
    let here = NodeId::default();
    let cases = [
        (Reach::Core, 14.0, true),
        (Reach::Core, 17.0, false),
        (Reach::Everything, 17.0, true),
        (Reach::Machines(vec![elsewhere, here]), 14.0, true),
        (Reach::Machines(vec![elsewhere]), 14.0, false),
        (Reach::Runner, 14.0, false),
    ];
    for (reach, read_at, excused) in cases {
        let mut day = Day::accepted(job(vec![step(1)]));
        day.trouble(12.0, 13, reach.clone());
        day.read(read_at, ShownState::Gone);
        let expected = if excused {
            BTreeSet::new()
        } else {
            BTreeSet::from([Rule::Lost])
        };
        assert_eq!(day.rules(), expected, "{reach:?} at {read_at}");
    }
}

#[test]
fn a_start_after_the_cancellation_is_excused_only_by_a_fault_of_its_machine() {
    for (troubled, expected) in [
        ("a", BTreeSet::new()),
        ("b", BTreeSet::from([Rule::Unasked])),
    ] {
        let mut day = Day::accepted(job(vec![step(1)]));
        day.at(12.0, Observation::CancelSent { job: JOB.into() });
        day.at(
            12.0,
            Observation::CancelAnswered {
                job: JOB.into(),
                answer: Answer::Status(200),
            },
        );
        day.trouble(15.0, 16, Reach::Machines(vec![machine(troubled)]));
        day.start(16.0, "a", "0.0.0", 1);
        day.end(16.5, "a", "0.0.0", 1, 1, RunEnd::Stopped);
        assert_eq!(day.rules(), expected, "{troubled}");
    }
}

#[test]
fn a_job_shown_as_failed_without_cause_is_lost() {
    let mut day = Day::accepted(job(vec![step(1)]));
    day.start(11.0, "a", "0.0.0", 1);
    day.end(12.0, "a", "0.0.0", 1, 1, RunEnd::Failed);
    day.read(13.0, ShownState::Failed);
    day.breaks(Rule::Lost);
}

#[test]
fn a_job_that_never_ends_is_lost() {
    let mut day = Day::accepted(job(vec![step(1)]));
    day.read(13.0, ShownState::Queued);
    day.at(
        60.0,
        Observation::ConfigRead {
            sent: 59 * SECOND,
            content: Some(configuration(1)),
        },
    );
    day.at(90.0, Observation::DayEnd);
    day.breaks(Rule::Lost);
}

#[test]
fn a_stalled_job_is_lost_and_one_without_capacity_is_not() {
    let limits = limits(false);
    for (cpu, broken) in [(400, 1), (1_200, 0)] {
        let mut day = Day::accepted(job(vec![StepDefinition { cpu, ..step(1) }]));
        day.at(
            60.0,
            Observation::ConfigRead {
                sent: 59 * SECOND,
                content: Some(configuration(1)),
            },
        );
        day.at(90.0, Observation::DayEnd);
        let violations = check(&day.0, limits);
        assert_eq!(violations.len(), broken, "{violations:?}");
        assert!(violations
            .iter()
            .all(|violation| violation.rule == Rule::Lost));
    }
}

#[test]
fn a_completed_job_with_an_open_task_is_mixed() {
    let mut day = Day::accepted(job(vec![step(2)]));
    day.start(11.0, "a", "0.0.0", 1);
    day.end(12.0, "a", "0.0.0", 1, 1, RunEnd::Done);
    day.read(13.0, ShownState::Completed);
    day.breaks(Rule::Mixed);
}

#[test]
fn a_member_that_waited_in_vain_breaks_the_gang() {
    let mut day = Day::accepted(job(vec![StepDefinition {
        gang: true,
        ..step(2)
    }]));
    day.start(11.0, "a", "0.0.0", 1);
    day.end(14.0, "a", "0.0.0", 1, 1, RunEnd::GangTimedOut);
    day.breaks(Rule::Gang);
}

#[test]
fn a_runner_without_the_label_breaks_the_route() {
    let mut day = Day::accepted(job(vec![StepDefinition {
        constraints: "other".into(),
        ..step(1)
    }]));
    day.start(11.0, "a", "0.0.0", 1);
    day.breaks(Rule::Route);
}

#[test]
fn too_many_of_a_step_on_one_runner_break_the_route() {
    let mut day = Day::accepted(job(vec![StepDefinition {
        anti_affinity: 1,
        cpu: 100,
        ..step(2)
    }]));
    day.start(11.0, "a", "0.0.0", 1);
    day.start(11.2, "a", "0.0.1", 1);
    day.breaks(Rule::Route);
}

#[test]
fn a_start_on_a_runner_that_drains_is_accused() {
    let mut day = Day::accepted(job(vec![step(1)]));
    day.at(
        10.5,
        Observation::DrainAcknowledged {
            instance: "a".into(),
        },
    );
    day.start(13.0, "a", "0.0.0", 1);
    day.breaks(Rule::Drain);
}

#[test]
fn two_acknowledged_changes_on_one_version_break_the_configuration() {
    let mut day = Day::new(job(vec![step(1)]));
    for (number, version) in [(1, 2), (2, 3)] {
        day.at(11.0, Observation::OrderSent(order(number, 1, version)));
        day.at(
            11.5,
            Observation::OrderAnswered {
                order: number,
                answer: Answer::Status(200),
            },
        );
    }
    day.breaks(Rule::Config);
}

#[test]
fn an_acknowledged_change_that_is_refused_again_breaks_the_configuration() {
    let mut day = Day::new(job(vec![step(1)]));
    day.at(
        12.0,
        Observation::OrderAnswered {
            order: 0,
            answer: Answer::Status(412),
        },
    );
    day.breaks(Rule::Config);
}

#[test]
fn an_acknowledged_invalid_change_breaks_the_configuration() {
    let mut day = Day::new(job(vec![step(1)]));
    day.at(
        11.0,
        Observation::OrderSent(ObservedChange {
            order: 1,
            base: 1,
            version: 2,
            valid: false,
            content: None,
        }),
    );
    day.at(
        11.5,
        Observation::OrderAnswered {
            order: 1,
            answer: Answer::Status(200),
        },
    );
    day.breaks(Rule::Config);
}

#[test]
fn an_older_read_back_breaks_the_configuration() {
    let mut day = Day::new(job(vec![step(1)]));
    day.at(11.0, Observation::OrderSent(order(1, 1, 2)));
    day.at(
        11.5,
        Observation::OrderAnswered {
            order: 1,
            answer: Answer::Status(200),
        },
    );
    day.at(
        60.0,
        Observation::ConfigRead {
            sent: 59 * SECOND,
            content: Some(configuration(1)),
        },
    );
    day.at(70.0, Observation::DayEnd);
    day.breaks(Rule::Config);
}

#[test]
fn a_refused_change_in_force_breaks_the_configuration() {
    let mut day = Day::new(job(vec![step(1)]));
    day.at(11.0, Observation::OrderSent(order(1, 1, 2)));
    day.at(
        11.5,
        Observation::OrderAnswered {
            order: 1,
            answer: Answer::Status(412),
        },
    );
    day.at(
        12.0,
        Observation::ConfigRead {
            sent: 11 * SECOND,
            content: Some(configuration(2)),
        },
    );
    day.breaks(Rule::Config);
}

#[test]
fn a_route_that_is_there_and_not_found_breaks_the_configuration() {
    let mut day = Day::new(job(vec![step(1)]));
    let answer = Answer::Status(404);
    let read = Observation::QueueRead {
        sent: 20 * SECOND,
        gateway: NodeId::default(),
        host: "h".into(),
        prefix: "/q/".into(),
        answer,
    };
    day.at(20.1, read);
    day.breaks(Rule::Config);
}

#[test]
fn a_job_that_stands_still_while_others_come_is_lost() {
    for (started, broken) in [(20.0, 0), (30.0, 1)] {
        let mut day = Day::accepted(job(vec![StepDefinition {
            cpu: 400,
            ..step(1)
        }]));
        day.start(started, "a", "0.0.0", 1);
        day.end(started + 1.0, "a", "0.0.0", 1, 1, RunEnd::Done);
        day.read(started + 2.0, ShownState::Completed);
        day.at(35.0, Observation::SubmitSent { job: "last".into() });
        day.at(
            60.0,
            Observation::ConfigRead {
                sent: 59 * SECOND,
                content: Some(configuration(1)),
            },
        );
        day.at(90.0, Observation::DayEnd);
        let violations = check(&day.0, limits(false));
        assert_eq!(violations.len(), broken, "{violations:?}");
        assert!(violations
            .iter()
            .all(|violation| violation.rule == Rule::Lost));
    }
}

#[test]
fn too_few_requests_served_after_the_final_fault_break_the_recovery() {
    for (served, broken) in [(0, true), (1, true), (2, false), (8, false)] {
        let mut day = Day::accepted(job(vec![step(1)]));
        day.at(20.0, Observation::FinalFault { back: 22 * SECOND });
        // Sent before the recovery is over.
        day.at(
            33.0,
            Observation::SubmitSent {
                job: "early".into(),
            },
        );
        for number in 0..8 {
            let job = format!("late-{number}");
            day.at(35.0, Observation::SubmitSent { job: job.clone() });
            let answer = Answer::Status(if number < served { 200 } else { 503 });
            day.at(37.0, Observation::SubmitAnswered { job, answer });
        }
        let expected = if broken {
            BTreeSet::from([Rule::Recover])
        } else {
            BTreeSet::new()
        };
        assert_eq!(day.rules(), expected, "{served}");
    }
}

#[test]
fn a_success_that_comes_late_after_the_final_fault_does_not_count() {
    let mut day = Day::accepted(job(vec![step(1)]));
    day.at(20.0, Observation::FinalFault { back: 22 * SECOND });
    day.at(35.0, Observation::SubmitSent { job: "late".into() });
    day.at(
        39.0,
        Observation::SubmitAnswered {
            job: "late".into(),
            answer: Answer::Status(200),
        },
    );
    day.breaks(Rule::Recover);
}
