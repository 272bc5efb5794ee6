//! Credit messages on the wire.

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_front::credit_messages;
use alderhaven_peer::control_messages::{self, ControlMessage};
use alderhaven_policy::pool_messages::{
    PoolQuery, PoolReply, ProcessEpoch, ShareOffer, TeamDemand, TeamGrant,
};

/// Largest datagram that networks pass without fragments, with a reserve for headers.
const MAX_DATAGRAM_BYTES: usize = 1_400;

fn query(teams: usize) -> PoolQuery {
    let demands = (0..teams).map(|team| TeamDemand {
        team: format!("team-with-a-long-name-{team}")
            .parse()
            .expect("valid team"),
        wanted: 9,
        returned: 3,
        granted_at: TimePoint::from_micros((1 << 40) - 1),
    });
    PoolQuery {
        number: 1 << 24,
        node: "front-region-a-domain-3-host-17"
            .parse()
            .expect("valid node"),
        epoch: ProcessEpoch(1 << 60),
        offer: Some(ShareOffer {
            pool_epoch: ProcessEpoch(1 << 61),
            pool_time: TimePoint::from_micros(1 << 40),
            share: 0.125,
        }),
        teams: demands.collect(),
    }
}

/// Guards against fields that are lost or mixed up on the wire, and against fragments.
#[test]
fn encode_query_round_trip() {
    for (teams, max_bytes) in [(0, 90), (1, 130), (32, MAX_DATAGRAM_BYTES)] {
        let sent = query(teams);
        let message = ControlMessage::CreditQuery(credit_messages::encode_query(&sent));
        let bytes = control_messages::encode(message);
        assert!(bytes.len() <= max_bytes, "{} bytes", bytes.len());
        let Ok(Some(ControlMessage::CreditQuery(received))) = control_messages::decode(&bytes)
        else {
            panic!("the query is decoded");
        };
        assert_eq!(credit_messages::decode_query(&received), Some(sent));
    }
}

/// Guards against fields that are lost or mixed up on the wire.
#[test]
fn encode_reply_round_trip() {
    let sent = PoolReply {
        number: 1 << 24,
        pool_epoch: ProcessEpoch(1 << 61),
        pool_time: TimePoint::from_micros(1 << 40),
        grants: vec![TeamGrant {
            team: "team-with-a-long-name".parse().expect("valid team"),
            granted: 4,
            available_after: TimeSpan::from_millis(52),
        }],
    };
    let message = ControlMessage::CreditReply(credit_messages::encode_reply(&sent));
    let bytes = control_messages::encode(message);
    assert!(bytes.len() <= 80, "{} bytes", bytes.len());
    let Ok(Some(ControlMessage::CreditReply(received))) = control_messages::decode(&bytes) else {
        panic!("the reply is decoded");
    };
    assert_eq!(credit_messages::decode_reply(&received), sent);
}
