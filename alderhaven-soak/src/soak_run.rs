//! One soak run: starts store, targets, fronts and callers, injects the planned faults and checks
//! the recorded history against the promises.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::path::PathBuf;
use std::time::Duration;

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_platform_standin::caller_client;
use alderhaven_platform_standin::front_settings::FrontSettings;
use alderhaven_platform_standin::store_fault::StoreFault;
use alderhaven_platform_standin::store_standin::StoreStandin;
use alderhaven_standin::crowd::Crowd;
use alderhaven_standin::held_request::HeldRequest;
use eyre::{Result, WrapErr, bail};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time;
use tokio_util::task::AbortOnDropHandle;

use crate::crash_caller::CrashCaller;
use crate::directory_cache::DirectoryCache;
use crate::front_process::{FrontCommand, FrontProcess};
use crate::history_index::HistoryIndex;
use crate::link_proxy::{LinkMode, LinkProxy};
use crate::promises::{self, Violation, repeat_budget};
use crate::soak_caller::SoakCaller;
use crate::soak_fault::SoakFault;
use crate::soak_history::{DisruptionSubject, HistoryLog, RESTORE_KIND};
use crate::soak_operator::SoakOperator;
use crate::soak_options::SoakOptions;
use crate::soak_plan;
use crate::soak_plan::{SoakPlan, SoakStep};
use crate::soak_report::{self, SoakReport};
use crate::soak_workload::DOMAINS;
use crate::stall_detector;
use crate::target_fleet::TargetFleet;

/// The callers of each front that hold a request open.
const STALLED_CALLERS: usize = 40;
/// The length of the bodies that they announce.
const STALLED_BODY_BYTES: usize = 1_000;

/// How long the fronts may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How often the promises are checked during the run.
const CHECK_INTERVAL: Duration = Duration::from_secs(4);
/// The most fronts in the seed list of a front.
const MAX_SEED_FRONTS: usize = 3;
/// How long after a restore the operator and the targets repeat what the store lost.
const REPEAT_DELAY: Duration = Duration::from_millis(700);
/// The time between SIGTERM and SIGKILL.
const STOP_GRACE_PERIOD: TimeSpan = TimeSpan::from_secs(6);
/// How long callers may cache a directory answer, in seconds.
const DIRECTORY_TTL_S: f64 = 0.1;
/// The same in a run with requests that need seconds.
const LONG_DIRECTORY_TTL_S: f64 = 4.0;

/// A run in progress. Dropping it ends its processes and tasks.
struct SoakRun {
    log: HistoryLog,
    store: StoreStandin,
    targets: TargetFleet,
    operator: SoakOperator,
    fronts: Vec<RunningFront>,
    fault_tasks: JoinSet<Result<()>>,
    caller_tasks: Vec<AbortOnDropHandle<()>>,
    /// Callers that stop short of the ends of their requests.
    stalled_callers: Vec<Crowd>,
}

struct RunningFront {
    settings: FrontSettings,
    link: LinkProxy,
    commands: mpsc::UnboundedSender<FrontCommand>,
    process_task: AbortOnDropHandle<Result<()>>,
}

/// Runs the faults of a seed and returns the report.
///
/// # Errors
/// A part of the run can't be started or fails. A broken promise is no error: the report lists it.
pub async fn run(options: &SoakOptions) -> Result<SoakReport> {
    let directory = create_log_directory(options)?;
    let mut plan = SoakPlan::new(options.seed, options.span);
    if options.has_evacuations {
        plan = plan.with_evacuations(options.seed);
    }
    if options.has_restores {
        plan = plan.with_restores(options.seed);
    }
    if options.has_spoiled_answers {
        plan = plan.with_spoiled_answers(options.seed);
    }
    if options.has_watcher_cuts {
        plan = plan.with_watcher_cuts(options.seed);
    }
    if options.has_teams {
        plan = plan.with_teams(options.seed);
    }
    let mut run = SoakRun::start(options, &plan, &directory).await?;
    let _stall_guard = stall_detector::start(run.log.clone());
    let violations = run.run_plan(options, &plan).await?;
    let history = run.log.lock().clone();
    let logs = if violations.is_empty() {
        std::fs::remove_dir_all(&directory).wrap_err("the log directory can't be removed")?;
        None
    } else {
        let path = directory.join("history.json");
        let content = serde_json::to_vec(&(&plan, &history, &violations))?;
        std::fs::write(path, content).wrap_err("history.json can't be written")?;
        Some(directory.display().to_string())
    };
    let mut faults = BTreeMap::new();
    for step in &plan.steps {
        *faults.entry(step.fault.kind()).or_default() += 1;
    }
    Ok(SoakReport {
        seed: options.seed,
        seconds: run.log.now().since(TimePoint::START).as_secs_f64(),
        fronts: options.fronts,
        processes: history.processes.len(),
        requests: soak_report::count_requests(&history),
        arrivals: history.arrivals.len(),
        faults,
        configs: history.configs.len(),
        stalls: soak_report::count_stalls(&history),
        violations,
        logs,
    })
}

fn create_log_directory(options: &SoakOptions) -> Result<PathBuf> {
    let name = format!("seed-{}-{}", options.seed, std::process::id());
    let directory = options.logs.join(name);
    std::fs::create_dir_all(&directory)
        .wrap_err_with(|| format!("{} can't be created", directory.display()))?;
    Ok(directory)
}

/// Returns the loopback address of a front's host. It contains the id of this process, since all
/// fronts listen on the same ports and several runs may share a machine.
fn host_address(index: usize) -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let host = u8::try_from(index + 1).unwrap_or(u8::MAX);
    IpAddr::V4(Ipv4Addr::new(127, 128 | high, low, host))
}

impl SoakRun {
    async fn start(
        options: &SoakOptions,
        plan: &SoakPlan,
        directory: &std::path::Path,
    ) -> Result<Self> {
        let log = HistoryLog::default();
        let store = StoreStandin::start()
            .await
            .wrap_err("the store stand-in can't be started")?;
        let targets = TargetFleet::start(log.clone(), store.clone()).await?;
        let teams = plan.teams.as_ref().map(|plan| plan.teams.clone());
        log.lock().team_bounds = plan.teams.as_ref().map(|plan| plan.bounds);
        let operator = SoakOperator::start(log.clone(), store.clone(), teams.unwrap_or_default());
        let mut run = Self {
            log,
            store,
            targets,
            operator,
            fronts: Vec::new(),
            fault_tasks: JoinSet::new(),
            caller_tasks: Vec::new(),
            stalled_callers: Vec::new(),
        };
        for index in 0..options.fronts {
            let front = run.start_front(options, directory, index).await?;
            run.fronts.push(front);
        }
        run.wait_until_ready().await?;
        run.start_callers(options);
        if options.has_crashing_requests {
            run.start_crash_callers(options);
        }
        if options.has_stalled_callers {
            run.start_stalled_callers();
        }
        Ok(run)
    }

    async fn start_front(
        &self,
        options: &SoakOptions,
        directory: &std::path::Path,
        index: usize,
    ) -> Result<RunningFront> {
        let link = LinkProxy::start(self.store.address())
            .await
            .wrap_err("the store link of a front can't be opened")?;
        let settings = FrontSettings {
            name: format!("front-{index}"),
            ip: host_address(index),
            domain: DOMAINS[index % DOMAINS.len()].to_owned(),
            seeds: (0..MAX_SEED_FRONTS.min(options.fronts))
                .map(host_address)
                .collect(),
            store: link.address(),
            directory_ttl_s: if options.has_long_work {
                LONG_DIRECTORY_TTL_S
            } else {
                DIRECTORY_TTL_S
            },
            grace_s: STOP_GRACE_PERIOD.as_millis() / 1_000,
            repeat_extra: repeat_budget::FREE_REPEATS_PER_WINDOW,
            team_bounds: self.log.lock().team_bounds,
            limits: None,
        };
        let log = self.log.clone();
        let process = FrontProcess::start(settings.clone(), &options.front_binary, directory, log)?;
        let (commands, received_commands) = mpsc::unbounded_channel();
        Ok(RunningFront {
            settings,
            link,
            commands,
            process_task: AbortOnDropHandle::new(tokio::spawn(process.run(received_commands))),
        })
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let all_ready = async {
            for front in &self.fronts {
                while !caller_client::is_ready(front.settings.ready_address()).await {
                    time::sleep(READY_POLL_INTERVAL).await;
                }
            }
        };
        let ready = time::timeout(READY_TIMEOUT, all_ready).await;
        ready.wrap_err("the fronts did not become ready in time")
    }

    fn start_callers(&mut self, options: &SoakOptions) {
        let settings = self.fronts.iter().map(|front| front.settings.clone());
        let settings: Vec<FrontSettings> = settings.collect();
        self.caller_tasks = (0..options.callers)
            .map(|number| {
                let rng = StdRng::seed_from_u64(options.seed.wrapping_add(number as u64));
                let cache = options.has_long_work.then(|| {
                    DirectoryCache::of_caller(
                        number,
                        TimeSpan::from_secs(1).mul_f64(LONG_DIRECTORY_TTL_S),
                    )
                });
                let caller = SoakCaller::new(number, self.log.clone(), settings.clone(), rng);
                let caller = caller.with_directory_cache(cache);
                AbortOnDropHandle::new(tokio::spawn(caller.run()))
            })
            .collect();
    }

    fn start_crash_callers(&mut self, options: &SoakOptions) {
        let settings = self.fronts.iter().map(|front| front.settings.clone());
        let settings: Vec<FrontSettings> = settings.collect();
        let faults_end = options.span.saturating_sub(soak_plan::FAULT_FREE_END);
        let end = time::Instant::now() + faults_end.as_duration();
        let callers = CrashCaller::of_seed(options.seed, &self.log, &settings);
        let tasks = callers
            .into_iter()
            .map(|caller| AbortOnDropHandle::new(tokio::spawn(caller.run(end))));
        self.caller_tasks.extend(tasks);
    }

    /// Lets callers hold bodies open at all fronts that stop one byte short of their end.
    fn start_stalled_callers(&mut self) {
        let head = caller_client::request_head("/record/1", "stalled");
        let request = HeldRequest::with_length(&head, STALLED_BODY_BYTES, STALLED_BODY_BYTES - 1);
        let addresses = self
            .fronts
            .iter()
            .map(|front| front.settings.caller_address());
        self.stalled_callers = addresses
            .map(|address| Crowd::start(address, STALLED_CALLERS, &request))
            .collect();
    }

    /// Runs the plan to its end or until a promise is broken.
    async fn run_plan(&mut self, options: &SoakOptions, plan: &SoakPlan) -> Result<Vec<Violation>> {
        let start = time::Instant::now();
        let mut next_check = start + CHECK_INTERVAL;
        for SoakStep { at, fault } in &plan.steps {
            time::sleep_until(start + at.as_duration()).await;
            self.inject_fault(*fault);
            if time::Instant::now() >= next_check {
                next_check = time::Instant::now() + CHECK_INTERVAL;
                let violations = self.check(options, false);
                if !violations.is_empty() {
                    return Ok(violations);
                }
            }
        }
        while let Some(fault) = self.fault_tasks.join_next().await {
            fault.wrap_err("the task of a fault failed")??;
        }
        time::sleep_until(start + plan.span.as_duration()).await;
        if let Some(front) = self
            .fronts
            .iter()
            .find(|front| front.process_task.is_finished())
        {
            bail!("the supervisor task of {} has ended", front.settings.name);
        }
        Ok(self.check(options, true))
    }

    fn check(&self, options: &SoakOptions, is_over: bool) -> Vec<Violation> {
        let history = self.log.lock().clone();
        let index = HistoryIndex::new(&history, self.log.now());
        promises::check(&index, options.scope, is_over)
    }

    /// Starts a fault. One with a duration ends in a task of its own, so that faults overlap.
    fn inject_fault(&mut self, fault: SoakFault) {
        let targets = self.targets.clone();
        let target = |index: usize| index % targets.slot_count();
        match fault {
            SoakFault::StopFront(index) => self.send_command(index, FrontCommand::Stop),
            SoakFault::StopAll(pause) => self.stop_all(pause),
            SoakFault::KillFront(index) => self.send_command(index, FrontCommand::Kill),
            SoakFault::KillAll => (0..self.fronts.len()).for_each(|index| {
                self.send_command(index, FrontCommand::Kill);
            }),
            SoakFault::FreezeFront(index, span) => {
                self.send_command(index, FrontCommand::Freeze(span));
            }
            SoakFault::ReloadFront(index) => self.send_command(index, FrontCommand::Reload),
            SoakFault::StoreLink(index, mode, span) => self.disrupt_store_link(index, mode, span),
            SoakFault::CutWatchers(count, span) => self.cut_watchers(count, span),
            SoakFault::CutStore(span) => self.cut_store(span),
            SoakFault::StoreFault(fault, span) => self.disrupt_store(fault, span),
            SoakFault::StoreCompaction => {
                self.store.compact_history();
                self.log
                    .record_disruption(DisruptionSubject::Store, "forgot");
            }
            SoakFault::RestoreStore(age, away) => self.restore_store(age, away),
            SoakFault::CrashTarget(index, pause) => {
                let index = target(index);
                self.fault_tasks
                    .spawn(async move { targets.crash(index, pause).await });
            }
            SoakFault::DrainTarget(index) => {
                let index = target(index);
                self.fault_tasks
                    .spawn(async move { targets.drain(index).await });
            }
            SoakFault::TargetLink(index, mode, span) => {
                let index = target(index);
                self.fault_tasks.spawn(async move {
                    targets.disrupt_link(index, mode, span).await;
                    Ok(())
                });
            }
            SoakFault::TargetFault(index, fault, span) => {
                let index = target(index);
                self.fault_tasks.spawn(async move {
                    targets.inject_fault(index, fault, span).await;
                    Ok(())
                });
            }
            SoakFault::ChangeConfig => self.operator.change_config(),
            SoakFault::Reshard => self.operator.reshard(),
            SoakFault::ChangeTeam(change) => self.operator.change_team(change),
            SoakFault::Evacuate(index, span) => self.evacuate(index, span),
        }
    }

    fn send_command(&self, index: usize, command: FrontCommand) {
        let front = &self.fronts[index % self.fronts.len()];
        // The receiver is gone only if its task failed, which `run_plan` reports at the end.
        let _is_gone = front.commands.send(command);
    }

    fn stop_all(&mut self, pause: TimeSpan) {
        let senders: Vec<_> = self
            .fronts
            .iter()
            .map(|front| front.commands.clone())
            .collect();
        self.fault_tasks.spawn(async move {
            for sender in senders {
                let _is_gone = sender.send(FrontCommand::Stop);
                time::sleep(pause.as_duration()).await;
            }
            Ok(())
        });
    }

    fn disrupt_store_link(&mut self, index: usize, mode: LinkMode, span: TimeSpan) {
        let front = &self.fronts[index % self.fronts.len()];
        let link = front.link.clone();
        let log = self.log.clone();
        let subject = DisruptionSubject::Front(front.settings.ip);
        self.fault_tasks.spawn(async move {
            let disruption = log.begin_disruption(subject, "store link");
            link.set_mode(mode);
            time::sleep(span.as_duration()).await;
            link.set_mode(LinkMode::Open);
            log.end_disruption(disruption);
            Ok(())
        });
    }

    fn cut_watchers(&mut self, count: usize, span: TimeSpan) {
        let mut fronts: Vec<usize> = (0..self.fronts.len()).collect();
        fronts.sort_by_key(|index| Reverse(self.fronts[*index].link.last_request_at()));
        for index in fronts.into_iter().take(count) {
            self.disrupt_store_link(index, LinkMode::Blocked, span);
        }
    }

    fn cut_store(&mut self, span: TimeSpan) {
        for index in 0..self.fronts.len() {
            self.disrupt_store_link(index, LinkMode::Blocked, span);
        }
        let log = self.log.clone();
        self.fault_tasks.spawn(async move {
            let disruption = log.begin_disruption(DisruptionSubject::Store, "cut from all fronts");
            time::sleep(span.as_duration()).await;
            log.end_disruption(disruption);
            Ok(())
        });
    }

    fn evacuate(&mut self, index: usize, span: TimeSpan) {
        let domain = DOMAINS[index % DOMAINS.len()];
        let (store, log) = (self.store.clone(), self.log.clone());
        self.fault_tasks.spawn(async move {
            let evacuation = log.begin_evacuation(&store, domain);
            time::sleep(span.as_duration()).await;
            log.end_evacuation(&store, evacuation);
            Ok(())
        });
    }

    fn restore_store(&mut self, age: TimeSpan, away: TimeSpan) {
        let (store, log) = (self.store.clone(), self.log.clone());
        self.fault_tasks.spawn(async move {
            let copy = store.copy();
            time::sleep(age.as_duration()).await;
            let disruption = log.begin_disruption(DisruptionSubject::Store, RESTORE_KIND);
            store.set_fault(StoreFault::Down);
            store.restore(copy);
            time::sleep(away.as_duration()).await;
            store.set_fault(StoreFault::None);
            time::sleep(REPEAT_DELAY).await;
            store.repeat_lost_writes();
            log.end_disruption(disruption);
            Ok(())
        });
    }

    fn disrupt_store(&mut self, fault: StoreFault, span: TimeSpan) {
        let (store, log) = (self.store.clone(), self.log.clone());
        self.fault_tasks.spawn(async move {
            let disruption = log.begin_disruption(DisruptionSubject::Store, "failing");
            store.set_fault(fault);
            time::sleep(span.as_duration()).await;
            store.set_fault(StoreFault::None);
            log.end_disruption(disruption);
            Ok(())
        });
    }
}
