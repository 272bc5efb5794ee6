//! Questions to a history that several promises share.

use std::collections::BTreeMap;
use std::net::IpAddr;

use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::soak_history::{
    ArrivalRecord, ConfigRecord, DisruptionRecord, DisruptionSubject, ProcessRecord, RequestRecord,
    SoakHistory,
};

/// For how long after a disturbance what it touched is not held to promises with a time: connections
/// are opened again, peers are heard, queues empty. The users' platform allows as much.
pub const SETTLING_TIME: TimeSpan = TimeSpan::from_secs(4);

/// A `HistoryIndex` is a history with what the checks look up in it.
#[derive(Debug)]
pub struct HistoryIndex<'h> {
    /// The history.
    pub history: &'h SoakHistory,
    /// When it was looked at.
    pub now: TimePoint,
    arrivals: BTreeMap<&'h str, Vec<&'h ArrivalRecord>>,
}

impl<'h> HistoryIndex<'h> {
    /// Returns the index of a history as of `now`.
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
        }
    }

    /// Gets the arrivals of a request.
    #[must_use]
    pub fn arrivals(&self, request_id: &str) -> &[&'h ArrivalRecord] {
        self.arrivals.get(request_id).map_or(&[], Vec::as_slice)
    }

    /// Gets the request of an arrival.
    #[must_use]
    pub fn request(&self, arrival: &ArrivalRecord) -> Option<&'h RequestRecord> {
        self.history.requests.get(&arrival.request_id)
    }

    /// Returns true where nothing disturbed the subject in that span, nor the machine.
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

    /// Returns true where a front was running and undisturbed for the whole span, and long enough
    /// before it.
    #[must_use]
    pub fn is_front_undisrupted(&self, front: IpAddr, from: TimePoint, until: TimePoint) -> bool {
        let from = time_before(from, SETTLING_TIME);
        let process = self.process_at(front, until);
        process.is_some_and(|process| {
            process.started_at <= from && process.stop_requested_at.is_none_or(|at| at > until)
        }) && self.is_undisrupted(&DisruptionSubject::Front(front), from, until)
    }

    /// Returns true where the store was undisturbed for the whole span and long enough before it.
    #[must_use]
    pub fn is_store_undisrupted(&self, from: TimePoint, until: TimePoint) -> bool {
        self.is_undisrupted(
            &DisruptionSubject::Store,
            time_before(from, SETTLING_TIME),
            until,
        )
    }

    /// Gets the process of a front that was the latest at a time.
    #[must_use]
    pub fn process_at(&self, front: IpAddr, at: TimePoint) -> Option<&'h ProcessRecord> {
        let mut processes = self.history.processes.iter();
        processes.rfind(|process| process.front == front && process.started_at <= at)
    }

    /// Gets the configurations that may be in force for a request that was sent and ended so, where
    /// changes take `lag` at most; all of those that came before where no lag is promised.
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

/// Gets the point that lies so long before another one.
#[must_use]
pub fn time_before(point: TimePoint, span: TimeSpan) -> TimePoint {
    TimePoint::START + point.since(TimePoint::START).saturating_sub(span)
}
