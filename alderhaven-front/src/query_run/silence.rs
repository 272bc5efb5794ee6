//! Attempts at failure domains that have fallen silent.

use std::sync::Arc;

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::domain_silence;
use log::Level;

use crate::attempt::{AttemptEnd, AttemptReport};
use crate::front_event::{FrontEvent, LostAttempt};
use crate::front_metrics::AttemptFate;
use crate::left_fate::LeftFate;
use crate::query_run::QueryRun;
use crate::target_handle::TargetHandle;

/// How often attempts at silent failure domains are looked at.
const SILENCE_LOOK: TimeSpan = TimeSpan::from_millis(100);

/// A `LeftAttempt` is an attempt that is given up with its failure domain.
struct LeftAttempt {
    shard: usize,
    target: Arc<TargetHandle>,
    fate: LeftFate,
}

/// Notes an answer of a target as one of its failure domain.
pub(super) fn note_answer(target: &TargetHandle, now: TimePoint) {
    if target.silence().note_heard(now) {
        FrontEvent::DomainHeard {
            domain: domain_of(target),
        }
        .emit(Level::Info);
    }
}

/// Notes what the end of an attempt says of its target's failure domain.
pub(super) fn note_end(report: &AttemptReport, now: TimePoint) {
    match report.end {
        AttemptEnd::Success(_)
        | AttemptEnd::Failure(_)
        | AttemptEnd::NotRun
        | AttemptEnd::WrongTarget => note_answer(&report.target, now),
        // A connection that can't be made, or ends, may do so on this side.
        AttemptEnd::Unreachable | AttemptEnd::Withdrawn | AttemptEnd::Lost => {}
    }
}

fn note_missed(target: &TargetHandle, sent: TimePoint, now: TimePoint) {
    if target.silence().note_missed(sent, now) {
        FrontEvent::DomainSilent {
            domain: domain_of(target),
        }
        .emit(Level::Warn);
    }
}

/// Gets what becomes of an attempt that was sent.
fn sent_fate(target: &TargetHandle, now: TimePoint) -> LeftFate {
    if target.silence().is_lost(now) {
        LeftFate::CutOff
    } else {
        LeftFate::MayRun
    }
}

fn domain_of(target: &TargetHandle) -> String {
    let domain = target.entry().domain.clone();
    domain.map(String::from).unwrap_or_default()
}

impl QueryRun<'_> {
    /// Tells the failure domains of attempts that were out for long that they say nothing.
    pub(super) fn note_silence(&mut self, now: TimePoint) {
        let wait = domain_silence::wait_for_source(self.usual);
        for open in &mut self.open {
            if !open.is_missed && now >= open.sent + wait {
                open.is_missed = true;
                note_missed(&open.target, open.sent, now);
            }
        }
    }

    /// Tells the failure domain of an ask that its front says nothing.
    pub(super) fn miss_ask(&mut self, place: usize, now: TimePoint) {
        let ask = &mut self.asks[place];
        ask.is_missed = true;
        if let Some((_, target)) = ask.shards.iter().flatten().next() {
            note_missed(target, ask.sent, now);
        }
    }

    /// Gets when the attempts that are out are to be looked at for the silence of their failure domains.
    pub(super) fn next_silence(&self, now: TimePoint) -> Option<TimePoint> {
        let wait = domain_silence::wait_for_source(self.usual);
        let looks = self.open.iter().map(|open| {
            if open.is_missed {
                now + SILENCE_LOOK
            } else {
                open.sent + wait
            }
        });
        looks.min()
    }

    /// Gives up the attempts at silent failure domains, and asks replicas elsewhere.
    pub(super) fn leave_silent(&mut self, now: TimePoint) {
        if !self.route.rule.is_idempotent {
            return;
        }
        let mut silent = self.take_silent_attempts(now);
        silent.extend(self.take_silent_asks(now));
        for left in silent {
            self.shards[left.shard].leave(Arc::clone(&left.target), left.fate);
            self.note_lost(LostAttempt {
                target: left.target.entry().id.clone(),
                fate: AttemptFate::Silent,
                status: None,
                age: domain_silence::wait_for_source(self.usual),
            });
            let run = &self.shards[left.shard];
            if run.part.is_none() && run.open == 0 {
                self.retry(left.shard, now);
            }
        }
    }

    /// Returns true where an attempt at a silent failure domain may be given up: another replica may be
    /// asked, or the domain is lost.
    fn may_leave(&self, shard: usize, target: &TargetHandle, now: TimePoint) -> bool {
        let silence = *target.silence();
        let has_more = self.shards[shard].counted() < self.route.rule.max_targets;
        silence.is_silent(now) && (has_more || silence.is_lost(now))
    }

    /// Takes out the attempts of its own that were out for long at silent failure domains.
    fn take_silent_attempts(&mut self, now: TimePoint) -> Vec<LeftAttempt> {
        let mut left = Vec::new();
        let open = std::mem::take(&mut self.open);
        for open in open {
            let is_wanted = self.shards[open.shard].part.is_none();
            if !open.is_missed || !is_wanted || !self.may_leave(open.shard, &open.target, now) {
                self.open.push(open);
                continue;
            }
            let fate = if open.phase.call_off() {
                LeftFate::Unsent
            } else {
                sent_fate(&open.target, now)
            };
            left.push(LeftAttempt {
                shard: open.shard,
                target: open.target,
                fate,
            });
        }
        left
    }

    /// Takes out whole asks at silent failure domains: a block that came yet would hold records of
    /// shards that were asked again.
    fn take_silent_asks(&mut self, now: TimePoint) -> Vec<LeftAttempt> {
        let mut left = Vec::new();
        for place in 0..self.asks.len() {
            let ask = &self.asks[place];
            let mut targets = ask.shards.iter().flatten();
            let may_leave = targets.all(|(shard, target)| self.may_leave(*shard, target, now));
            if !ask.is_missed || !may_leave {
                continue;
            }
            let taken = self.asks[place].shards.iter_mut();
            left.extend(taken.filter_map(Option::take).map(|(shard, target)| {
                let fate = sent_fate(&target, now);
                LeftAttempt {
                    shard,
                    target,
                    fate,
                }
            }));
        }
        left
    }
}
