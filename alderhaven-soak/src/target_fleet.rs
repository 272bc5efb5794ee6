//! The targets of a run: starts, crashes and drains them, registers them in the store and injects
//! faults.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use alderhaven_core::time::TimeSpan;
use alderhaven_platform_standin::store_fixtures;
use alderhaven_platform_standin::store_standin::StoreStandin;
use alderhaven_platform_standin::target_behavior::TargetBehavior;
use alderhaven_platform_standin::target_request::TargetRequest;
use alderhaven_platform_standin::target_standin::TargetStandin;
use bytes::Bytes;
use eyre::{Result, WrapErr};
use futures::future::BoxFuture;
use rand::RngExt;

use crate::link_proxy::{LinkMode, LinkProxy};
use crate::shard_records;
use crate::soak_fault::TargetFault;
use crate::soak_history::{ArrivalRecord, DisruptionSubject, HistoryLog};
use crate::soak_team::KEY_PREFIX;
use crate::soak_workload::{self, DOMAINS, LONG_ORDER_PREFIX, RequestKind};

/// How long after a target reports that it is leaving it may still get requests.
pub const DRAIN_TIME: TimeSpan = TimeSpan::from_millis(3_000);
/// How much longer a draining target serves, so that late requests are recorded.
const DRAIN_MARGIN: TimeSpan = TimeSpan::from_millis(500);
/// The time after which the registration of a crashed target expires.
const REGISTRATION_TTL: Duration = Duration::from_millis(1_500);
/// How long a target is away that a request has crashed, after its registration has expired.
const REQUEST_CRASH_PAUSE: TimeSpan = TimeSpan::from_millis(500);
/// The factor by which a slow target multiplies its service time.
const SLOW_FACTOR: u32 = 20;
/// The share of its requests that a faulty target mishandles.
const FAULTY_SHARE: f64 = 0.6;

/// All targets of a run. Clones share them.
#[derive(Clone, Debug)]
pub struct TargetFleet {
    log: HistoryLog,
    store: StoreStandin,
    slots: Arc<Mutex<Vec<TargetSlot>>>,
}

/// A service's slot in a failure domain, which successive targets occupy.
#[derive(Debug)]
struct TargetSlot {
    service: String,
    domain: &'static str,
    start_count: usize,
    target: Option<RunningTarget>,
}

/// A running target with its link and its current fault.
#[derive(Clone, Debug)]
struct RunningTarget {
    target: TargetStandin,
    link: LinkProxy,
    fault: Arc<Mutex<Option<TargetFault>>>,
}

impl TargetFleet {
    /// Starts and registers one target per service and failure domain.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start(log: HistoryLog, store: StoreStandin) -> Result<Self> {
        let mut slots = Vec::new();
        for service in soak_workload::all_services() {
            slots.extend(DOMAINS.iter().map(|domain| TargetSlot {
                service: service.clone(),
                domain,
                start_count: 0,
                target: None,
            }));
        }
        let count = slots.len();
        let fleet = Self {
            log,
            store,
            slots: Arc::new(Mutex::new(slots)),
        };
        for index in 0..count {
            fleet.start_target(index).await?;
        }
        Ok(fleet)
    }

    /// Crashes the target of a slot. Its registration expires, and a replacement starts `pause`
    /// later. Does nothing if the slot is empty.
    ///
    /// # Errors
    /// The replacement can't be started.
    pub async fn crash(&self, index: usize, pause: TimeSpan) -> Result<()> {
        let Some(running) = self.take_running(index) else {
            return Ok(());
        };
        let id = running.target.id.clone();
        let disruption = self.begin_disruption(&id, "crashed");
        running.target.crash();
        // The host of a process that is gone refuses connections.
        drop(running);
        tokio::time::sleep(REGISTRATION_TTL).await;
        self.store.remove(store_fixtures::TARGET_KIND, &id);
        tokio::time::sleep(pause.as_duration()).await;
        self.log.end_disruption(disruption);
        self.start_target(index).await
    }

    /// Drains the target of a slot, after starting its replacement. Does nothing if the slot is
    /// empty.
    ///
    /// # Errors
    /// The replacement can't be started.
    pub async fn drain(&self, index: usize) -> Result<()> {
        let Some(running) = self.take_running(index) else {
            return Ok(());
        };
        self.start_target(index).await?;
        let (service, domain) = self.service_and_domain(index);
        let id = running.target.id.clone();
        let address = running.link.address();
        let leaving = store_fixtures::registration(address, &service, domain, "draining");
        self.store.put(store_fixtures::TARGET_KIND, &id, leaving);
        let now = self.log.now();
        self.log.lock().leaving_targets.push((id.clone(), now));
        tokio::time::sleep((DRAIN_TIME + DRAIN_MARGIN).as_duration()).await;
        self.store.remove(store_fixtures::TARGET_KIND, &id);
        running.target.crash();
        Ok(())
    }

    /// Sets the mode of the link to the target of a slot for the time `span`.
    pub async fn disrupt_link(&self, index: usize, mode: LinkMode, span: TimeSpan) {
        let Some(running) = self.running_target(index) else {
            return;
        };
        let disruption = self.begin_disruption(&running.target.id, "link");
        running.link.set_mode(mode);
        tokio::time::sleep(span.as_duration()).await;
        running.link.set_mode(LinkMode::Open);
        self.log.end_disruption(disruption);
    }

    /// Makes the target of a slot faulty for the time `span`.
    pub async fn inject_fault(&self, index: usize, fault: TargetFault, span: TimeSpan) {
        let Some(running) = self.running_target(index) else {
            return;
        };
        let disruption = self.begin_disruption(&running.target.id, "failing");
        running.set_fault(Some(fault));
        tokio::time::sleep(span.as_duration()).await;
        running.set_fault(None);
        self.log.end_disruption(disruption);
    }

    async fn start_target(&self, index: usize) -> Result<()> {
        let (service, domain) = self.service_and_domain(index);
        let id = {
            let mut slots = self.lock_slots();
            let slot = &mut slots[index];
            slot.start_count += 1;
            let start_number = slot.start_count;
            soak_workload::target_id(&service, domain, start_number)
        };
        let fault = Arc::new(Mutex::new(None));
        let log = self.log.clone();
        let (own_id, own_service, own_fault) = (id.clone(), service.clone(), Arc::clone(&fault));
        let target = TargetStandin::start_scripted(&id, move |request| {
            let fault = *own_fault.lock().unwrap_or_else(PoisonError::into_inner);
            let behavior = choose_behavior(&own_service, request, fault);
            record_arrival(&log, &own_id, &own_service, request, &behavior);
            behavior
        });
        let target = target.await.wrap_err("the target can't be started")?;
        let link = LinkProxy::start(target.address)
            .await
            .wrap_err("the link to the target can't be opened")?;
        let entry = store_fixtures::registration(link.address(), &service, domain, "ready");
        self.store.put(store_fixtures::TARGET_KIND, &id, entry);
        self.lock_slots()[index].target = Some(RunningTarget {
            target: target.clone(),
            link,
            fault,
        });
        tokio::spawn(self.clone().replace_crashed(index, target));
        Ok(())
    }

    /// Replaces a target that a request has crashed. Does nothing if a fault has removed it.
    fn replace_crashed(self, index: usize, target: TargetStandin) -> BoxFuture<'static, ()> {
        Box::pin(async move {
            target.crashed().await;
            let is_current = |running: &RunningTarget| running.target.id == target.id;
            if !self.running_target(index).as_ref().is_some_and(is_current) {
                return;
            }
            if let Err(error) = self.crash(index, REQUEST_CRASH_PAUSE).await {
                log::error!("the target {} can't be replaced: {error:#}", target.id);
            }
        })
    }

    fn begin_disruption(&self, id: &str, kind: &str) -> usize {
        self.log
            .begin_disruption(DisruptionSubject::Target(id.to_owned()), kind)
    }

    fn service_and_domain(&self, index: usize) -> (String, &'static str) {
        let slots = self.lock_slots();
        let slot = &slots[index % slots.len()];
        (slot.service.clone(), slot.domain)
    }

    fn take_running(&self, index: usize) -> Option<RunningTarget> {
        self.lock_slots().get_mut(index)?.target.take()
    }

    fn running_target(&self, index: usize) -> Option<RunningTarget> {
        self.lock_slots().get(index)?.target.clone()
    }

    /// Returns the number of slots, occupied or not.
    #[must_use]
    pub fn slot_count(&self) -> usize {
        self.lock_slots().len()
    }

    fn lock_slots(&self) -> MutexGuard<'_, Vec<TargetSlot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunningTarget {
    fn set_fault(&self, fault: Option<TargetFault>) {
        let mut current = self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        *current = fault;
    }
}

fn choose_behavior(
    service: &str,
    request: &TargetRequest,
    fault: Option<TargetFault>,
) -> TargetBehavior {
    let kind = if request.path.starts_with("/sweep/") {
        RequestKind::FanOut
    } else if request.path.starts_with(LONG_ORDER_PREFIX) {
        RequestKind::LongOrder
    } else {
        RequestKind::Record
    };
    let body = shard_records::response_body(service, &request.request_id);
    let mut rng = rand::rng();
    let work = kind.base_service_time().mul_f64(rng.random_range(0.5..2.0));
    if soak_workload::crashes_targets(&request.path) {
        return TargetBehavior::CrashAfter(work);
    }
    let fault = fault.filter(|_| rng.random_bool(FAULTY_SHARE));
    match fault {
        None => TargetBehavior::AnswerAfter(work, body),
        Some(TargetFault::Slow) => TargetBehavior::AnswerAfter(work * SLOW_FACTOR, body),
        Some(TargetFault::NoReply) => TargetBehavior::RunWithoutReply,
        Some(TargetFault::Fails) => TargetBehavior::Fail,
        Some(TargetFault::Refuses) => TargetBehavior::Refuse,
        Some(TargetFault::Disconnects) => TargetBehavior::RunAndDisconnect,
        Some(TargetFault::TruncatesAnswers) => TargetBehavior::AnswerTruncated(body),
        Some(TargetFault::AnswersTwice) => TargetBehavior::AnswerTwice(body),
        Some(TargetFault::SpoilsAnswers) => match rng.random_range(0..2) {
            0 => TargetBehavior::AnswerWithoutProof(body),
            _ => TargetBehavior::AnswerEncoded(body),
        },
        // A body without a length would be complete once its target crashes.
        Some(TargetFault::EndlessAnswers) => match rng.random_range(0..2) {
            0 => TargetBehavior::EndlessHead,
            _ => TargetBehavior::EndlessBody,
        },
    }
}

fn record_arrival(
    log: &HistoryLog,
    target: &str,
    service: &str,
    request: &TargetRequest,
    behavior: &TargetBehavior,
) {
    let at = log.now();
    log.lock().arrivals.push(ArrivalRecord {
        at,
        target: target.to_owned(),
        service: service.to_owned(),
        request_id: request.request_id.clone(),
        method: request.method.clone(),
        path: request.path.clone(),
        body: Bytes::copy_from_slice(&request.body),
        teams: request.teams.clone(),
        has_key: request.has_authorization || request.head.contains(KEY_PREFIX),
        time_left: request.time_left.map(TimeSpan::from),
        is_run: behavior.runs_request(),
        is_answered: matches!(
            behavior,
            TargetBehavior::Answer(_)
                | TargetBehavior::AnswerAfter(..)
                | TargetBehavior::AnswerTwice(_)
        ),
    });
}
