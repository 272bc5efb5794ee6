//! Short runs of the complete system.

use alderhaven_core::time::TimeSpan;
use alderhaven_load::run_options::RunOptions;
use alderhaven_load::scenario::ScenarioKind;
use alderhaven_load::test_run;
use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_standin::service_layout::DeploymentKind;

/// Below capacity every query has an outcome and there are no violations, on a slow machine too.
#[tokio::test(flavor = "multi_thread")]
async fn run_every_query_has_outcome() {
    for deployment in [DeploymentKind::Volta, DeploymentKind::Lagerblik] {
        let options = RunOptions {
            deployment,
            scenario: ScenarioKind::SlowTarget,
            policy: PolicyKind::Current,
            load: 0.2,
            measured_time: TimeSpan::from_millis(600),
            warm_up: TimeSpan::from_millis(200),
            nodes: 2,
            ..RunOptions::default()
        };
        let line = test_run::run(&options).await.unwrap();
        assert!(line.offered > 0);
        let ended =
            line.complete + line.partial + line.refused_not_run + line.failed + line.unknown;
        assert_eq!(ended, line.offered);
        assert_eq!(line.violations.total(), 0, "{:?}", line.violations);
    }
}

/// Under faults and changes every query has an outcome and there are no violations.
#[tokio::test(flavor = "multi_thread")]
async fn run_faults_keep_promises() {
    for scenario in [
        ScenarioKind::SnapshotChange,
        ScenarioKind::TargetLeaving,
        ScenarioKind::Poison,
        ScenarioKind::SilentConnections,
        ScenarioKind::ColdStart,
        ScenarioKind::DomainLoss,
        ScenarioKind::RelayCrash,
        ScenarioKind::PublishRace,
    ] {
        let options = RunOptions {
            scenario,
            load: 0.1,
            measured_time: TimeSpan::from_millis(800),
            warm_up: TimeSpan::from_millis(100),
            nodes: 2,
            ..RunOptions::default()
        };
        let line = test_run::run(&options).await.unwrap();
        let ended =
            line.complete + line.partial + line.refused_not_run + line.failed + line.unknown;
        assert_eq!(ended, line.offered, "{scenario}");
        let broken = line.violations.total();
        assert_eq!(broken, 0, "{scenario}: {:?}", line.violations);
        if scenario == ScenarioKind::RelayCrash {
            assert_eq!(line.figures["usable_relays"], Some(1.0));
        }
    }
}
