//! What targets answer: a function of their service and the request, so that a caller can tell a right
//! answer from a wrong one.

/// The length of a record in bytes.
const RECORD_BYTES: usize = 16;
/// The records that a shard answers.
const RECORDS_PER_SHARD: usize = 12;

/// Gets the body that every target of a service answers to a request.
#[must_use]
pub fn response_body(service: &str, request_id: &str) -> Vec<u8> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(service.as_bytes());
    hasher.update(b"/");
    hasher.update(request_id.as_bytes());
    let mut body = vec![0; RECORD_BYTES * RECORDS_PER_SHARD];
    hasher.finalize_xof().fill(&mut body);
    body
}

/// Gets the greatest records of several services' bodies, greatest first.
#[must_use]
pub fn greatest_records(services: &[&str], request_id: &str, count: usize) -> Vec<u8> {
    let bodies = services
        .iter()
        .map(|service| response_body(service, request_id));
    let mut records: Vec<Vec<u8>> = bodies
        .flat_map(|body| {
            body.chunks(RECORD_BYTES)
                .map(<[u8]>::to_vec)
                .collect::<Vec<_>>()
        })
        .collect();
    records.sort_unstable_by(|left, right| right.cmp(left));
    records.truncate(count);
    records.concat()
}

/// Gets the service and the request that a target's digest names; none where it is no digest.
#[must_use]
pub fn parse_proof(proof: &str) -> Option<(&str, &str)> {
    let (target, request_id) = proof.strip_prefix("d-")?.rsplit_once('-')?;
    let (service, _) = target.rsplit_once('.')?;
    Some((service, request_id))
}
