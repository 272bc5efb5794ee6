//! Tests of bodies that are read into accounted buffers.

use std::sync::Arc;

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::quantities::ByteSize;
use alderhaven_intake::body_error::BodyError;
use alderhaven_intake::byte_ledger::ByteLedger;
use alderhaven_intake::held_buffer::HeldBuffer;
use alderhaven_intake::held_bytes::HeldBytes;
use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http_body::Frame;
use http_body_util::{Full, StreamBody};
use tokio_util::sync::CancellationToken;

const MAX: ByteSize = ByteSize::from_kib(256);

fn ledger(kib: usize) -> Arc<ByteLedger> {
    let size = ByteSize::from_kib(kib);
    Arc::new(ByteLedger::new(size, ProcessClock::default()))
}

/// Builds a body of these pieces that ends, or stalls after them.
fn body(
    pieces: Vec<Bytes>,
    stalls: bool,
) -> impl http_body::Body<Data = Bytes, Error = std::io::Error> {
    let frames = stream::iter(pieces).map(|piece| Ok(Frame::data(piece)));
    let end = stream::once(async move {
        if stalls {
            std::future::pending::<()>().await;
        }
        Ok(Frame::data(Bytes::new()))
    });
    StreamBody::new(Box::pin(frames.chain(end)))
}

async fn read(ledger: &Arc<ByteLedger>, pieces: Vec<Bytes>) -> Result<HeldBytes, BodyError> {
    let mut buffer = HeldBuffer::new(Arc::clone(ledger), MAX);
    buffer.read(body(pieces, false)).await?;
    buffer.finish(None)
}

fn held(ledger: &ByteLedger) -> usize {
    ledger.figures().held.as_bytes()
}

/// Guards against bytes in use that are no longer accounted for, and against accounts that outlast them.
#[tokio::test]
async fn read_accounts_while_any_part_is_in_use() {
    let ledger = ledger(1_024);
    let pieces: Vec<Bytes> = (0..100_u8)
        .map(|byte| Bytes::from(vec![byte; 1_000]))
        .collect();
    let whole = pieces.concat();
    let body = read(&ledger, pieces).await.expect("the body is held");
    assert_eq!(body.bytes(), &whole);
    let part = body.into_bytes().slice(10..20);
    assert!(held(&ledger) >= whole.len());
    drop(part);
    assert_eq!(held(&ledger), 0);
}

/// Guards against pieces of one byte that cost more than their payload.
#[tokio::test]
async fn read_pieces_of_one_byte_cost_little_more_than_their_payload() {
    let ledger = ledger(1_024);
    let buffer = Bytes::from(vec![7; 16 << 10]);
    let pieces = (0..60_000).map(|index| buffer.slice(index % 1_000..=index % 1_000));
    let body = read(&ledger, pieces.collect())
        .await
        .expect("the body is held");
    assert_eq!(body.bytes().len(), 60_000);
    assert!(held(&ledger) <= 90_000, "{} bytes", held(&ledger));
}

/// Guards against a body that stalls and keeps others out.
#[tokio::test]
async fn read_stalled_body_gives_way() {
    let ledger = ledger(100);
    let mut stalled = HeldBuffer::new(Arc::clone(&ledger), MAX);
    let pieces = vec![Bytes::from(vec![1; 60 << 10])];
    let reading = stalled.read(body(pieces, true));
    let (ended, other) = tokio::join!(reading, async {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        read(&ledger, vec![Bytes::from(vec![2; 60 << 10])]).await
    });
    let received = ByteSize::from_kib(60);
    assert_eq!(ended, Err(BodyError::NoMemory { received }));
    assert!(other.is_ok());
    assert_eq!(ledger.figures().evicted, 1);
}

/// Guards against a body that is read although it announces more than is allowed.
#[tokio::test]
async fn read_announced_excess_is_refused_at_once() {
    let ledger = ledger(1_024);
    let mut buffer = HeldBuffer::new(Arc::clone(&ledger), ByteSize::from_kib(1));
    let read = buffer.read(Full::new(Bytes::from(vec![0; 1_025]))).await;
    assert_eq!(read, Err(BodyError::TooLarge));
    assert_eq!(held(&ledger), 0);
}

/// Guards against answers that their callers don't take and that keep others from memory.
#[tokio::test]
async fn account_leaving_answer_gives_way() {
    let ledger = ledger(100);
    let closing = CancellationToken::new();
    let answer = HeldBytes::account(Bytes::from(vec![1; 60 << 10]), &ledger);
    answer.set_leaving(&closing);
    std::thread::sleep(std::time::Duration::from_millis(2));
    let other = HeldBytes::account(Bytes::from(vec![2; 60 << 10]), &ledger);
    assert!(closing.is_cancelled());
    assert_eq!(held(&ledger), 60 << 10);
    drop((answer, other));
    assert_eq!(held(&ledger), 0);
}
