//! Shards that are asked through a front of another failure domain.

use std::sync::Arc;
use std::task::Poll;

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_peer::group_messages::{GroupAsk, GroupEnd, GroupOutcome, GroupReply, HeaderField};
use alderhaven_policy::replica_gauge::AttemptResult;
use bytes::Bytes;
use http::HeaderValue;

use crate::front_event::LostAttempt;
use crate::front_metrics::{AttemptFate, SendKind};
use crate::group_links::{GroupNews, GroupTicket};
use crate::group_plan::{ChosenShard, ShardGroup};
use crate::query_run::{QueryRun, silence};
use crate::route_destination::RouteDestination;
use crate::shard_part::ShardPart;
use crate::target_handle::TargetHandle;

/// How long before its hedges a query wants the replies of another front: the way between failure
/// domains, and the work at both ends.
const FLUSH_LEAD: TimeSpan = TimeSpan::from_millis(3);

/// How long after its hedges a query that has heard nothing sends no more on that connection.
const FLUSH_LATE: TimeSpan = TimeSpan::from_millis(60);

/// How long after its hedges a query gives up an ask that has heard nothing: a front that is busy or
/// paused has answered by then.
const ASK_LOST: TimeSpan = TimeSpan::from_millis(240);

/// An `AskKind` is what another front is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AskKind {
    /// The first attempts of shards, whose records it merges.
    Firsts,
    /// Hedges, whose replies it sends one by one.
    Hedges,
}

/// An ask of a query that is open at another front.
pub(super) struct GroupQuery {
    pub(super) ticket: GroupTicket,
    /// The shards with their targets; none where the attempt has ended.
    pub(super) shards: Vec<Option<(usize, Arc<TargetHandle>)>>,
    pub(super) sent: TimePoint,
    /// When its first reply is due.
    due_at: TimePoint,
    /// Whether any reply has come.
    is_heard: bool,
    /// Whether its connection was given up, because nothing was heard when it was due.
    pub(super) is_missed: bool,
}

impl GroupQuery {
    /// Returns true where nothing was heard yet.
    fn is_silent(&self) -> bool {
        !self.is_heard && !self.is_given_up()
    }

    /// Returns true where all its shards have ended or were given up.
    fn is_given_up(&self) -> bool {
        self.shards.iter().all(Option::is_none)
    }

    /// Notes at the targets that have not answered how long they have been out.
    fn note_late(&self, usual: TimeSpan, now: TimePoint) {
        for (_, target) in self.shards.iter().flatten() {
            target
                .gauge()
                .end(self.sent, usual, AttemptResult::CalledOff, now);
        }
    }
}

/// Waits for what is heard of any ask; for ever where there is none.
pub(super) async fn next_news(asks: &mut [GroupQuery]) -> (usize, GroupNews) {
    std::future::poll_fn(|context| {
        for (place, ask) in asks.iter_mut().enumerate() {
            if let Poll::Ready(Some(news)) = ask.ticket.news.poll_recv(context) {
                return Poll::Ready((place, news));
            }
        }
        Poll::Pending
    })
    .await
}

impl QueryRun<'_> {
    /// Asks a group of shards through a front of their targets' failure domain; where none is
    /// connected they come back to be asked directly.
    pub(super) fn ask(
        &mut self,
        group: ShardGroup,
        kind: AskKind,
        now: TimePoint,
    ) -> Vec<ChosenShard> {
        let hedge_at = self.hedge_time().hedge_at(now);
        let ask = self.group_ask(&group, kind, hedge_at, now);
        let Some(ticket) = self.context.links.ask(&group.domain, ask) else {
            return group.shards;
        };
        for (place, target) in &group.shards {
            self.note_sent(*place, Arc::clone(target), hedge_at, now);
            if kind == AskKind::Firsts {
                self.context.metrics.observe_send(SendKind::Relayed);
            }
        }
        self.asks.push(GroupQuery {
            ticket,
            shards: group.shards.into_iter().map(Some).collect(),
            sent: now,
            due_at: hedge_at,
            is_heard: false,
            is_missed: false,
        });
        Vec::new()
    }

    pub(super) fn group_ask(
        &self,
        group: &ShardGroup,
        kind: AskKind,
        hedge_at: TimePoint,
        now: TimePoint,
    ) -> GroupAsk {
        let RouteDestination::Shards { records, .. } = self.route.rule.destination else {
            return GroupAsk::default();
        };
        let head = &self.call.head;
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let fields = head.headers.iter().map(|(name, value)| HeaderField {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
        let targets = group
            .shards
            .iter()
            .map(|(_, target)| target.entry().id.clone());
        GroupAsk {
            number: 0,
            sent_us: 0,
            method: head.method.as_str().to_owned(),
            path: path.to_owned(),
            headers: fields.collect(),
            body: self.call.body.clone(),
            request_id: self.call.request_id.to_string(),
            targets: targets.collect(),
            records: u32::try_from(records).unwrap_or(u32::MAX),
            flush_us: hedge_at.since(now).saturating_sub(FLUSH_LEAD).as_micros(),
            remaining_us: self.attempt_ends_at().since(now).as_micros(),
            usual_us: self.usual.as_micros(),
            is_separate: kind == AskKind::Hedges,
        }
    }

    /// Gives up the links whose fronts have said nothing although their flush is overdue, and the asks
    /// that are overdue for long.
    pub(super) fn give_up_silent_asks(&mut self, now: TimePoint) {
        for place in 0..self.asks.len() {
            let ask = &self.asks[place];
            if !ask.is_silent() {
                continue;
            }
            if now >= ask.due_at + FLUSH_LATE && !ask.is_missed {
                ask.ticket.missed();
                self.miss_ask(place, now);
            }
            if now >= self.asks[place].due_at + ASK_LOST {
                self.lose_ask(place);
            }
        }
    }

    /// Gets when an ask that has heard nothing is to be looked at next.
    pub(super) fn next_look(&self, now: TimePoint) -> Option<TimePoint> {
        let silent = self.asks.iter().filter(|ask| ask.is_silent());
        let looks = silent.flat_map(|ask| [ask.due_at + FLUSH_LATE, ask.due_at + ASK_LOST]);
        looks.filter(|look| *look > now).min()
    }

    pub(super) fn take_news(&mut self, place: usize, news: GroupNews) {
        match news {
            GroupNews::Reply(reply) => self.take_group_reply(place, reply),
            GroupNews::Lost => self.lose_ask(place),
        }
    }

    /// Takes over the ends of attempts that another front made, and the records that it merged.
    pub(super) fn take_group_reply(&mut self, place: usize, reply: GroupReply) {
        let now = self.context.clock.now();
        let ask = &mut self.asks[place];
        if ask.is_given_up() {
            // The block would hold records of shards that were asked again.
            return;
        }
        ask.is_heard = true;
        let mut ended = Vec::with_capacity(reply.ends.len());
        for end in reply.ends {
            let slot = usize::try_from(end.place).unwrap_or(usize::MAX);
            if let Some(shard) = ask.shards.get_mut(slot).and_then(Option::take) {
                ended.push((shard, end));
            }
        }
        ask.note_late(self.usual, now);
        let answered = |end: &GroupEnd| end.outcome() == GroupOutcome::Answered;
        // Records of a shard that is in another block already would count twice.
        let is_doubled = ended.iter().any(|((shard, _), end)| {
            let part = &self.shards[*shard].part;
            answered(end) && matches!(part, Some(ShardPart::Merged { .. }))
        });
        let is_single = ended.iter().filter(|(_, end)| answered(end)).count() == 1;
        let block = self.blocks.len();
        if !is_doubled && !is_single {
            self.blocks.push(reply.records.clone());
        }
        for ((shard, target), end) in ended {
            self.shards[shard].open -= 1;
            let took = TimeSpan::from_micros(end.took_us);
            if !answered(&end) {
                self.lose_attempt(shard, &target, end.outcome(), took, now);
                continue;
            }
            let sent = TimePoint::START + now.since(TimePoint::START).saturating_sub(took);
            target
                .gauge()
                .end(sent, self.usual, AttemptResult::Answered, now);
            silence::note_answer(&target, now);
            self.route.state.note_time(took);
            let Ok(proof) = HeaderValue::from_maybe_shared(end.proof) else {
                continue;
            };
            let run = &mut self.shards[shard];
            if is_single {
                run.hedge_at = None;
                // One shard's records can be left out again, unlike those of a block.
                let own = ShardPart::of_records(reply.records.clone(), proof);
                run.part.get_or_insert(own);
            } else if !is_doubled {
                run.hedge_at = None;
                // The block holds the shard's records: a reply to a hedge gives way to it.
                run.part = Some(ShardPart::Merged { block, proof });
            }
        }
    }

    /// Notes an attempt through another front that brought no answer.
    pub(super) fn lose_attempt(
        &mut self,
        place: usize,
        target: &Arc<TargetHandle>,
        outcome: GroupOutcome,
        took: TimeSpan,
        now: TimePoint,
    ) {
        let sent = TimePoint::START + now.since(TimePoint::START).saturating_sub(took);
        target
            .gauge()
            .end(sent, self.usual, AttemptResult::Failed, now);
        let shard = &mut self.shards[place];
        match outcome {
            GroupOutcome::NotRun => {
                shard.note_refused();
                shard.is_refused = true;
            }
            GroupOutcome::NotSent => shard.note_unsent(),
            _ => {}
        }
        if outcome == GroupOutcome::Lost {
            self.suspect_crash(place, target);
        }
        self.note_lost(LostAttempt {
            target: target.entry().id.clone(),
            fate: match outcome {
                GroupOutcome::NotRun => AttemptFate::NotRun,
                GroupOutcome::NotSent => AttemptFate::Unreachable,
                GroupOutcome::Failed => AttemptFate::Failed,
                GroupOutcome::Lost | GroupOutcome::Answered => AttemptFate::Lost,
            },
            status: None,
            age: took,
        });
        let shard = &self.shards[place];
        if shard.part.is_none() && shard.open == 0 {
            self.retry(place, now);
        }
    }

    /// Ends the attempts of an ask whose connection is lost.
    pub(super) fn lose_ask(&mut self, place: usize) {
        let now = self.context.clock.now();
        let shards: Vec<_> = self.asks[place]
            .shards
            .iter_mut()
            .filter_map(Option::take)
            .collect();
        for (shard, target) in shards {
            self.shards[shard].open -= 1;
            self.note_lost(LostAttempt {
                target: target.entry().id.clone(),
                fate: AttemptFate::LinkLost,
                status: None,
                age: now.since(self.asks[place].sent),
            });
            let run = &self.shards[shard];
            if run.part.is_none() && run.open == 0 {
                self.retry(shard, now);
            }
        }
    }
}
