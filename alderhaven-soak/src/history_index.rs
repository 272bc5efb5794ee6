//! Lookups in a history that several promise checks share.

use std::collections::BTreeMap;
use std::net::IpAddr;

use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::key_history::{self, KeyHistory};
use crate::soak_history::{
    ArrivalRecord, ConfigRecord, DisruptionRecord, DisruptionSubject, ProcessRecord, RequestRecord,
    SoakHistory,
};

/// How long after a disruption its subject is exempt from promises with a time bound, while
/// connections are reopened, peers are contacted again and queues drain.
pub const SETTLING_TIME: TimeSpan = TimeSpan::from_secs(4);

/// A history with its arrivals indexed by request.
#[derive(Debug)]
pub struct HistoryIndex<'h> {
    /// The indexed history.
    pub history: &'h SoakHistory,
    /// The time up to which the history is complete.
    pub now: TimePoint,
    arrivals: BTreeMap<&'h str, Vec<&'h ArrivalRecord>>,
    keys: BTreeMap<&'h str, KeyHistory<'h>>,
}

impl<'h> HistoryIndex<'h> {
    /// Indexes a history as of `now`.
    #[must_use]
    pub fn new(history: &'h SoakHistory, now: TimePoint) -> Self {
        let mut arrivals: BTreeMap<&str, Vec<&ArrivalRecord>> = BTreeMap::new();
        for arrival in &history.arrivals {
            let of_request = arrivals.entry(&arrival.request_id).or_default();
            of_request.push(arrival);
        }
        Self {
            history,
            now,
            arrivals,
            keys: key_history::collect(&history.configs),
        }
    }

    /// Returns the history of the key of a request; `None` if no configuration ever held one.
    #[must_use]
    pub fn key_history(&self, request: &RequestRecord) -> Option<&KeyHistory<'h>> {
        self.keys.get(request.credential.key()?)
    }

    /// Returns the team of a request, by the configurations of the whole run.
    #[must_use]
    pub fn team_of(&self, request: &RequestRecord) -> Option<&'h str> {
        self.key_history(request).map(|key| key.team)
    }

    /// Returns the arrivals of a request at targets, in order.
    #[must_use]
    pub fn arrivals(&self, request_id: &str) -> &[&'h ArrivalRecord] {
        self.arrivals.get(request_id).map_or(&[], Vec::as_slice)
    }

    /// Returns the caller's request of an arrival; `None` if no caller sent it.
    #[must_use]
    pub fn request(&self, arrival: &ArrivalRecord) -> Option<&'h RequestRecord> {
        self.history.requests.get(&arrival.request_id)
    }

    /// Returns true if no disruption of the subject or the machine overlaps the period.
    #[must_use]
    pub fn is_undisrupted(
        &self,
        subject: &DisruptionSubject,
        from: TimePoint,
        until: TimePoint,
    ) -> bool {
        let affects_subject = |record: &&DisruptionRecord| {
            record.subject == *subject || record.subject == DisruptionSubject::Machine
        };
        let mut disruptions = self.history.disruptions.iter().filter(affects_subject);
        disruptions.all(|record| record.from > until || record.until.is_some_and(|end| end < from))
    }

    /// Returns true if one process of the front ran undisrupted, and was not asked to stop, from
    /// [`SETTLING_TIME`] before the period to its end.
    #[must_use]
    pub fn is_front_undisrupted(&self, front: IpAddr, from: TimePoint, until: TimePoint) -> bool {
        let from = time_before(from, SETTLING_TIME);
        let process = self.process_at(front, until);
        process.is_some_and(|process| {
            process.started_at <= from && process.stop_requested_at.is_none_or(|at| at > until)
        }) && self.is_undisrupted(&DisruptionSubject::Front(front), from, until)
    }

    /// Returns true if the store was undisrupted from [`SETTLING_TIME`] before the period to its
    /// end.
    #[must_use]
    pub fn is_store_undisrupted(&self, from: TimePoint, until: TimePoint) -> bool {
        self.is_undisrupted(
            &DisruptionSubject::Store,
            time_before(from, SETTLING_TIME),
            until,
        )
    }

    /// Returns the front's process that was started last at or before `at`.
    #[must_use]
    pub fn process_at(&self, front: IpAddr, at: TimePoint) -> Option<&'h ProcessRecord> {
        let mut processes = self.history.processes.iter();
        processes.rfind(|process| process.front == front && process.started_at <= at)
    }

    /// Returns the configurations that may have been in force during a request, if a change takes
    /// at most `max_lag` to be applied. Without `max_lag`, one hour is assumed, the length of the
    /// longest run.
    #[must_use]
    pub fn configs_in_force(
        &self,
        sent_at: TimePoint,
        ended_at: TimePoint,
        max_lag: Option<TimeSpan>,
    ) -> Vec<&'h ConfigRecord> {
        let configs = &self.history.configs;
        let is_superseded = |index: usize| {
            let next = configs.get(index + 1);
            let max_lag = max_lag.unwrap_or(TimeSpan::from_secs(3_600));
            next.is_some_and(|next| next.accepted_at + max_lag < sent_at)
        };
        let configs_by_index = configs.iter().enumerate();
        configs_by_index
            .filter(|(index, config)| config.accepted_at <= ended_at && !is_superseded(*index))
            .map(|(_, config)| config)
            .collect()
    }
}

/// Returns the time `span` before `point`, at the earliest the start of the clock.
#[must_use]
pub fn time_before(point: TimePoint, span: TimeSpan) -> TimePoint {
    TimePoint::START + point.since(TimePoint::START).saturating_sub(span)
}
