//! The expected bodies of targets' answers: a function of the service and the request, so that
//! callers can verify answers.

/// The length of a record.
const RECORD_BYTES: usize = 16;
/// The number of records in a shard's answer.
const RECORDS_PER_SHARD: usize = 12;

/// Returns the body with which every target of a service answers a request.
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

/// Returns the `count` greatest records over the bodies of the services, in descending order.
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

/// Extracts the service and the request id from a target's proof, `d-{target}-{request id}`;
/// `None` if it has another form.
#[must_use]
pub fn parse_proof(proof: &str) -> Option<(&str, &str)> {
    let (target, request_id) = proof.strip_prefix("d-")?.rsplit_once('-')?;
    let (service, _) = target.rsplit_once('.')?;
    Some((service, request_id))
}
