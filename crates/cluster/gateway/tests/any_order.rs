//! Whatever comes in whatever order: each request is answered once, and refused only where nothing is out.

mod common;

use common::{Rig, CORE};
use proptest::prelude::*;
use sagetrail_protocol::node::{HttpRequestId, Method};
use sagetrail_protocol::NodeId;
use std::collections::HashMap;

#[derive(Clone, Debug)]
enum Step {
    Pass(u64),
    Request(u8, u64),
    Directory(usize, u64, usize),
    NotLeader(usize, usize, u64, usize),
    Answer(usize, usize),
    Update(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1..900_u64).prop_map(Step::Pass),
        (0..3_u8, 1..4000_u64).prop_map(|(method, deadline)| Step::Request(method, deadline)),
        (0..3_usize, 0..4_u64, 0..4_usize)
            .prop_map(|(from, term, leader)| Step::Directory(from, term, leader)),
        (0..3_usize, 0..9_usize, 0..4_u64, 0..4_usize)
            .prop_map(|(from, request, term, leader)| Step::NotLeader(from, request, term, leader)),
        (0..3_usize, 0..9_usize).prop_map(|(from, request)| Step::Answer(from, request)),
        (1..9_u64).prop_map(Step::Update),
    ]
}

fn core(position: usize) -> NodeId {
    CORE.get(position).copied().unwrap_or_default()
}

/// The number of the `position`th request sent, if there is one.
fn number(rig: &Rig, position: usize) -> Option<u64> {
    let mut numbers: Vec<u64> = rig
        .requests()
        .iter()
        .map(|(_, request)| request.request)
        .collect();
    numbers.dedup();
    numbers.get(position).copied()
}

fn play(
    rig: &mut Rig,
    step: &Step,
    asked: &mut Vec<HttpRequestId>,
    bounced: &mut HashMap<u64, usize>,
) {
    match step {
        Step::Pass(millis) => rig.pass(*millis),
        Step::Request(method, deadline) => {
            let method = [Method::Post, Method::Get, Method::Delete][*method as usize];
            asked.push(rig.http(method, Vec::new(), Some(*deadline)));
        }
        Step::Directory(from, term, leader) => rig.directory(core(*from), *term, core(*leader)),
        Step::NotLeader(from, position, term, leader) => {
            let Some(number) = number(rig, *position) else {
                return;
            };
            *bounced.entry(number).or_default() += 1;
            rig.not_leader(core(*from), number, *term, core(*leader));
        }
        Step::Answer(from, position) => {
            let Some(number) = number(rig, *position) else {
                return;
            };
            rig.answer(core(*from), number, 200);
        }
        Step::Update(version) => rig.update(CORE[1], *version),
    }
}

proptest! {
    #[test]
    fn each_request_is_answered_once(steps in proptest::collection::vec(step(), 1..80)) {
        let mut rig = Rig::new();
        let mut asked = Vec::new();
        let mut bounced = HashMap::new();
        for step in &steps {
            play(&mut rig, step, &mut asked, &mut bounced);
        }
        rig.pass(5000);
        for id in &asked {
            let status = rig.status_of(*id);
            prop_assert!(matches!(status, Some(200 | 503 | 504)), "{:?}", status);
        }
        let sent: Vec<u64> = rig.requests().iter().map(|(_, request)| request.request).collect();
        let mut numbers: Vec<u64> = sent.into_iter().filter(|number| !bounced.contains_key(number)).collect();
        numbers.sort_unstable();
        numbers.dedup();
        let not_refused = asked.iter().filter(|id| rig.status_of(**id) != Some(503)).count();
        prop_assert!(numbers.len() <= not_refused, "a request that is out was refused");
    }
}
