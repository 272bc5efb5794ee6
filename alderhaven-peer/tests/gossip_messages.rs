//! Tests of the encoding and the size bounds of datagrams.

use std::net::SocketAddr;

use alderhaven_core::ids::{IncarnationNumber, NodeId, StoreEra};
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::TimeSpan;
use alderhaven_peer::gossip_messages;
use alderhaven_peer::malformed_message::MalformedMessage;
use alderhaven_policy::membership::digest_progress::DigestProgress;
use alderhaven_policy::membership::gossip_message::{
    ENVELOPE_BYTES, GossipBody, GossipMessage, MemberUpdate, ReportGroup, SenderHeader,
    VIEW_BUCKETS,
};
use alderhaven_policy::membership::member_record::{
    ConfigDigest, CpuCapacity, LoadLevel, MemberRecord, MemberRole, MemberState, MemberVersion,
};
use alderhaven_policy::membership::store_answer::StoreAnswer;
use proptest::option;
use proptest::prelude::{
    Just, ProptestConfig, Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest,
};
use proptest::test_runner::RngSeed;

fn node() -> impl Strategy<Value = NodeId> {
    prop_oneof!["[a-z0-9]{1,63}", "[a-z]{63}"]
        .prop_map(|name| name.parse().expect("the text is a valid id"))
}

fn address() -> impl Strategy<Value = SocketAddr> {
    prop_oneof![
        any::<([u8; 4], u16)>().prop_map(SocketAddr::from),
        any::<([u16; 8], u16)>().prop_map(SocketAddr::from),
    ]
}

fn version() -> impl Strategy<Value = MemberVersion> {
    (any::<u64>(), any::<u32>()).prop_map(|(incarnation, refutation)| MemberVersion {
        incarnation: IncarnationNumber(incarnation),
        refutation,
    })
}

fn digest() -> impl Strategy<Value = ConfigDigest> {
    let highest = any::<(u64, u64)>()
        .prop_map(|(era, revision)| StoreVersion::of_revision(revision).in_era(StoreEra(era)));
    let progress =
        any::<(u64, u64, u64)>().prop_map(|(era_sum, version_sum, carry_sum)| DigestProgress {
            era_sum,
            version_sum,
            carry_sum,
        });
    (highest, progress, any::<u64>()).prop_map(|(highest, progress, hash)| ConfigDigest {
        highest,
        progress,
        hash,
    })
}

fn header() -> impl Strategy<Value = SenderHeader> {
    let numbers = any::<(bool, u32, u64, Option<(u32, u32)>)>();
    (node(), version(), digest(), numbers).prop_map(
        |(node, version, config, (is_leaving, load, view_hash, store_answer))| SenderHeader {
            node,
            version,
            is_leaving,
            load: LoadLevel(load),
            config,
            view_hash,
            store_answer: store_answer.map(|(origin, age)| StoreAnswer {
                origin,
                age: TimeSpan::from_millis(u64::from(age)),
            }),
        },
    )
}

fn body() -> impl Strategy<Value = GossipBody> {
    let buckets = any::<[u64; VIEW_BUCKETS]>();
    prop_oneof![
        Just(GossipBody::Updates),
        (any::<u32>(), node()).prop_map(|(sequence, target)| GossipBody::Ping { sequence, target }),
        (any::<u32>(), node(), address()).prop_map(|(sequence, target, address)| {
            GossipBody::PingRequest {
                sequence,
                target,
                address,
            }
        }),
        any::<u32>().prop_map(|sequence| GossipBody::Ack { sequence }),
        (any::<u32>(), option::of(node()), buckets).prop_map(|(sequence, after, buckets)| {
            GossipBody::SyncRequest {
                sequence,
                after,
                buckets: buckets.into(),
            }
        }),
        (any::<u32>(), option::of(node())).prop_map(|(sequence, after)| GossipBody::SyncReply {
            sequence,
            continue_after: after,
        }),
    ]
}

fn update() -> impl Strategy<Value = MemberUpdate> {
    let state = prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Leaving),
        Just(MemberState::Dead),
    ];
    let role = prop_oneof![Just(MemberRole::Entry), Just(MemberRole::Relay)];
    let others = (option::of(address()), option::of(address()));
    let record = option::of((role, node(), node(), address(), others));
    (node(), state, version(), record).prop_map(|(node, state, version, record)| MemberUpdate {
        state,
        version,
        record: record.map(
            |(role, host, domain, gossip_address, others)| MemberRecord {
                node: node.clone(),
                role,
                host: host.as_str().parse().expect("the text is a valid id"),
                domain: domain.as_str().parse().expect("the text is a valid id"),
                gossip_address,
                peer_address: others.0,
                caller_address: others.1,
                capacity: CpuCapacity(250),
            },
        ),
        node,
    })
}

fn report() -> impl Strategy<Value = ReportGroup> {
    let members = proptest::collection::vec(any::<u32>(), 1..200);
    (digest(), members).prop_map(|(config, members)| ReportGroup { config, members })
}

fn envelope() -> impl Strategy<Value = GossipMessage> {
    (header(), body()).prop_map(|(sender, body)| GossipMessage {
        sender,
        body,
        updates: Vec::new(),
        reports: Vec::new(),
    })
}

fn encoded_size(message: &GossipMessage) -> usize {
    gossip_messages::encode(message.clone()).len()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x0067_6f73),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn encode_round_trips(
        envelope in envelope(),
        updates in proptest::collection::vec(update(), 0..5),
        reports in proptest::collection::vec(report(), 0..3),
    ) {
        let message = GossipMessage { updates, reports, ..envelope };
        let bytes = gossip_messages::encode(message.clone());
        prop_assert_eq!(gossip_messages::decode(&bytes), Ok(message));
    }

    /// Datagrams are filled by these bounds; a larger part would exceed one packet.
    #[test]
    fn encode_stays_within_size_bounds(
        envelope in envelope(),
        update in update(),
        report in report(),
    ) {
        let envelope_size = encoded_size(&envelope);
        prop_assert!(envelope_size <= ENVELOPE_BYTES, "envelope of {envelope_size} bytes");
        let update_bound = update.size_bound();
        let report_bound = ReportGroup::size_bound(report.members.len());
        let with_update = GossipMessage { updates: vec![update], ..envelope.clone() };
        prop_assert!(encoded_size(&with_update) - envelope_size <= update_bound);
        let with_report = GossipMessage { reports: vec![report], ..envelope };
        prop_assert!(encoded_size(&with_report) - envelope_size <= report_bound);
    }

    #[test]
    fn decode_survives_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(message) = gossip_messages::decode(&bytes) {
            let decoded_again = gossip_messages::decode(&gossip_messages::encode(message.clone()));
            prop_assert_eq!(decoded_again, Ok(message));
        }
    }

    #[test]
    fn decode_rejects_other_protocol_versions(envelope in envelope()) {
        let mut bytes = gossip_messages::encode(envelope);
        // The first field is the protocol version: a tag byte, then a one-byte varint.
        prop_assert_eq!(bytes[0], 8);
        bytes[1] = 99;
        let rejected = gossip_messages::decode(&bytes);
        prop_assert_eq!(rejected, Err(MalformedMessage::UnsupportedProtocol(99)));
    }
}
