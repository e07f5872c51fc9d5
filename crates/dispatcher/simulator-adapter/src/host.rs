//! The instances of one process: records become calls on their dispatchers, and answers become records.

use crate::frame::{Batch, Fields, Reply, ENTRY};
use sagetrail_policy::{
    parse_policy_config, Dispatcher, FlatSettings, Host, Job, ListUpdate, ListedRunner, Outcome,
    WorkItem,
};
use std::collections::HashMap;

type Address = [u8; 6];

/// How the ids of the wire and the indices of the decisions map to each other.
#[derive(Default)]
struct Ids {
    handles: HashMap<u32, WorkItem>,
    client_ids: Vec<u32>,
    runners: HashMap<Address, usize>,
    addresses: Vec<Address>,
}

impl Ids {
    fn runner(&mut self, address: Address) -> usize {
        let next = self.addresses.len();
        let index = *self.runners.entry(address).or_insert(next);
        if index == next {
            self.addresses.push(address);
        }
        index
    }

    fn client_id(&self, work_item: WorkItem) -> [u8; 4] {
        self.client_ids[work_item.0 as usize].to_le_bytes()
    }
}

struct Instance {
    dispatcher: Dispatcher,
    ids: Ids,
    touched: bool,
}

/// One instance's side of the reply being written.
struct Wire<'a> {
    ids: &'a mut Ids,
    reply: &'a mut Reply,
    instance: u16,
    now: f64,
}

/// Stands for a key; never 0, which is none.
fn short(long: u64) -> u32 {
    ((long.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) as u32).max(1)
}

fn number(address: Address) -> u64 {
    address.iter().fold(0, |id, byte| id << 8 | *byte as u64)
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6).round().max(0.0) as u64
}

impl Host for Wire<'_> {
    fn now(&self) -> f64 {
        self.now
    }
    fn send_attempt(&mut self, work_item: WorkItem, runner: usize, drop_at: f64, _: f64) {
        let drop_at = micros(drop_at).to_le_bytes();
        let fields: [&[u8]; 3] = [
            &self.ids.client_id(work_item),
            &self.ids.addresses[runner],
            &drop_at,
        ];
        self.reply.act(10, self.instance, &fields);
    }
    fn defer(&mut self, work_item: WorkItem, retry_after_s: f64) {
        let wait = (micros(retry_after_s) as u32).to_le_bytes();
        self.reply
            .act(20, self.instance, &[&self.ids.client_id(work_item), &wait]);
    }
    fn write_off(&mut self, work_item: WorkItem) {
        self.reply
            .act(30, self.instance, &[&self.ids.client_id(work_item)]);
    }
    fn cancel(&mut self, work_item: WorkItem, attempt: u16) {
        self.reply.act(
            40,
            self.instance,
            &[&self.ids.client_id(work_item), &attempt.to_le_bytes()],
        );
    }
    fn probe(&mut self, runner: usize) {
        self.reply
            .act(60, self.instance, &[&self.ids.addresses[runner]]);
    }
    fn release_handle(&mut self, work_item: WorkItem) {
        self.ids
            .handles
            .remove(&self.ids.client_ids[work_item.0 as usize]);
    }
    fn wake_in(&mut self, in_s: f64) {
        // An hour at most: the wire's timers end a little later.
        let wait = (micros(in_s.min(3600.0)) as u32).to_le_bytes();
        self.reply.act(50, self.instance, &[&wait]);
    }
    fn request_list(&mut self) {
        self.reply.act(110, self.instance, &[&[1]]);
    }
    fn log(&mut self, runner: usize, line: &str) {
        let [a, b, c, d, low, high] = self.ids.addresses[runner];
        let line = format!("{a}.{b}.{c}.{d}:{} {line}", u16::from_le_bytes([low, high]));
        let place = self.reply.text(line.as_bytes());
        self.reply.act(90, self.instance, &[&place]);
    }
}

#[derive(Default)]
pub(crate) struct Process {
    instances: Vec<Option<Instance>>,
    touched: Vec<u16>,
    rosters: Vec<Vec<(Address, Option<ListedRunner>)>>,
    entries: Vec<(usize, Option<ListedRunner>)>,
}

impl Process {
    /// Carries one batch to the instances and writes what they answer.
    pub(crate) fn play(&mut self, batch: &Batch, reply: &mut Reply) -> Result<(), String> {
        let now = batch.clock_us as f64 / 1e6;
        for (place, record) in batch.records().enumerate() {
            self.event(batch, record, now, reply)
                .map_err(|e| format!("record {place}: {e}"))?;
        }
        for instance in std::mem::take(&mut self.touched) {
            let Some(inst) = self.instances[instance as usize]
                .as_mut()
                .filter(|i| i.touched)
            else {
                continue;
            };
            inst.touched = false;
            inst.dispatcher.decide(&mut Wire {
                ids: &mut inst.ids,
                reply,
                instance,
                now,
            });
        }
        Ok(())
    }

    fn event(
        &mut self,
        batch: &Batch,
        record: Fields,
        now: f64,
        reply: &mut Reply,
    ) -> Result<(), String> {
        let (code, instance) = (record.u8(0), record.u16(1));
        match code {
            10 => {
                let terms = parse_policy_config(&stated(batch.tail(record, 11, 1)?)?)?;
                let dispatcher = Dispatcher::new(terms, record.u64(3), now);
                if self.instances.len() <= instance as usize {
                    self.instances.resize_with(instance as usize + 1, || None);
                }
                let fresh = Instance {
                    dispatcher,
                    ids: Ids::default(),
                    touched: false,
                };
                self.instances[instance as usize] = Some(fresh);
            }
            110 => {
                let members = batch.tail(record, 3, ENTRY)?;
                if instance > 15 {
                    return Err(format!("roster number {instance} is past 15"));
                }
                if self.rosters.len() <= instance as usize {
                    self.rosters.resize(instance as usize + 1, Vec::new());
                }
                self.rosters[instance as usize] = members
                    .chunks_exact(ENTRY)
                    .map(|e| entry(Fields(e)))
                    .collect();
                return Ok(());
            }
            20 | 30 | 40 | 50 | 60 | 70 | 80 | 90 | 100 | 120 => {}
            other => return Err(format!("unknown event code {other}")),
        }
        let slot = self
            .instances
            .get_mut(instance as usize)
            .filter(|slot| slot.is_some());
        let slot =
            slot.ok_or_else(|| format!("code {code} for instance {instance}, which is not up"))?;
        if code == 100 {
            *slot = None;
            return Ok(());
        }
        let Some(Instance {
            dispatcher,
            ids,
            touched,
        }) = slot
        else {
            return Ok(());
        };
        if !*touched {
            *touched = true;
            self.touched.push(instance);
        }
        let known = ids.handles.get(&record.u32(3)).copied();
        match code {
            20 => {
                let news = match record.u8(3) {
                    4 => ListUpdate::Changes,
                    1 => ListUpdate::Full,
                    0 => ListUpdate::Cached,
                    2 => {
                        dispatcher.discovery_failed(now);
                        return Ok(());
                    }
                    other => return Err(format!("unknown kind of list {other}")),
                };
                let roster = self.rosters.get(record.u16(8) as usize);
                let roster =
                    roster.ok_or_else(|| format!("roster {} was never sent", record.u16(8)))?;
                self.entries.clear();
                self.entries.extend(
                    roster
                        .iter()
                        .map(|(address, listed)| (ids.runner(*address), *listed)),
                );
                dispatcher.update_list(now, news, &self.entries);
            }
            30 => {
                let category = record.u8(7) as usize;
                let flags = record.u8(40);
                let job = Job {
                    category,
                    key: if record.u64(12) == 0 {
                        0
                    } else {
                        short(record.u64(12))
                    },
                    expires_at_s: record.u64(20) as f64 / 1e6,
                    hint_s: if flags & 1 != 0 {
                        record.u32(28) as f64 / 1e6
                    } else {
                        0.0
                    },
                    slots: record.f32(32) as f64,
                    memory: record.f32(36) as f64,
                };
                let work_item = dispatcher
                    .submit(now, job)
                    .ok_or_else(|| format!("category {category} is not known"))?;
                if ids.client_ids.len() <= work_item.0 as usize {
                    ids.client_ids.resize(work_item.0 as usize + 1, 0);
                }
                ids.client_ids[work_item.0 as usize] = record.u32(3);
                ids.handles.insert(record.u32(3), work_item);
            }
            40 => {
                if let Some(work_item) = known {
                    work_item.started(dispatcher, now, record.u16(7));
                }
            }
            50 => {
                let outcome = outcome(record.u16(15))?;
                if let Some(work_item) = known {
                    let mut wire = Wire {
                        ids,
                        reply,
                        instance,
                        now,
                    };
                    work_item.attempt_ended(
                        dispatcher,
                        &mut wire,
                        record.u16(7),
                        outcome,
                        record.u8(21) != 0,
                    );
                }
            }
            60 => {
                if let Some(work_item) = known {
                    work_item.client_left(
                        dispatcher,
                        &mut Wire {
                            ids,
                            reply,
                            instance,
                            now,
                        },
                    );
                }
            }
            80 => {
                if let Some(&runner) = ids.runners.get(&record.address(9)) {
                    let report: [f32; 4] = std::array::from_fn(|n| record.f32(16 + 4 * n));
                    let told = (record.u8(15) as usize).min(4);
                    dispatcher.probe_ended(now, runner, outcome(record.u16(3))?, &report[..told]);
                }
            }
            120 => match (known, record.u8(15)) {
                (Some(work_item), 1) => work_item.started(dispatcher, now, record.u16(7)),
                (Some(work_item), 2) => {
                    work_item.progressed(dispatcher, now, record.u16(7), record.f32(16) as f64)
                }
                _ => {}
            },
            _ => {}
        }
        Ok(())
    }
}

/// The `Info` of an instance's start: a path=value pair a line.
fn stated(info: &[u8]) -> Result<FlatSettings, String> {
    let info = std::str::from_utf8(info).map_err(|_| "settings are not UTF-8".to_string())?;
    let mut stated = FlatSettings::default();
    for line in info.lines().filter(|line| !line.trim().is_empty()) {
        let (path, value) = line
            .split_once('=')
            .ok_or_else(|| format!("setting line '{line}' has no '='"))?;
        stated.insert(path, value);
    }
    Ok(stated)
}

fn entry(entry: Fields) -> (Address, Option<ListedRunner>) {
    let born = match entry.u64(1) {
        0 => f64::NEG_INFINITY,
        born => born as f64 / 1e6,
    };
    let address = entry.address(9);
    let listed = ListedRunner {
        id: number(address),
        kind: entry.u8(0),
        started_at_s: born,
        cell: entry.u16(15),
        zone: entry.u16(17),
        ready: entry.u8(19) == 1,
    };
    (address, (entry.u8(19) != 0).then_some(listed))
}

fn outcome(code: u16) -> Result<Outcome, String> {
    Ok(match code {
        0 => Outcome::Error,
        1 => Outcome::Finished,
        2 => Outcome::Full,
        3 => Outcome::Timeout,
        4 => Outcome::NoConnection,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent,
        other => return Err(format!("unknown outcome {other}")),
    })
}
