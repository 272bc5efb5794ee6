//! Attempts at failure domains that have fallen silent.

use std::sync::Arc;

use alderhaven_core::time::TimePoint;
use alderhaven_policy::domain_silence;
use log::Level;

use crate::attempt::{AttemptEnd, AttemptReport};
use crate::front_event::{FrontEvent, LostAttempt};
use crate::front_metrics::AttemptFate;
use crate::group_plan::ChosenShard;
use crate::query_run::{OpenAttempt, QueryRun};
use crate::target_handle::TargetHandle;

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

    /// Gets when an attempt has been out for long enough to say that its failure domain is silent.
    pub(super) fn next_silence(&self) -> Option<TimePoint> {
        let wait = domain_silence::wait_for_source(self.usual);
        let waiting = self.open.iter().filter(|open| !open.is_missed);
        waiting.map(|open| open.sent + wait).min()
    }

    /// Gives up the attempts at silent failure domains, and asks replicas elsewhere.
    pub(super) fn leave_silent(&mut self, now: TimePoint) {
        if !self.route.rule.is_idempotent {
            return;
        }
        let mut silent = self.take_silent_attempts(now);
        silent.extend(self.take_silent_asks(now));
        for (shard, target) in silent {
            self.shards[shard].leave(Arc::clone(&target));
            self.note_lost(LostAttempt {
                target: target.entry().id.clone(),
                fate: AttemptFate::Silent,
                status: None,
                age: domain_silence::wait_for_source(self.usual),
            });
            let run = &self.shards[shard];
            if run.part.is_none() && run.open == 0 {
                self.retry(shard, now);
            }
        }
    }

    /// Takes out the attempts of its own that were out for long at silent failure domains.
    fn take_silent_attempts(&mut self, now: TimePoint) -> Vec<ChosenShard> {
        let shards = &self.shards;
        let is_left = |open: &mut OpenAttempt| {
            let is_wanted = shards[open.shard].part.is_none();
            open.is_missed && is_wanted && open.target.silence().is_silent(now)
        };
        let left: Vec<OpenAttempt> = self.open.extract_if(.., is_left).collect();
        for open in &left {
            if open.phase.call_off() {
                self.shards[open.shard].ran -= 1;
            }
        }
        left.into_iter()
            .map(|open| (open.shard, open.target))
            .collect()
    }

    /// Takes out whole asks at silent failure domains: a block that came yet would hold records of
    /// shards that were asked again.
    fn take_silent_asks(&mut self, now: TimePoint) -> Vec<ChosenShard> {
        let mut left = Vec::new();
        for ask in self.asks.iter_mut().filter(|ask| ask.is_missed) {
            let mut targets = ask.shards.iter().flatten();
            if targets.any(|(_, target)| target.silence().is_silent(now)) {
                left.extend(ask.shards.iter_mut().filter_map(Option::take));
            }
        }
        left
    }
}
