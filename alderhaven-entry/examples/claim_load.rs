//! Load test of the claim ledger: several entries claim keys at a constant rate in one in-memory
//! store.
//!
//! `cargo run --release --example claim_load -- [claims/s] [entries] [store ms] [seconds] [writes/s]`
//! prints one JSON line. Arrivals are open-loop: latency is measured from the scheduled time.

use std::env;
use std::sync::Arc;
use std::time::Duration;

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::TimeSpan;
use alderhaven_entry::claim_ledger::ClaimLedger;
use alderhaven_entry::claim_metrics::ClaimMetrics;
use alderhaven_policy::claim_fingerprint::ClaimFingerprint;
use alderhaven_policy::claim_options::ClaimOptions;
use alderhaven_policy::claim_verdict::ClaimVerdict;
use alderhaven_standin::fake_store::FakeStore;
use alderhaven_standin::platform_faults::PlatformFaults;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Longest duration of a run.
const MAX_SECONDS: u64 = 60;

#[tokio::main]
async fn main() {
    let rate = argument(1, 500);
    let entries = argument(2, 8).max(1);
    let store_ms = argument(3, 5);
    let seconds = argument(4, 10).min(MAX_SECONDS);
    let writes = argument(5, 3);
    let store = FakeStore::default();
    store.set_faults(PlatformFaults {
        delay_ms: store_ms,
        ..PlatformFaults::default()
    });
    let options = ClaimOptions {
        writes: format!("{writes}/s").parse().unwrap_or_default(),
        ..ClaimOptions::default()
    };
    let clock = ProcessClock::default();
    let address = ([127, 0, 0, 1], 1).into();
    let ledgers: Vec<_> = (0..entries)
        .filter_map(|number| format!("entry-{number}").parse().ok())
        .map(|node| {
            let store = Arc::new(store.clone());
            let metrics = ClaimMetrics::default();
            let ledger = Arc::new(ClaimLedger::new(
                store, node, address, options, clock, metrics,
            ));
            tokio::spawn(Arc::clone(&ledger).run_forever());
            ledger
        })
        .collect();
    let mut claims = JoinSet::new();
    let began = Instant::now();
    for number in 0..rate * seconds {
        let due = began + Duration::from_micros(number * 1_000_000 / rate.max(1));
        tokio::time::sleep_until(due).await;
        let position = usize::try_from(number % entries).unwrap_or(0);
        let ledger = Arc::clone(&ledgers[position]);
        claims.spawn(async move { timed_claim(&ledger, clock, due).await });
    }
    let mut latencies = Vec::new();
    let mut refused = 0;
    while let Some(done) = claims.join_next().await {
        match done {
            Ok(Some(latency)) => latencies.push(latency),
            _ => refused += 1,
        }
    }
    latencies.sort_unstable();
    let elapsed = began.elapsed().as_secs_f64();
    let sum = |count: fn(&alderhaven_policy::claim_batcher::ClaimCounts) -> u64| -> u64 {
        ledgers
            .iter()
            .map(|ledger| count(&ledger.report().counts))
            .sum()
    };
    let granted = sum(|counts| counts.granted);
    let tried = sum(|counts| counts.writes);
    let written = sum(|counts| counts.written);
    let bytes = sum(|counts| counts.written_bytes);
    let line = json!({
        "rate": rate, "entries": entries, "store_ms": store_ms, "writes_each": writes,
        "granted": granted, "refused": refused,
        "claims_per_write": ratio(granted, tried),
        "writes_per_second": tried as f64 / elapsed,
        "reads_per_second": sum(|counts| counts.reads) as f64 / elapsed,
        "conflict_share": ratio(tried - written, tried),
        "bytes_per_write": ratio(bytes, tried),
        "bytes_per_second_an_entry": bytes as f64 / elapsed / entries as f64,
        "bytes_per_claim_held": held_bytes_per_claim(&store, granted),
        "p50_ms": quantile_ms(&latencies, 0.50), "p99_ms": quantile_ms(&latencies, 0.99),
        "max_ms": quantile_ms(&latencies, 1.0),
    });
    println!("{line}");
}

fn argument(position: usize, default: u64) -> u64 {
    env::args()
        .nth(position)
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

async fn timed_claim(
    ledger: &ClaimLedger<FakeStore>,
    clock: ProcessClock,
    due: Instant,
) -> Option<Duration> {
    let key = uuid::Uuid::now_v7().to_string().parse().ok()?;
    let fingerprint = ClaimFingerprint::from_bits(rand::random());
    let deadline = clock.now() + TimeSpan::from_secs(10);
    let verdict = ledger.claim(key, fingerprint, deadline).await;
    matches!(verdict, ClaimVerdict::Granted(_)).then(|| due.elapsed())
}

fn held_bytes_per_claim(store: &FakeStore, granted: u64) -> f64 {
    let kinds = [alderhaven_core::config_object::ObjectKind::Claims];
    let bytes: usize = store
        .table()
        .list(&kinds)
        .objects
        .iter()
        .filter_map(|object| object.body.as_ref())
        .map(String::len)
        .sum();
    ratio(bytes as u64, granted)
}

fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

fn quantile_ms(sorted: &[Duration], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1) as f64;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share of a position is a position"
    )]
    let position = (last * share).round() as usize;
    sorted
        .get(position)
        .map_or(0.0, |latency| latency.as_secs_f64() * 1e3)
}
