//! HTTP front end of the fake platform, with the protocol of `alderhaven_store::object_store` and
//! `host_list`.
//!
//! Tests have these calls in addition: `PUT` and `DELETE /hosts/{host}`, `GET` and `POST /faults`
//! ([`PlatformFaults`]), `POST /release` (applies held writes) and `GET /calls` (numbers of calls).

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::ids::HostId;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::TimeSpan;
use alderhaven_store::host_list::{HostRecord, HostSource};
use alderhaven_store::object_store::{
    ConditionalWrite, ERA_HEADER, IF_VERSION_HEADER, ObjectStore, RETRY_AFTER_MS_HEADER,
    StoreError, WRITE_ID_HEADER, WatchOutcome, WriteOutcome,
};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use hyper::body::Incoming;
use tokio_util::sync::CancellationToken;

use crate::fake_store::FakeStore;
use crate::http_server::{
    BodyError, ConnectionAborted, HttpReply, ServerHandle, json_reply, query_parameter, read_body,
    text_reply,
};
use crate::object_set::ObjectSet;
use crate::platform_faults::PlatformFaults;

/// Upper bound of the wait time that a watch requests.
const MAX_WATCH_WAIT: TimeSpan = TimeSpan::from_secs(30);

/// Address and initial content of a [`PlatformServer`].
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Address to listen on; port 0 selects a free one.
    pub listen: SocketAddr,
    /// Objects to write before the server starts.
    pub objects: Vec<ObjectSet>,
    /// Store that handles the calls.
    pub store: FakeStore,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            objects: Vec::new(),
            store: FakeStore::default(),
        }
    }
}

/// Running HTTP server of a [`FakeStore`].
#[derive(Debug)]
pub struct PlatformServer {
    store: FakeStore,
    server: ServerHandle,
    close_token: CancellationToken,
}

/// Error response of a call, or a connection to close without one.
enum CallError {
    Reply(Box<HttpReply>),
    Aborted,
}

impl From<HttpReply> for CallError {
    fn from(reply: HttpReply) -> Self {
        Self::Reply(Box::new(reply))
    }
}

impl From<BodyError> for CallError {
    fn from(error: BodyError) -> Self {
        error.reply().into()
    }
}

impl From<StoreError> for CallError {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Unknown { .. } => Self::Aborted,
            StoreError::NotDone {
                reason,
                retry_after: None,
            } => text_reply(StatusCode::SERVICE_UNAVAILABLE, reason).into(),
            StoreError::NotDone {
                reason,
                retry_after: Some(wait),
            } => {
                let mut reply = text_reply(StatusCode::TOO_MANY_REQUESTS, reason);
                let millis = HeaderValue::from(wait.as_micros().div_ceil(1_000));
                reply.headers_mut().insert(RETRY_AFTER_MS_HEADER, millis);
                reply.into()
            }
        }
    }
}

type CallResult = Result<HttpReply, CallError>;

impl PlatformServer {
    /// Writes the initial objects and starts to listen.
    ///
    /// # Errors
    /// The operating system's error where the address can't be bound, and `InvalidData` for an
    /// object that can't be serialized.
    pub async fn start(options: PlatformOptions) -> io::Result<Self> {
        let store = options.store;
        for set in &options.objects {
            let objects = set
                .objects()
                .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
            for (key, body) in objects {
                store.put(key, Some(body));
            }
        }
        let shared = store.clone();
        let close_token = CancellationToken::new();
        let shared_token = close_token.clone();
        let server = ServerHandle::start(options.listen, move |request| {
            let store = shared.clone();
            let shared_token = shared_token.clone();
            async move {
                let result = tokio::select! {
                    result = handle_request(&store, request) => result,
                    () = shared_token.cancelled() => Err(CallError::Aborted),
                };
                let mut reply = match result {
                    Ok(reply) => reply,
                    Err(CallError::Reply(reply)) => *reply,
                    Err(CallError::Aborted) => return Err(ConnectionAborted),
                };
                let era = HeaderValue::from(store.era().0);
                reply.headers_mut().insert(ERA_HEADER, era);
                Ok(reply)
            }
        })
        .await?;
        Ok(Self {
            store,
            server,
            close_token,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the store behind the server, to set faults and to write directly.
    #[must_use]
    pub const fn store(&self) -> &FakeStore {
        &self.store
    }

    /// Stops the server; calls in flight, such as watches, are aborted.
    pub async fn stop(&self) {
        self.close_token.cancel();
        self.server.stop().await;
    }
}

async fn handle_request(store: &FakeStore, request: Request<Incoming>) -> CallResult {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().to_owned();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    match (&parts.method, segments.as_slice()) {
        (&Method::GET, ["objects"]) => list(store, &parts).await,
        (&Method::GET, ["objects", kind, name]) => get(store, &object_key(kind, name)?).await,
        (&Method::PUT, ["objects", kind, name]) => {
            let body = read_text(body).await?;
            write(store, &parts.headers, object_key(kind, name)?, Some(body)).await
        }
        (&Method::DELETE, ["objects", kind, name]) => {
            write(store, &parts.headers, object_key(kind, name)?, None).await
        }
        (&Method::GET, ["watch"]) => watch(store, &parts).await,
        (&Method::GET, ["hosts"]) => Ok(json_reply(StatusCode::OK, &store.hosts().await?)),
        (&Method::PUT, ["hosts", _]) => {
            let record: HostRecord = read_json(body).await?;
            store.put_host(record);
            Ok(text_reply(StatusCode::OK, ""))
        }
        (&Method::DELETE, ["hosts", host]) => {
            let host: HostId = host.parse().map_err(bad_request)?;
            store.remove_host(&host);
            Ok(text_reply(StatusCode::OK, ""))
        }
        (&Method::GET, ["faults"]) => Ok(json_reply(StatusCode::OK, &store.faults())),
        (&Method::POST, ["faults"]) => {
            let faults: PlatformFaults = read_json(body).await?;
            store.set_faults(faults);
            Ok(json_reply(StatusCode::OK, &store.faults()))
        }
        (&Method::POST, ["release"]) => {
            store.release_held_writes();
            Ok(text_reply(StatusCode::OK, ""))
        }
        (&Method::GET, ["calls"]) => Ok(json_reply(StatusCode::OK, &store.call_counts())),
        _ => Ok(text_reply(StatusCode::NOT_FOUND, "unknown path or method")),
    }
}

async fn list(store: &FakeStore, parts: &Parts) -> CallResult {
    let list = store.list(&parse_kinds(parts)?).await?;
    Ok(json_reply(StatusCode::OK, &list))
}

async fn get(store: &FakeStore, key: &ObjectKey) -> CallResult {
    let object = store.get(key).await?;
    Ok(object.filter(is_known).map_or_else(
        || text_reply(StatusCode::NOT_FOUND, "the object does not exist"),
        |object| json_reply(StatusCode::OK, &object),
    ))
}

async fn write(
    store: &FakeStore,
    headers: &HeaderMap,
    key: ObjectKey,
    body: Option<String>,
) -> CallResult {
    let write = ConditionalWrite {
        expected: StoreVersion::of_revision(header_number(headers, IF_VERSION_HEADER)?)
            .in_era(store.era()),
        write_id: header_text(headers, WRITE_ID_HEADER)?.to_owned(),
        key,
        body,
    };
    let mut written = StoredObject {
        key: write.key.clone(),
        version: write.expected,
        write_id: write.write_id.clone(),
        body: write.body.clone(),
    };
    match store.write(write).await? {
        WriteOutcome::Written(version) => {
            written.version = version;
            Ok(json_reply(StatusCode::OK, &written))
        }
        WriteOutcome::Conflict(current) => {
            let current = current.filter(is_known);
            Ok(json_reply(StatusCode::CONFLICT, &current))
        }
    }
}

/// Returns true if the store has the object or its tombstone.
const fn is_known(object: &StoredObject) -> bool {
    object.version.revision > 0
}

async fn watch(store: &FakeStore, parts: &Parts) -> CallResult {
    let kinds = parse_kinds(parts)?;
    let after = StoreVersion::of_revision(query_number(parts, "after")?).in_era(store.era());
    let wait = TimeSpan::from_millis(query_number(parts, "wait_ms")?).min(MAX_WATCH_WAIT);
    match store.watch(&kinds, after, wait).await? {
        WatchOutcome::Changes(list) => Ok(json_reply(StatusCode::OK, &list)),
        WatchOutcome::Compacted => Ok(text_reply(
            StatusCode::GONE,
            "the revision is not available: list again",
        )),
    }
}

fn parse_kinds(parts: &Parts) -> Result<Vec<ObjectKind>, CallError> {
    query_parameter(parts.uri.query(), "kinds")
        .unwrap_or_default()
        .split(',')
        .map(|kind| kind.parse().map_err(bad_request))
        .collect()
}

fn query_number(parts: &Parts, name: &str) -> Result<u64, CallError> {
    query_parameter(parts.uri.query(), name)
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| bad_request(format!("parameter `{name}` must be a whole number")))
}

fn object_key(kind: &str, name: &str) -> Result<ObjectKey, CallError> {
    // Object names follow the rules of host names: same characters, same length.
    let name: HostId = name.parse().map_err(bad_request)?;
    Ok(ObjectKey {
        kind: kind.parse().map_err(bad_request)?,
        name: name.to_string(),
    })
}

fn header_text<'h>(headers: &'h HeaderMap, name: &str) -> Result<&'h str, CallError> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .ok_or_else(|| bad_request(format!("header `{name}` is required")))
}

fn header_number(headers: &HeaderMap, name: &str) -> Result<u64, CallError> {
    header_text(headers, name)?
        .parse()
        .map_err(|_| bad_request(format!("header `{name}` must be a whole number")))
}

async fn read_text(body: Incoming) -> Result<String, CallError> {
    let bytes = read_body(body).await?;
    String::from_utf8(bytes.to_vec()).map_err(bad_request)
}

async fn read_json<T: serde::de::DeserializeOwned>(body: Incoming) -> Result<T, CallError> {
    let bytes = read_body(body).await?;
    serde_json::from_slice(&bytes).map_err(bad_request)
}

fn bad_request(reason: impl std::fmt::Display) -> CallError {
    text_reply(StatusCode::BAD_REQUEST, reason.to_string()).into()
}
