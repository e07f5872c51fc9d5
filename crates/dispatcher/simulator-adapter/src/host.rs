//! The dispatcher instances of one process. Event records become calls on their policies, and the policies' decisions
//! become action records.

use crate::frame::{Batch, Fields, Reply, ENTRY_LEN};
use sagetrail_policy::{
    parse_policy_config, Dispatcher, FlatSettings, Host, Job, ListUpdate, ListedRunner, Outcome,
    WorkItem,
};
use std::collections::HashMap;

/// IPv4 address and port of a runner, as the protocol encodes them.
type Address = [u8; 6];

/// Maps the protocol's ids and addresses to the policy's handles and indices, and back.
#[derive(Default)]
struct Ids {
    /// Handles of the open work items, by the protocol's id.
    work_items: HashMap<u32, WorkItem>,
    /// The protocol's ids of the work items, by their handle.
    work_item_ids: Vec<u32>,
    /// Indices of the runners, by their address.
    runner_indices: HashMap<Address, usize>,
    /// Addresses of the runners, by their index.
    addresses: Vec<Address>,
}

impl Ids {
    /// The index of the runner at this address. A new address gets the next index.
    fn runner_index(&mut self, address: Address) -> usize {
        let next = self.addresses.len();
        let index = *self.runner_indices.entry(address).or_insert(next);
        if index == next {
            self.addresses.push(address);
        }
        index
    }

    /// The protocol's id of a work item, encoded.
    fn work_item_id(&self, work_item: WorkItem) -> [u8; 4] {
        self.work_item_ids[work_item.0 as usize].to_le_bytes()
    }
}

/// One dispatcher instance.
struct Instance {
    dispatcher: Dispatcher,
    ids: Ids,
    /// Whether the present batch has an event for the instance, so that its policy is to decide.
    has_events: bool,
}

/// Host of one instance's policy. It writes the policy's decisions into the reply.
struct InstanceHost<'a> {
    ids: &'a mut Ids,
    reply: &'a mut Reply,
    /// Number of the instance.
    instance: u16,
    /// Time of the batch in seconds.
    now_s: f64,
}

/// Shortens the hash of a key. The result is never 0, because 0 stands for no key.
fn short_key_hash(hash: u64) -> u32 {
    ((hash.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) as u32).max(1)
}

/// The id of the runner at an address, the same at every dispatcher.
fn runner_id(address: Address) -> u64 {
    address.iter().fold(0, |id, byte| id << 8 | *byte as u64)
}

/// Microseconds, rounded; 0 for a negative time.
fn to_micros(seconds: f64) -> u64 {
    (seconds * 1e6).round().max(0.0) as u64
}

impl Host for InstanceHost<'_> {
    fn now(&self) -> f64 {
        self.now_s
    }
    fn send_attempt(&mut self, work_item: WorkItem, runner: usize, drop_at: f64, _: f64) {
        let drop_at_us = to_micros(drop_at).to_le_bytes();
        let fields: [&[u8]; 3] = [
            &self.ids.work_item_id(work_item),
            &self.ids.addresses[runner],
            &drop_at_us,
        ];
        self.reply.push_action(10, self.instance, &fields);
    }
    fn defer(&mut self, work_item: WorkItem, retry_after_s: f64) {
        let wait_us = (to_micros(retry_after_s) as u32).to_le_bytes();
        self.reply.push_action(
            20,
            self.instance,
            &[&self.ids.work_item_id(work_item), &wait_us],
        );
    }
    fn write_off(&mut self, work_item: WorkItem) {
        self.reply
            .push_action(30, self.instance, &[&self.ids.work_item_id(work_item)]);
    }
    fn cancel(&mut self, work_item: WorkItem, attempt: u16) {
        self.reply.push_action(
            40,
            self.instance,
            &[&self.ids.work_item_id(work_item), &attempt.to_le_bytes()],
        );
    }
    fn probe(&mut self, runner: usize) {
        self.reply
            .push_action(60, self.instance, &[&self.ids.addresses[runner]]);
    }
    fn release_handle(&mut self, work_item: WorkItem) {
        self.ids
            .work_items
            .remove(&self.ids.work_item_ids[work_item.0 as usize]);
    }
    fn wake_in(&mut self, in_s: f64) {
        // An hour at most, because the protocol's timers end a little later.
        let wait_us = (to_micros(in_s.min(3600.0)) as u32).to_le_bytes();
        self.reply.push_action(50, self.instance, &[&wait_us]);
    }
    fn request_list(&mut self) {
        self.reply.push_action(110, self.instance, &[&[1]]);
    }
    fn log(&mut self, runner: usize, line: &str) {
        let [a, b, c, d, low, high] = self.ids.addresses[runner];
        let line = format!("{a}.{b}.{c}.{d}:{} {line}", u16::from_le_bytes([low, high]));
        let text_reference = self.reply.push_text(line.as_bytes());
        self.reply
            .push_action(90, self.instance, &[&text_reference]);
    }
}

/// All dispatcher instances that the simulator runs in this process.
#[derive(Default)]
pub(crate) struct Process {
    /// Instances by their number; `None` for one that is not running.
    instances: Vec<Option<Instance>>,
    /// Numbers of the instances with events in the present batch, in the order of their first event.
    instances_with_events: Vec<u16>,
    /// Endpoint lists by their number, which events refer to. An entry without a value is a runner that is gone.
    rosters: Vec<Vec<(Address, Option<ListedRunner>)>>,
    /// Buffer for the entries of one list, with the indices of the runners.
    entries: Vec<(usize, Option<ListedRunner>)>,
}

impl Process {
    /// Handles the events of a batch, then has each instance with events decide, and adds the actions to the reply.
    ///
    /// # Errors
    ///
    /// Says which record is invalid, and why.
    pub(crate) fn handle_batch(&mut self, batch: &Batch, reply: &mut Reply) -> Result<(), String> {
        let now_s = batch.clock_us as f64 / 1e6;
        for (index, record) in batch.records().enumerate() {
            self.handle_event(batch, record, now_s, reply)
                .map_err(|error| format!("record {index}: {error}"))?;
        }
        for number in std::mem::take(&mut self.instances_with_events) {
            let Some(instance) = self.instances[number as usize]
                .as_mut()
                .filter(|instance| instance.has_events)
            else {
                continue;
            };
            instance.has_events = false;
            instance.dispatcher.decide(&mut InstanceHost {
                ids: &mut instance.ids,
                reply,
                instance: number,
                now_s,
            });
        }
        Ok(())
    }

    fn handle_event(
        &mut self,
        batch: &Batch,
        record: Fields,
        now_s: f64,
        reply: &mut Reply,
    ) -> Result<(), String> {
        let (code, instance) = (record.u8(0), record.u16(1));
        match code {
            // An instance starts.
            10 => {
                let terms = parse_policy_config(&parse_settings(batch.tail(record, 11, 1)?)?)?;
                let dispatcher = Dispatcher::new(terms, record.u64(3), now_s);
                if self.instances.len() <= instance as usize {
                    self.instances.resize_with(instance as usize + 1, || None);
                }
                let new_instance = Instance {
                    dispatcher,
                    ids: Ids::default(),
                    has_events: false,
                };
                self.instances[instance as usize] = Some(new_instance);
            }
            // A roster, which later events refer to by its number.
            110 => {
                let entries = batch.tail(record, 3, ENTRY_LEN)?;
                if instance > 15 {
                    return Err(format!(
                        "expected a roster number from 0 to 15, got {instance}"
                    ));
                }
                if self.rosters.len() <= instance as usize {
                    self.rosters.resize(instance as usize + 1, Vec::new());
                }
                self.rosters[instance as usize] = entries
                    .chunks_exact(ENTRY_LEN)
                    .map(|entry| parse_entry(Fields(entry)))
                    .collect();
                return Ok(());
            }
            // The other events are for a running instance.
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
            // The instance is killed.
            *slot = None;
            return Ok(());
        }
        let Some(Instance {
            dispatcher,
            ids,
            has_events,
        }) = slot
        else {
            return Ok(());
        };
        if !*has_events {
            *has_events = true;
            self.instances_with_events.push(instance);
        }
        let work_item = ids.work_items.get(&record.u32(3)).copied();
        match code {
            // An endpoint list, or the news that discovery failed.
            20 => {
                let kind = match record.u8(3) {
                    4 => ListUpdate::Changes,
                    1 => ListUpdate::Full,
                    0 => ListUpdate::Cached,
                    2 => {
                        dispatcher.discovery_failed(now_s);
                        return Ok(());
                    }
                    other => return Err(format!("expected list kind 0, 1, 2 or 4, got {other}")),
                };
                let roster = self.rosters.get(record.u16(8) as usize);
                let roster =
                    roster.ok_or_else(|| format!("roster {} was never sent", record.u16(8)))?;
                self.entries.clear();
                self.entries.extend(
                    roster
                        .iter()
                        .map(|(address, listed)| (ids.runner_index(*address), *listed)),
                );
                dispatcher.update_list(now_s, kind, &self.entries);
            }
            // A work item arrives.
            30 => {
                let category = record.u8(7) as usize;
                let flags = record.u8(40);
                let job = Job {
                    category,
                    key: if record.u64(12) == 0 {
                        0
                    } else {
                        short_key_hash(record.u64(12))
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
                    .submit(now_s, job)
                    .ok_or_else(|| format!("category {category} is not in the settings"))?;
                if ids.work_item_ids.len() <= work_item.0 as usize {
                    ids.work_item_ids.resize(work_item.0 as usize + 1, 0);
                }
                ids.work_item_ids[work_item.0 as usize] = record.u32(3);
                ids.work_items.insert(record.u32(3), work_item);
            }
            // An attempt has started.
            40 => {
                if let Some(work_item) = work_item {
                    work_item.started(dispatcher, now_s, record.u16(7));
                }
            }
            // An attempt has ended.
            50 => {
                let outcome = parse_outcome(record.u16(15))?;
                if let Some(work_item) = work_item {
                    let mut host = InstanceHost {
                        ids,
                        reply,
                        instance,
                        now_s,
                    };
                    work_item.attempt_ended(
                        dispatcher,
                        &mut host,
                        record.u16(7),
                        outcome,
                        record.u8(21) != 0,
                    );
                }
            }
            // The client of a work item has left.
            60 => {
                if let Some(work_item) = work_item {
                    work_item.client_left(
                        dispatcher,
                        &mut InstanceHost {
                            ids,
                            reply,
                            instance,
                            now_s,
                        },
                    );
                }
            }
            // A probe has ended.
            80 => {
                if let Some(&runner) = ids.runner_indices.get(&record.address(9)) {
                    let report: [f32; 4] = std::array::from_fn(|n| record.f32(16 + 4 * n));
                    let value_count = (record.u8(15) as usize).min(4);
                    dispatcher.probe_ended(
                        now_s,
                        runner,
                        parse_outcome(record.u16(3))?,
                        &report[..value_count],
                    );
                }
            }
            // A runner reports the start or the progress of an attempt.
            120 => match (work_item, record.u8(15)) {
                (Some(work_item), 1) => work_item.started(dispatcher, now_s, record.u16(7)),
                (Some(work_item), 2) => {
                    work_item.progressed(dispatcher, now_s, record.u16(7), record.f32(16) as f64)
                }
                _ => {}
            },
            // The remaining events have no data for the policy. They only have the instance decide.
            _ => {}
        }
        Ok(())
    }
}

/// Parses the settings in the start event of an instance: one path=value pair on each line.
fn parse_settings(text: &[u8]) -> Result<FlatSettings, String> {
    let text = std::str::from_utf8(text)
        .map_err(|error| format!("expected settings in UTF-8: {error}"))?;
    let mut settings = FlatSettings::default();
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        let (path, value) = line
            .split_once('=')
            .ok_or_else(|| format!("expected path=value, got setting line '{line}'"))?;
        settings.insert(path, value);
    }
    Ok(settings)
}

/// Parses a roster entry. It has no value if the runner is gone.
fn parse_entry(entry: Fields) -> (Address, Option<ListedRunner>) {
    let started_s = match entry.u64(1) {
        0 => f64::NEG_INFINITY,
        started_us => started_us as f64 / 1e6,
    };
    let address = entry.address(9);
    let listed = ListedRunner {
        id: runner_id(address),
        kind: entry.u8(0),
        started_at_s: started_s,
        cell: entry.u16(15),
        zone: entry.u16(17),
        ready: entry.u8(19) == 1,
    };
    (address, (entry.u8(19) != 0).then_some(listed))
}

fn parse_outcome(code: u16) -> Result<Outcome, String> {
    Ok(match code {
        0 => Outcome::Error,
        1 => Outcome::Finished,
        2 => Outcome::Full,
        3 => Outcome::Timeout,
        4 => Outcome::NoConnection,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent,
        other => return Err(format!("expected an outcome from 0 to 7, got {other}")),
    })
}
