//! Server for the connections from entries: takes their attempts, cancellations and crash strikes.

use std::sync::Arc;
use std::time::Duration;

use alderhaven_core::class::QueryClass;
use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::ids::{AttemptId, IndexVersion, ShardId, SnapshotId, TemplateName};
use alderhaven_core::outcome::{AttemptOutcome, NotRunReason};
use alderhaven_core::time::TimeSpan;
use alderhaven_node::stop_handle::StopHandle;
use alderhaven_peer::connection;
use alderhaven_peer::connection::{FrameReader, FrameSender};
use alderhaven_peer::frames::{
    AttemptReply, CancelAttempts, LeavingNotice, PeerMessage, ReplyStatus, ScatterAttempt,
    ScatterRequest,
};
use alderhaven_store::target_dialect::TargetRequest;
use prometheus_client::metrics::counter::Counter;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time;

use crate::dispatcher_table::DispatcherTable;
use crate::relay_attempt::RelayAttempt;

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Upper limit on the remaining time of an attempt; it bounds how long the relay holds it.
const MAX_REMAINING: TimeSpan = TimeSpan::from_secs(60);

/// Silence after which the connection of an entry that sends pings is closed. An entry replaces a
/// silent connection earlier than that.
const ENTRY_SILENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts connections from entries until the task is dropped.
///
/// A connection above the limit is closed at once. If it stayed in the operating system's accept
/// queue, it would look open to the entry, which would send attempts on it.
pub async fn serve(
    listener: TcpListener,
    table: Arc<DispatcherTable>,
    stop: StopHandle,
    connection_limit: usize,
    refused_connections: Counter,
) {
    let permits = Arc::new(Semaphore::new(connection_limit));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Usually out of file descriptors, which may become free.
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            refused_connections.inc();
            continue;
        };
        let table = Arc::clone(&table);
        let stop = stop.clone();
        tokio::spawn(async move {
            serve_entry(stream, &table, &stop).await;
            drop(permit);
        });
    }
}

/// Serves one entry until its connection ends.
///
/// When the relay starts to leave, the entry is notified on this connection, so that it uses other
/// relays before gossip reaches it. Attempts that still arrive are run, unless they may last longer
/// than the relay.
async fn serve_entry(stream: TcpStream, table: &DispatcherTable, stop: &StopHandle) {
    let Ok((sender, mut reader)) = connection::split(stream) else {
        return;
    };
    let _strike_subscription = table.strikes().subscribe(sender.clone());
    let mut has_pinged = false;
    let leaving = stop.leaving();
    tokio::pin!(leaving);
    let mut is_notified = false;
    loop {
        tokio::select! {
            message = next_entry_message(&mut reader, has_pinged) => match message {
                Some(message) => {
                    has_pinged |= matches!(message, PeerMessage::Ping(_));
                    handle_message(table, &sender, message, stop.remaining_run_time());
                }
                None => return,
            },
            () = &mut leaving, if !is_notified => {
                is_notified = true;
                let _entry_gone = sender.send(PeerMessage::Leaving(LeavingNotice {}));
            }
        }
    }
}

/// Reads the next message. Returns `None` at the end of the connection, or if an entry that has
/// sent pings is silent for [`ENTRY_SILENCE_TIMEOUT`].
async fn next_entry_message(reader: &mut FrameReader, has_pinged: bool) -> Option<PeerMessage> {
    if !has_pinged {
        return connection::next_message(reader).await;
    }
    time::timeout(ENTRY_SILENCE_TIMEOUT, connection::next_message(reader))
        .await
        .ok()
        .flatten()
}

fn handle_message(
    table: &DispatcherTable,
    sender: &FrameSender,
    message: PeerMessage,
    run_time: Option<TimeSpan>,
) {
    match message {
        PeerMessage::Scatter(request) => offer_attempts(table, sender, &request, run_time),
        PeerMessage::Cancel(cancel) => cancel_attempts(table, &cancel),
        PeerMessage::Strikes(notice) => table.strikes().merge(&notice),
        PeerMessage::Ping(ping) => {
            let _entry_gone = sender.send(PeerMessage::Pong(ping));
        }
        PeerMessage::Hello(_)
        | PeerMessage::Reply(_)
        | PeerMessage::Leaving(_)
        | PeerMessage::Pong(_)
        | PeerMessage::Exchange(_)
        | PeerMessage::ClaimQuery(_)
        | PeerMessage::ClaimAnswer(_)
        | PeerMessage::GroupRequest(_)
        | PeerMessage::GroupReply(_)
        | PeerMessage::GroupClose(_) => {}
    }
}

/// Offers attempts to their targets. `run_time` is the time until a stopping relay gives its final
/// answers.
fn offer_attempts(
    table: &DispatcherTable,
    sender: &FrameSender,
    request: &ScatterRequest,
    run_time: Option<TimeSpan>,
) {
    let arrived_at = table.clock().now();
    let remaining_time = TimeSpan::from_micros(request.remaining_us).min(MAX_REMAINING);
    if run_time.is_some_and(|run_time| run_time < remaining_time) {
        for attempt in &request.attempts {
            reply_no_route(sender, attempt.sequence);
        }
        return;
    }
    let class = QueryClass::from_rank(u8::try_from(request.class).unwrap_or(u8::MAX));
    let template: Option<TemplateName> = request.template.parse().ok();
    let fingerprint = RequestFingerprint::of_canonical(&request.template, &request.parameters);
    for attempt in &request.attempts {
        let (Some(dispatcher), Some(template)) = (table.dispatcher_for(attempt), template.clone())
        else {
            reply_no_route(sender, attempt.sequence);
            continue;
        };
        dispatcher.offer(RelayAttempt {
            request: target_request(request, attempt),
            template,
            fingerprint,
            is_idempotent: request.idempotent,
            class,
            order: request.order,
            is_hedge: request.is_hedge,
            deadline: arrived_at + remaining_time,
            arrived_at,
            reply_to: sender.clone(),
        });
    }
}

fn target_request(request: &ScatterRequest, attempt: &ScatterAttempt) -> TargetRequest {
    TargetRequest {
        attempt: AttemptId {
            origin: request.origin,
            sequence: attempt.sequence,
        },
        service: request.service.clone(),
        template: request.template.clone(),
        snapshot: SnapshotId(request.snapshot),
        shard: ShardId(attempt.shard),
        version: IndexVersion(attempt.version),
        remaining: TimeSpan::from_micros(request.remaining_us),
        parameters: request.parameters.clone(),
    }
}

fn reply_no_route(sender: &FrameSender, sequence: u64) {
    let reply = AttemptReply {
        sequence,
        status: ReplyStatus::from(AttemptOutcome::NotRun(NotRunReason::NoRoute)).into(),
        ..AttemptReply::default()
    };
    let _entry_gone = sender.send(PeerMessage::Reply(reply));
}

fn cancel_attempts(table: &DispatcherTable, cancel: &CancelAttempts) {
    for attempt in &cancel.attempts {
        for dispatcher in table.dispatchers_of(&attempt.target) {
            dispatcher.cancel(AttemptId {
                origin: cancel.origin,
                sequence: attempt.sequence,
            });
        }
    }
}
