//! The phases of a front's drain.

use std::net::SocketAddr;

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_front::front_node;
use alderhaven_front::front_options::FrontOptions;
use alderhaven_policy::drain::{DrainEvent, DrainSequence, DrainState};
use alderhaven_policy::membership::member_record::CpuCapacity;
use alderhaven_policy::repeat_budget::RepeatOptions;

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

fn options(directory_ttl: TimeSpan, stop_limit: TimeSpan) -> FrontOptions {
    FrontOptions::builder()
        .node("front-1".parse().expect("a valid name"))
        .host("host-1".parse().expect("a valid name"))
        .domain("a".parse().expect("a valid name"))
        .caller_address(LOOPBACK)
        .directory_address(LOOPBACK)
        .ready_address(LOOPBACK)
        .gossip_address(LOOPBACK)
        .group_address(LOOPBACK)
        .capacity(CpuCapacity(250))
        .seeds(Vec::new())
        .stop_limit(stop_limit)
        .directory_ttl(directory_ttl)
        .repeats(RepeatOptions::default())
        .build()
}

/// Guards against a drain that accepts requests until its limit when cached directory answers
/// outlive the grace period, and then aborts the requests in flight.
#[test]
fn drain_with_long_directory_ttl_reserves_time_for_in_flight_requests() {
    let limit = TimeSpan::from_millis(5_500);
    let drain = front_node::drain_options(&options(TimeSpan::from_secs(4), limit));
    let mut sequence = DrainSequence::new(drain);
    let mut now = TimePoint::START;
    sequence.handle(DrainEvent::StopRequested { now, in_flight: 1 });
    while sequence.takes_requests() {
        now = now + TimeSpan::from_millis(10);
        sequence.handle(DrainEvent::Ticked { now, in_flight: 1 });
    }
    assert_eq!(sequence.state(), DrainState::Finishing);
    assert!(now + TimeSpan::from_secs(1) < TimePoint::START + limit);
}

#[test]
fn drain_with_short_directory_ttl_waits_for_cached_entries() {
    let limit = TimeSpan::from_millis(5_500);
    let drain = front_node::drain_options(&options(TimeSpan::from_secs(1), limit));
    assert_eq!(drain.directory_lifetime, TimeSpan::from_secs(3));
}
