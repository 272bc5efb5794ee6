//! Tests of which connections stay open at the limit.

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::connection_table::{ConnectionDecision, ConnectionId, ConnectionTable};

const LIMIT: usize = 3;

fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

fn full_table() -> (ConnectionTable, Vec<ConnectionId>) {
    let mut table = ConnectionTable::new(LIMIT);
    let admitted = (0..3).map(|millis| match table.admit(at(millis)) {
        ConnectionDecision::Admitted(id) => id,
        decision => panic!("{decision:?}"),
    });
    let admitted = admitted.collect();
    (table, admitted)
}

// Connections that send nothing must not keep new ones out.
#[test]
fn admit_replaces_the_connection_that_has_waited_the_longest() {
    let (mut table, connections) = full_table();
    table.end_run(connections[0], at(10));
    let decision = table.admit(at(20));
    assert!(
        matches!(decision, ConnectionDecision::Replaces { closed, .. } if closed == connections[1])
    );
    assert_eq!(table.len(), LIMIT);
}

// A caller whose request runs must get its answer.
#[test]
fn admit_keeps_connections_whose_requests_run() {
    let (mut table, connections) = full_table();
    for id in &connections {
        table.begin_run(*id);
    }
    assert_eq!(table.admit(at(20)), ConnectionDecision::Refused);
    table.end_run(connections[2], at(30));
    let decision = table.admit(at(40));
    assert!(
        matches!(decision, ConnectionDecision::Replaces { closed, .. } if closed == connections[2])
    );
}

#[test]
fn remove_makes_room() {
    let (mut table, connections) = full_table();
    table.remove(connections[1]);
    table.end_run(connections[1], at(5));
    assert!(matches!(
        table.admit(at(9)),
        ConnectionDecision::Admitted(_)
    ));
    assert_eq!(table.len(), LIMIT);
}
