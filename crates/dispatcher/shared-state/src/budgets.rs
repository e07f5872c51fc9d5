//! Limits split into leased parts. A limit's whole is owned in fixed rights by a few members, highest in a hash of
//! member and budget; who has work borrows from them, for a length of time. Stated and tested: *the sum of what all
//! may spend never passes the limit, at any instant, under any split, pause or restart*.
//!
//! Sources: Gray and Cheriton, *Leases* (SOSP 1989): lengths, not instants, cross the wire; O'Neil, *The Escrow
//! Transactional Method* (TODS 1986) and Balegas et al., *Bounded Counters* (SRDS 2015): the invariant is on what
//! may be spent, and each right has one owner.
//!
//! The reasons that it holds:
//! - An asker counts a lease from before it asked; the lender from when it granted, and longer, by drift and by
//!   how long a spend lasts. What was lent in a grant that got lost is nobody's until then.
//! - With each question the asker binds itself to at most `uses` of that lender's units until an answer to this
//!   very question comes. So the lender owes at most the largest of what it granted and was not released from.
//! - A process that starts anew under a name cannot know what the one before it spent or lent: it spends nothing
//!   until the former's spends have ended, and all but a reserve, which is never lent, only when its loans have.
//!   What was lent to the former process is owed apart from what the new one asks for.
//! - Who is alive plays no part: rights hang on the roster, so that nothing grows because others are 'gone'.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;

/// Clocks run this much faster or slower than each other at the most: 1 %, a hundred times a bad quartz.
const DRIFT: f64 = 0.01;
/// And a clock's reading may be this old when it is used, seconds.
const GRAIN_S: f64 = 0.02;
/// One eighth of each right, in whole units, is never lent: what a process has that starts anew, once its
/// former's spends have ended.
const RESERVE: u64 = 8;
/// An answer that takes longer is taken for lost.
const ANSWER_S: f64 = 1.0;
/// What is short is asked for again after this.
const AGAIN_S: f64 = 0.2;
/// Who has asked within this time is one of those to share among.
const ASKING_S: f64 = 1.5;
/// Budgets kept at once: thousands of cold runners.
const MOST_KEYS: usize = 8192;
/// Loans owed to one name at once, by former processes of it: more are not granted.
const MOST_BIRTHS: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum BudgetKind {
    /// What a runner that has just started may be sent, in millionths of its whole.
    SlowStart,
    /// Hand-offs of work that was handed off before, each second.
    Resubmissions,
    /// Work items of a category that are out at runners.
    Category,
}

impl BudgetKind {
    /// The spelling on the operators' page of budgets.
    pub fn as_str(self) -> &'static str {
        match self {
            BudgetKind::SlowStart => "cold",
            BudgetKind::Resubmissions => "resends",
            BudgetKind::Category => "category",
        }
    }
}

/// One budget: of which runner or category, by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BudgetKey {
    pub kind: BudgetKind,
    pub subject: u64,
}

/// How a kind of budget is lent; seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LendingTerms {
    pub lease_s: f64,
    /// How long a spend counts at the most: the span of a rate, the longest run of a work item.
    pub spend_s: f64,
    /// By how many members the whole is owned: few, where a part must hold a whole work item.
    pub owner_count: usize,
}

/// "Of your units I use at most `uses` until you answer this; I could use `want`."
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    pub key: BudgetKey,
    pub sequence: u32,
    pub max_in_use: u64,
    pub wanted: u64,
}

/// "Use `amount` of them for `lease_ms` from when you asked `no`; the limit that I know is `limit`."
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The process that asked: one that starts anew under its name numbers its questions alike.
    pub process: u64,
    pub key: BudgetKey,
    pub sequence: u32,
    pub amount: u64,
    pub lease_ms: u32,
    pub limit: u64,
}

/// What is lent to one process of another member.
struct Owed {
    process: u64,
    sequence: u32,
    /// Amount, and until when it may be in use.
    steps: Vec<(u64, f64)>,
    wanted: f64,
}

impl Owed {
    fn amount(&self, now: f64) -> u64 {
        self.steps
            .iter()
            .filter(|(_, until)| now < *until)
            .map(|(amount, _)| *amount)
            .max()
            .unwrap_or(0)
    }
}

/// What is borrowed of one member.
struct Loan {
    amount: u64,
    /// Nothing may be spent of it from then on.
    end: f64,
    /// What spends may still rest on of it, and until when: they outlast the lease.
    rests: Vec<(u64, f64)>,
    sequence: u32,
    /// When the question now out was asked.
    asked: Option<f64>,
    last: f64,
}

impl Loan {
    fn none() -> Loan {
        let long_ago = f64::NEG_INFINITY;
        Loan {
            amount: 0,
            end: long_ago,
            rests: Vec::new(),
            sequence: 0,
            asked: None,
            last: long_ago,
        }
    }

    fn rest(&self, now: f64) -> u64 {
        self.rests
            .iter()
            .filter(|(_, until)| now < *until)
            .map(|(amount, _)| *amount)
            .max()
            .unwrap_or(0)
    }
}

struct Budget {
    limit: u64,
    /// Who owns a right, in rank order.
    owners: Vec<usize>,
    in_use: u64,
    want: u64,
    owed: BTreeMap<usize, Vec<Owed>>,
    loans: BTreeMap<usize, Loan>,
    touched: f64,
}

/// How one budget stands here, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetStatus {
    pub key: BudgetKey,
    pub limit: u64,
    pub right: u64,
    pub lent: u64,
    pub borrowed: u64,
    pub in_use: u64,
    pub usable: u64,
}

pub struct Budgets {
    /// Whether anything is lent from here: not by a member that does not know all that was agreed.
    pub lends: bool,
    own_index: usize,
    numbers: Vec<u64>,
    lending: BTreeMap<BudgetKind, LendingTerms>,
    budgets: BTreeMap<BudgetKey, Budget>,
    start: f64,
    process: u64,
    sequence: u32,
}

/// A rank of a member at a budget, the same wherever it is drawn.
fn rank(member: u64, key: BudgetKey) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(member);
    hasher.write_u64(key.subject);
    hasher.write_u8(key.kind as u8);
    hasher.finish()
}

impl Budget {
    fn right(&self, own_index: usize) -> u64 {
        let owners = self.owners.len().max(1) as u64;
        match self.owners.iter().position(|owner| *owner == own_index) {
            Some(place) => self.limit / owners + u64::from((place as u64) < self.limit % owners),
            None => 0,
        }
    }

    fn lent(&self, now: f64) -> u64 {
        self.owed
            .values()
            .flatten()
            .map(|owed| owed.amount(now))
            .sum()
    }

    fn borrowed(&self, now: f64) -> u64 {
        self.loans
            .values()
            .filter(|loan| now < loan.end)
            .map(|loan| loan.amount)
            .sum()
    }
}

impl Budgets {
    /// `numbers`: the whole roster's, the same at all; `own_index`: this member's place in it; `process`: this process's.
    pub fn new(
        numbers: Vec<u64>,
        own_index: usize,
        process: u64,
        lending: BTreeMap<BudgetKind, LendingTerms>,
        now: f64,
    ) -> Budgets {
        Budgets {
            lends: true,
            own_index,
            numbers,
            lending,
            budgets: BTreeMap::new(),
            start: now,
            process,
            sequence: 0,
        }
    }

    /// When this process began, if that was not at the making.
    pub fn set_started_at(&mut self, at: f64) {
        self.start = at;
    }

    fn of(&self, kind: BudgetKind) -> Option<LendingTerms> {
        self.lending.get(&kind).copied()
    }

    /// Names a budget's limit in whole units. One that was lowered binds here at once; at those that have not
    /// heard of it, when they do, and what they lent, when its leases end.
    pub fn set_limit(&mut self, now: f64, key: BudgetKey, limit: u64) -> bool {
        let Some(lending) = self.of(key.kind) else {
            return false;
        };
        if let Some(budget) = self.budgets.get_mut(&key) {
            (budget.limit, budget.touched) = (limit, now);
            return true;
        }
        if self.budgets.len() >= MOST_KEYS {
            return false;
        }
        let mut owners: Vec<usize> = (0..self.numbers.len()).collect();
        owners.sort_unstable_by_key(|n| (std::cmp::Reverse(rank(self.numbers[*n], key)), *n));
        owners.truncate(lending.owner_count.max(1));
        let loans = owners
            .iter()
            .filter(|n| **n != self.own_index)
            .map(|n| (*n, Loan::none()))
            .collect();
        let budget = Budget {
            limit,
            owners,
            in_use: 0,
            want: 0,
            owed: BTreeMap::new(),
            loans,
            touched: now,
        };
        self.budgets.insert(key, budget);
        true
    }

    /// Of the own right, what this process may use or lend by now, and what of that is never lent.
    fn own(&self, budget: &Budget, lending: LendingTerms, now: f64) -> (u64, u64) {
        let right = budget.right(self.own_index);
        let reserve = right / RESERVE;
        let waits = |length: f64| self.start + length * (1.0 + 2.0 * DRIFT) + GRAIN_S;
        match now {
            now if now < waits(lending.spend_s) => (0, 0),
            now if now < waits(lending.lease_s + lending.spend_s) => (reserve, reserve),
            _ => (right, reserve),
        }
    }

    /// What all that is out here may come to at this moment. Look where it is spent, not before.
    pub fn usable(&self, now: f64, key: BudgetKey) -> u64 {
        let (Some(budget), Some(lending)) = (self.budgets.get(&key), self.of(key.kind)) else {
            return 0;
        };
        let (own, _) = self.own(budget, lending, now);
        own.saturating_sub(budget.lent(now)) + budget.borrowed(now)
    }

    /// Until when what is usable now stays so: the first end of a loan in use.
    pub fn usable_until(&self, now: f64, key: BudgetKey) -> f64 {
        let loans = self
            .budgets
            .get(&key)
            .into_iter()
            .flat_map(|budget| budget.loans.values());
        loans
            .filter(|loan| loan.amount > 0 && now < loan.end)
            .map(|loan| loan.end)
            .fold(f64::INFINITY, f64::min)
    }

    /// What is out here now, and what could be used. Must be told after each spend, before another member is
    /// answered.
    pub fn record_use(&mut self, now: f64, key: BudgetKey, in_use: u64, want: u64) {
        if let Some(budget) = self.budgets.get_mut(&key) {
            (budget.in_use, budget.want, budget.touched) = (in_use, want.max(in_use), now);
        }
    }

    /// Drops what nobody has named for a while and nothing hangs on.
    pub fn remove_unused(&mut self, now: f64, after_s: f64) {
        self.budgets.retain(|_, budget| {
            now < budget.touched + after_s || budget.lent(now) > 0 || budget.borrowed(now) > 0
        });
    }

    /// Questions that are due, each with the member to request.
    pub fn request_leases(&mut self, now: f64, post: &mut Vec<(usize, LeaseRequest)>) {
        let keys: Vec<BudgetKey> = self.budgets.keys().copied().collect();
        for key in keys {
            self.ask(now, key, post);
        }
    }

    fn ask(&mut self, now: f64, key: BudgetKey, post: &mut Vec<(usize, LeaseRequest)>) {
        let Some(lending) = self.of(key.kind) else {
            return;
        };
        let Some(budget) = self.budgets.get(&key) else {
            return;
        };
        if budget.want == 0
            && budget
                .loans
                .values()
                .all(|loan| loan.amount == 0 || now >= loan.end)
        {
            return;
        }
        let (own, _) = self.own(budget, lending, now);
        let own = own.saturating_sub(budget.lent(now));
        let beyond = budget.want.saturating_sub(own);
        let borrowed = budget.borrowed(now);
        let must = budget.in_use.saturating_sub(own);
        let Some(budget) = self.budgets.get_mut(&key) else {
            return;
        };
        let mut rests: u64 = budget.loans.values().map(|loan| loan.rest(now)).sum();
        for (lender, loan) in &mut budget.loans {
            if now >= loan.end {
                loan.amount = 0;
            }
            loan.rests.retain(|(_, until)| now < *until);
            if loan.asked.is_some_and(|asked| now < asked + ANSWER_S) {
                continue;
            }
            let short = borrowed < beyond;
            let want = match short {
                true => loan.amount + (beyond - borrowed),
                false => (loan.amount * beyond).div_ceil(borrowed.max(1)),
            };
            let old = now >= loan.last + lending.lease_s / 3.0;
            // What is not needed goes back at once, what is nearly right at the renewal.
            let idle = loan.amount > 0 && want < loan.amount / 2;
            let due =
                (want > 0 || loan.amount > 0) && old || short && now >= loan.last + AGAIN_S || idle;
            if !due {
                continue;
            }
            // What is out may rest on this loan, also on a larger or ended one before: no less is promised.
            let rest = loan.rest(now);
            let others = rests - rest;
            let max_in_use = rest.min(want.max(must.saturating_sub(others)));
            rests = others + max_in_use;
            loan.rests
                .iter_mut()
                .for_each(|(amount, _)| *amount = (*amount).min(max_in_use));
            self.sequence = self.sequence.wrapping_add(1).max(1);
            (loan.sequence, loan.amount) = (self.sequence, loan.amount.min(max_in_use));
            (loan.asked, loan.last) = (Some(now), now);
            post.push((
                *lender,
                LeaseRequest {
                    key,
                    sequence: self.sequence,
                    max_in_use,
                    wanted: want,
                },
            ));
        }
    }

    /// A question of another member's process; the answer, if there is one.
    pub fn receive_request(
        &mut self,
        now: f64,
        from: usize,
        process: u64,
        request: LeaseRequest,
    ) -> Option<LeaseGrant> {
        let lending = self.of(request.key.kind)?;
        let budget = self.budgets.get(&request.key)?;
        if !self.lends || from == self.own_index || from >= self.numbers.len() {
            return None;
        }
        let (own, reserve) = self.own(budget, lending, now);
        // Guards against a process that has just started granting what the one before it lent to another.
        if own < budget.right(self.own_index) {
            return None;
        }
        let budget = self.budgets.get_mut(&request.key)?;
        let all = budget.owed.entry(from).or_default();
        all.retain(|owed| owed.process == process || owed.amount(now) > 0);
        if !all.iter().any(|owed| owed.process == process) {
            if all.len() >= MOST_BIRTHS {
                return None;
            }
            all.push(Owed {
                process,
                sequence: 0,
                steps: Vec::new(),
                wanted: f64::NEG_INFINITY,
            });
        }
        let owed = all.iter_mut().find(|owed| owed.process == process)?;
        // Guards against a question that comes twice, or after a later one: its promise is stale.
        if request.sequence <= owed.sequence {
            return None;
        }
        owed.sequence = request.sequence;
        owed.steps.retain(|(_, until)| now < *until);
        owed.steps
            .iter_mut()
            .for_each(|(amount, _)| *amount = (*amount).min(request.max_in_use));
        owed.wanted = if request.wanted > 0 {
            now
        } else {
            f64::NEG_INFINITY
        };
        let current = owed.amount(now);
        let asking = budget
            .owed
            .values()
            .flatten()
            .filter(|owed| now < owed.wanted + ASKING_S)
            .count();
        let keep = budget.in_use.max(budget.want);
        let shared = own.saturating_sub(reserve);
        // Who asks shares with the owner as one of several: each as much as the others, none below what it keeps.
        let each = shared / (asking as u64 + u64::from(keep > 0)).max(1);
        let spare = shared
            .saturating_sub(budget.lent(now) - current)
            .saturating_sub(budget.in_use);
        let most = if keep == 0 {
            spare
        } else {
            spare.min(each.max(shared.saturating_sub(keep)))
        };
        let amount = request
            .wanted
            .min(most)
            .min(if asking > 1 { each.max(1) } else { u64::MAX });
        // Twice: the asker's clock may be slow and this one fast.
        let until = now + (lending.lease_s + lending.spend_s) * (1.0 + 2.0 * DRIFT) + GRAIN_S;
        let limit = budget.limit;
        let owed = budget
            .owed
            .get_mut(&from)?
            .iter_mut()
            .find(|owed| owed.process == process)?;
        if amount > 0 {
            owed.steps.push((amount, until));
        }
        Some(LeaseGrant {
            process,
            key: request.key,
            sequence: request.sequence,
            amount,
            lease_ms: (lending.lease_s * 1e3) as u32,
            limit,
        })
    }

    /// The answer to a question; one to an earlier question than the last is passed over. False for a figure that
    /// no member can have.
    pub fn receive_grant(&mut self, from: usize, grant: LeaseGrant) -> bool {
        let Some(lending) = self.of(grant.key.kind) else {
            return false;
        };
        if grant.process != self.process {
            return true;
        }
        let Some(budget) = self.budgets.get_mut(&grant.key) else {
            return true;
        };
        let lease_s = f64::from(grant.lease_ms) / 1e3;
        if grant.amount > grant.limit || lease_s > 10.0 * lending.lease_s {
            return false;
        }
        let limit = budget.limit;
        let Some(loan) = budget.loans.get_mut(&from) else {
            return false;
        };
        let Some(asked) = loan.asked.filter(|_| loan.sequence == grant.sequence) else {
            return true;
        };
        loan.asked = None;
        // Under a lower limit here the same part is less.
        let amount = match grant.limit > limit {
            true => (grant.amount as u128 * limit as u128 / grant.limit.max(1) as u128) as u64,
            false => grant.amount,
        };
        (loan.amount, loan.end) = (amount, asked + lease_s * (1.0 - DRIFT));
        loan.rests.push((amount, loan.end + lending.spend_s));
        true
    }

    pub fn status(&self, now: f64) -> Vec<BudgetStatus> {
        let status = |(key, budget): (&BudgetKey, &Budget)| BudgetStatus {
            key: *key,
            limit: budget.limit,
            right: budget.right(self.own_index),
            lent: budget.lent(now),
            borrowed: budget.borrowed(now),
            in_use: budget.in_use,
            usable: self.usable(now, *key),
        };
        self.budgets.iter().map(status).collect()
    }

    /// Something may have to be asked soon.
    pub fn busy(&self, now: f64) -> bool {
        self.budgets
            .values()
            .any(|budget| budget.want > 0 || budget.borrowed(now) > 0)
    }
}
