//! Tests of the object API's client, mainly that its errors tell calls that had no effect from calls
//! that may have taken effect.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use alderhaven_core::config_object::{ObjectKey, ObjectKind};
use alderhaven_core::ids::StoreEra;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::store_budget::StoreBudgetOptions;
use alderhaven_store::http_client::ClientOptions;
use alderhaven_store::http_store::{HttpStore, HttpStoreOptions};
use alderhaven_store::object_store::{
    ConditionalWrite, ObjectStore, StoreError, StoreResult, WatchOutcome, WriteOutcome,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Reaction of the scripted platform to one request.
#[derive(Clone, Copy)]
enum ScriptedReply {
    /// Responds with a status, extra headers and a body.
    Answer(&'static str, &'static str, &'static str),
    /// Responds with a status and a body, then closes the connection without announcing it.
    AnswerAndClose(&'static str, &'static str),
    /// Reads the request and closes the connection.
    Close,
    /// Reads the request and sends no response.
    Silence,
}

/// Starts a platform that sends `replies` in order over any number of connections and then repeats the
/// last one. Returns a client of it and the number of received requests.
async fn start_platform(replies: &'static [ScriptedReply]) -> (HttpStore, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a loopback port can be bound");
    let address = listener.local_addr().expect("the listener has an address");
    let request_count = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&request_count);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, replies, Arc::clone(&counter)));
        }
    });
    (store_at(address), request_count)
}

fn store_at(address: SocketAddr) -> HttpStore {
    store_with_idle_time(address, ClientOptions::default().max_idle_time)
}

fn store_with_idle_time(address: SocketAddr, max_idle_time: TimeSpan) -> HttpStore {
    let client = ClientOptions {
        call_timeout: TimeSpan::from_millis(200),
        max_idle_time,
        ..ClientOptions::default()
    };
    let options = HttpStoreOptions {
        client,
        ..HttpStoreOptions::default()
    };
    HttpStore::new(address, options)
}

async fn serve(
    mut stream: TcpStream,
    replies: &'static [ScriptedReply],
    request_count: Arc<AtomicUsize>,
) {
    while read_request(&mut stream).await {
        let index = request_count.fetch_add(1, Ordering::SeqCst);
        match replies[index.min(replies.len() - 1)] {
            ScriptedReply::Answer(status, headers, body) => {
                send_answer(&mut stream, status, headers, body).await;
            }
            ScriptedReply::AnswerAndClose(status, body) => {
                return send_answer(&mut stream, status, "", body).await;
            }
            ScriptedReply::Close => return,
            ScriptedReply::Silence => {
                // Keeps the connection open until the client closes it.
                let _closed = stream.read(&mut [0; 64]).await;
                return;
            }
        }
    }
}

async fn send_answer(stream: &mut TcpStream, status: &str, headers: &str, body: &str) {
    let text = format!(
        "HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(text.as_bytes())
        .await
        .expect("the connection is open");
}

/// Reads one request with its body. Returns false at the end of the connection.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut text = String::new();
    let mut buffer = [0; 1024];
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return false,
            Ok(count) => text.push_str(&String::from_utf8_lossy(&buffer[..count])),
        }
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .map_or(0, |length| length.parse().expect("a length"));
        if body.len() >= length {
            return true;
        }
    }
}

fn team_write() -> ConditionalWrite {
    ConditionalWrite {
        key: team_key("volta"),
        expected: StoreVersion::of_revision(3),
        write_id: "w1".to_owned(),
        body: Some("{}".to_owned()),
    }
}

fn team_key(name: &str) -> ObjectKey {
    ObjectKey {
        kind: ObjectKind::Team,
        name: name.to_owned(),
    }
}

fn is_not_done<T>(result: &StoreResult<T>) -> bool {
    matches!(result, Err(StoreError::NotDone { .. }))
}

fn is_unknown<T>(result: &StoreResult<T>) -> bool {
    matches!(result, Err(StoreError::Unknown { .. }))
}

const WRITTEN: &str =
    r#"{"key":{"kind":"team","name":"volta"},"version":4,"write_id":"w1","body":"{}"}"#;
const WRITTEN_BY_OTHER: &str =
    r#"{"key":{"kind":"team","name":"volta"},"version":4,"write_id":"w2","body":"{}"}"#;

#[tokio::test]
async fn write_parses_responses() {
    let (store, _) = start_platform(&[
        ScriptedReply::Answer("200 OK", "", WRITTEN),
        ScriptedReply::Answer("409 Conflict", "", WRITTEN_BY_OTHER),
        ScriptedReply::Answer("409 Conflict", "", "null"),
    ])
    .await;
    assert_eq!(
        store.write(team_write()).await,
        Ok(WriteOutcome::Written(StoreVersion::of_revision(4)))
    );
    let conflict = store.write(team_write()).await.expect("a response");
    assert!(matches!(conflict, WriteOutcome::Conflict(Some(other)) if other.write_id == "w2"));
    assert_eq!(
        store.write(team_write()).await,
        Ok(WriteOutcome::Conflict(None))
    );
}

#[tokio::test]
async fn write_refused_connection_is_not_done() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a loopback port can be bound");
    let address = listener.local_addr().expect("the listener has an address");
    drop(listener);
    assert!(is_not_done(&store_at(address).write(team_write()).await));
}

#[tokio::test]
async fn write_overload_is_not_done() {
    let (store, _) = start_platform(&[
        ScriptedReply::Answer("429 Too Many Requests", "retry-after-ms: 70\r\n", ""),
        ScriptedReply::Answer("503 Service Unavailable", "", ""),
    ])
    .await;
    let refused = store.write(team_write()).await;
    assert!(matches!(
        refused,
        Err(StoreError::NotDone { retry_after: Some(wait), .. }) if wait == TimeSpan::from_millis(70)
    ));
    assert!(is_not_done(&store.write(team_write()).await));
}

/// Guards against reporting a write as not done although it may have taken effect, and against sending
/// it twice: the connection breaks, stays silent, or delivers an invalid or foreign response.
#[tokio::test]
async fn write_without_valid_response_is_unknown() {
    let (store, request_count) = start_platform(&[
        ScriptedReply::Close,
        ScriptedReply::Silence,
        ScriptedReply::Answer("200 OK", "", "{"),
        ScriptedReply::Answer("200 OK", "", WRITTEN_BY_OTHER),
        ScriptedReply::Answer("500 Internal Server Error", "", ""),
    ])
    .await;
    for index in 1..=5 {
        assert!(
            is_unknown(&store.write(team_write()).await),
            "write {index}"
        );
        // The client sends each write exactly once.
        assert_eq!(request_count.load(Ordering::SeqCst), index);
    }
}

/// Guards against a failed call on an idle connection that the platform has closed: it is sent again on
/// a new connection.
#[tokio::test]
async fn get_closed_idle_connection_is_replaced() {
    let (store, request_count) = start_platform(&[
        ScriptedReply::AnswerAndClose("404 Not Found", ""),
        ScriptedReply::Answer("200 OK", "", WRITTEN),
    ])
    .await;
    assert_eq!(store.get(&team_key("volta")).await, Ok(None));
    let mut found = store.get(&team_key("volta")).await;
    // If the close arrives only after the request was written, the outcome is unknown: call again.
    while is_unknown(&found) {
        found = store.get(&team_key("volta")).await;
    }
    assert_eq!(
        found
            .expect("a response")
            .expect("an object")
            .version
            .revision,
        4
    );
    assert!(request_count.load(Ordering::SeqCst) >= 2);
}

#[tokio::test]
async fn watch_parses_responses() {
    let (store, _) = start_platform(&[
        ScriptedReply::Answer("410 Gone", "", ""),
        ScriptedReply::Answer("200 OK", "", r#"{"revision":9,"objects":[]}"#),
    ])
    .await;
    let kinds = ObjectKind::CONFIGURATION;
    let watch = async || {
        store
            .watch(
                &kinds,
                StoreVersion::of_revision(2),
                TimeSpan::from_millis(1),
            )
            .await
    };
    assert_eq!(watch().await, Ok(WatchOutcome::Compacted));
    let changes = watch().await.expect("a response");
    assert!(matches!(changes, WatchOutcome::Changes(list) if list.revision.revision == 9));
}

/// Guards against continuing a watch in a store that came back, whose revisions mean other writes.
#[tokio::test]
async fn watch_in_a_later_era_must_list_again() {
    let (store, _) = start_platform(&[ScriptedReply::Answer(
        "200 OK",
        "store-era: 3\r\n",
        r#"{"revision":9,"objects":[]}"#,
    )])
    .await;
    let after = StoreVersion::of_revision(2).in_era(StoreEra(2));
    let watch = store.watch(&ObjectKind::CONFIGURATION, after, TimeSpan::from_millis(1));
    assert_eq!(watch.await, Ok(WatchOutcome::Compacted));
    let after = after.in_era(StoreEra(3));
    let watch = store.watch(&ObjectKind::CONFIGURATION, after, TimeSpan::from_millis(1));
    let changes = watch.await.expect("a response");
    assert!(matches!(changes, WatchOutcome::Changes(list) if list.revision > after));
}

/// Guards against objects, absent ones too, and writes whose era is not known.
#[tokio::test]
async fn responses_tell_the_era() {
    let (store, _) = start_platform(&[
        ScriptedReply::Answer("200 OK", "store-era: 3\r\n", WRITTEN),
        ScriptedReply::Answer("404 Not Found", "store-era: 3\r\n", ""),
        ScriptedReply::Answer("200 OK", "store-era: 4\r\n", WRITTEN),
        ScriptedReply::Answer("200 OK", "store-era: x\r\n", WRITTEN),
    ])
    .await;
    let era = StoreEra(3);
    let key = team_key("volta");
    let found = store.get(&key).await.expect("a response");
    let found = found.expect("an object");
    assert_eq!(found.version, StoreVersion::of_revision(4).in_era(era));
    let absent = store.get(&key).await.expect("a response");
    let absent = absent.expect("a deleted object");
    assert_eq!(absent.version, StoreVersion::default().in_era(era));
    assert_eq!(absent.body, None);
    let write = ConditionalWrite {
        key: key.clone(),
        expected: found.version,
        write_id: found.write_id,
        body: found.body,
    };
    assert!(is_unknown(&store.write(write).await));
    assert!(is_unknown(&store.get(&key).await));
}

#[tokio::test]
async fn get_invalid_name_is_not_sent() {
    let (store, request_count) =
        start_platform(&[ScriptedReply::Answer("404 Not Found", "", "")]).await;
    for name in ["..", "a/b", "a?kinds=team", "a b", ""] {
        assert!(is_not_done(&store.get(&team_key(name)).await), "{name}");
    }
    assert_eq!(request_count.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn call_above_budget_is_not_sent() {
    let (store, request_count) =
        start_platform(&[ScriptedReply::Answer("404 Not Found", "", "")]).await;
    let budget = StoreBudgetOptions {
        reads: "0.001/s".parse().expect("a rate"),
        ..StoreBudgetOptions::default()
    };
    let options = HttpStoreOptions {
        budget,
        ..HttpStoreOptions::default()
    };
    let store = HttpStore::new(store.address(), options);
    assert_eq!(store.get(&team_key("volta")).await, Ok(None));
    assert!(is_not_done(&store.get(&team_key("volta")).await));
    assert_eq!(request_count.load(Ordering::SeqCst), 1);
}

/// Starts a platform whose connections each answer one list and then go silent.
async fn start_forgetful_platform() -> SocketAddr {
    const REPLIES: &[ScriptedReply] = &[
        ScriptedReply::Answer("200 OK", "", r#"{"revision":1,"objects":[]}"#),
        ScriptedReply::Silence,
    ];
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a loopback port can be bound");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, REPLIES, Arc::default()));
        }
    });
    address
}

/// Guards against a node that takes over the watch of the store and loses its first call to a connection
/// that went silent while it was idle.
#[tokio::test]
async fn call_on_a_long_idle_connection_uses_a_new_one() {
    let store = store_with_idle_time(start_forgetful_platform().await, TimeSpan::ZERO);
    let kinds = [ObjectKind::Template];
    for _ in 0..3 {
        let list = store.list(&kinds).await;
        assert!(list.is_ok(), "{list:?}");
    }
}

/// Guards against a call after a silent one that is lost to another silent connection.
#[tokio::test]
async fn dropped_call_closes_idle_connections() {
    let max_idle_time = TimeSpan::from_secs(60);
    let store = store_with_idle_time(start_forgetful_platform().await, max_idle_time);
    let kinds = [ObjectKind::Template];
    let (first, second) = tokio::join!(store.list(&kinds), store.list(&kinds));
    assert!(first.is_ok() && second.is_ok(), "{first:?} {second:?}");
    let silent = store.list(&kinds);
    let limit = std::time::Duration::from_millis(50);
    assert!(tokio::time::timeout(limit, silent).await.is_err());
    let list = store.list(&kinds).await;
    assert!(list.is_ok(), "{list:?}");
}

// One malformed object of another writer made the objects of all others unreadable.
#[tokio::test]
async fn list_malformed_object_hides_no_object() {
    const LIST: &str = r#"{"revision":9,"objects":[
        {"key":{"kind":"team","name":"a&b +%41/..#?"},"version":4,"write_id":"w1","body":"{}"},
        {"key":{"kind":"team"},"version":5,"write_id":"w2","body":"{}"},
        {"key":{"kind":"team","name":"x\ud800"},"version":5,"write_id":"w2","body":"{}"},
        {"key":{"kind":"unknown","name":"x"},"version":6,"write_id":"w3","body":"{}"},
        null,
        {"key":{"kind":"team","name":"volta"},"version":7,"write_id":"w4","body":"{}"}]}"#;
    const REPLIES: &[ScriptedReply] = &[ScriptedReply::Answer("200 OK", "", LIST)];
    let (store, _requests) = start_platform(REPLIES).await;
    let expected = ["a&b +%41/..#?", "volta"];
    let kinds = [ObjectKind::Team];
    let list = store.list(&kinds).await.expect("a list");
    let names = list.objects.iter().map(|object| object.key.name.as_str());
    assert_eq!(names.collect::<Vec<_>>(), expected);
    let after = StoreVersion::of_revision(3);
    let watched = store.watch(&kinds, after, TimeSpan::ZERO).await;
    let Ok(WatchOutcome::Changes(changes)) = watched else {
        panic!("{watched:?}");
    };
    let names = changes
        .objects
        .iter()
        .map(|object| object.key.name.as_str());
    assert_eq!(names.collect::<Vec<_>>(), expected);
}
