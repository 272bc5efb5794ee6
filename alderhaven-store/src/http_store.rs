//! HTTP client for the platform's object API that limits the rate of its calls.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::store_budget::{StoreBudget, StoreBudgetOptions, StoreCall};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::time::Instant;

use crate::http_client::{ClientOptions, ClientResponse, HttpClient};
use crate::object_store;
use crate::object_store::{
    ConditionalWrite, ERA_HEADER, IF_VERSION_HEADER, MAX_VALUE_BYTES, ObjectList, ObjectStore,
    StoreError, StoreResult, WRITE_ID_HEADER, WatchOutcome, WriteOutcome,
};
use crate::readable_entries::ReadableEntries;

/// Limits of an [`HttpStore`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HttpStoreOptions {
    /// The limits of connections, timeouts and sizes.
    pub client: ClientOptions,
    /// The limits of calls per second.
    pub budget: StoreBudgetOptions,
}

/// Object API at one address of the platform.
#[derive(Debug)]
pub struct HttpStore {
    client: HttpClient,
    budget: Mutex<StoreBudget>,
    started_at: Instant,
}

/// An [`ObjectList`] whose objects aren't parsed yet.
#[derive(Debug, Deserialize)]
struct ListText {
    revision: StoreVersion,
    objects: Vec<Box<RawValue>>,
}

impl HttpStore {
    /// Creates a client for the API at `address`. Connections are opened by calls.
    #[must_use]
    pub fn new(address: SocketAddr, options: HttpStoreOptions) -> Self {
        Self {
            client: HttpClient::new(address, options.client),
            budget: Mutex::new(StoreBudget::new(options.budget, TimePoint::START)),
            started_at: Instant::now(),
        }
    }

    /// Returns the address that calls connect to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.client.address()
    }

    async fn call(
        &self,
        call: StoreCall,
        request: Request<Full<Bytes>>,
        wait: TimeSpan,
    ) -> StoreResult<ClientResponse> {
        let now = TimePoint::START + TimeSpan::from(self.started_at.elapsed());
        let acquired = self
            .budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take(call, now);
        if let Err(retry_after) = acquired {
            return Err(StoreError::NotDone {
                reason: "the budget of store calls is exhausted".to_owned(),
                retry_after: Some(retry_after),
            });
        }
        self.client.call(request, wait).await
    }

    fn build_read(&self, path: &str) -> StoreResult<Request<Full<Bytes>>> {
        Request::get(path)
            .header(http::header::HOST, self.client.host_header())
            .body(Full::default())
            .map_err(StoreError::not_done)
    }

    fn build_write(&self, write: &ConditionalWrite) -> StoreResult<Request<Full<Bytes>>> {
        let size = write.body.as_ref().map_or(0, String::len);
        if size > MAX_VALUE_BYTES {
            return Err(StoreError::not_done(format!(
                "{}: the body of {size} bytes exceeds the platform's limit of {MAX_VALUE_BYTES} bytes",
                write.key
            )));
        }
        let path = object_path(&write.key)?;
        let request = match write.body {
            Some(_) => Request::put(path),
            None => Request::delete(path),
        };
        request
            .header(http::header::HOST, self.client.host_header())
            .header(IF_VERSION_HEADER, write.expected.revision)
            .header(WRITE_ID_HEADER, write.write_id.as_str())
            .body(Full::from(write.body.clone().unwrap_or_default()))
            .map_err(StoreError::not_done)
    }
}

impl ObjectStore for HttpStore {
    async fn list(&self, kinds: &[ObjectKind]) -> StoreResult<ObjectList> {
        let request = self.build_read(&format!("/objects?kinds={}", join_kinds(kinds)))?;
        let response = self.call(StoreCall::Read, request, TimeSpan::ZERO).await?;
        let era = response.store_era(&ERA_HEADER)?;
        match response.status {
            StatusCode::OK => Ok(parse_list(&response)?.in_era(era)),
            _ => Err(response.unexpected_status()),
        }
    }

    async fn get(&self, key: &ObjectKey) -> StoreResult<Option<StoredObject>> {
        let request = self.build_read(&object_path(key)?)?;
        let response = self.call(StoreCall::Read, request, TimeSpan::ZERO).await?;
        match response.status {
            StatusCode::OK => parse_object(&response, key),
            StatusCode::NOT_FOUND => {
                let era = response.store_era(&ERA_HEADER)?;
                Ok(object_store::absent_object(key, era))
            }
            _ => Err(response.unexpected_status()),
        }
    }

    async fn write(&self, write: ConditionalWrite) -> StoreResult<WriteOutcome> {
        let request = self.build_write(&write)?;
        let response = self.call(StoreCall::Write, request, TimeSpan::ZERO).await?;
        match response.status {
            StatusCode::OK => {
                let era = response.store_era(&ERA_HEADER)?;
                write.check_era(era)?;
                let written: StoredObject = response.parse_json()?;
                if written.write_id == write.write_id && written.key == write.key {
                    Ok(WriteOutcome::Written(written.version.in_era(era)))
                } else {
                    Err(StoreError::unknown("the response belongs to another write"))
                }
            }
            StatusCode::CONFLICT => parse_object(&response, &write.key).map(WriteOutcome::Conflict),
            _ => Err(response.unexpected_status()),
        }
    }

    async fn watch(
        &self,
        kinds: &[ObjectKind],
        after: StoreVersion,
        wait: TimeSpan,
    ) -> StoreResult<WatchOutcome> {
        let request = self.build_read(&format!(
            "/watch?kinds={}&after={}&wait_ms={}",
            join_kinds(kinds),
            after.revision,
            wait.as_millis()
        ))?;
        let response = self.call(StoreCall::Read, request, wait).await?;
        let era = response.store_era(&ERA_HEADER)?;
        match response.status {
            StatusCode::OK => {
                let changes = parse_list(&response)?.in_era(era);
                Ok(WatchOutcome::of_changes(after, changes))
            }
            StatusCode::GONE => Ok(WatchOutcome::Compacted),
            _ => Err(response.unexpected_status()),
        }
    }
}

fn join_kinds(kinds: &[ObjectKind]) -> String {
    let names: Vec<&str> = kinds.iter().map(|kind| kind.as_str()).collect();
    names.join(",")
}

/// Parses a list without the objects that other writers malformed.
fn parse_list(response: &ClientResponse) -> StoreResult<ObjectList> {
    let text = String::from_utf8_lossy(&response.body);
    let list: ListText = serde_json::from_str(&text).map_err(StoreError::unknown)?;
    Ok(ObjectList {
        revision: list.revision,
        objects: ReadableEntries::parse(&list.objects).into_entries(),
    })
}

/// Parses an object, or `null` if there is none.
fn parse_object(response: &ClientResponse, key: &ObjectKey) -> StoreResult<Option<StoredObject>> {
    let era = response.store_era(&ERA_HEADER)?;
    let Some(object) = response.parse_json::<Option<StoredObject>>()? else {
        return Ok(object_store::absent_object(key, era));
    };
    Ok(Some(StoredObject {
        version: object.version.in_era(era),
        ..object
    }))
}

/// Returns the path of an object. Rejects names that would change the structure of the path.
fn object_path(key: &ObjectKey) -> StoreResult<String> {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    let is_dots = key.name.bytes().all(|byte| byte == b'.');
    if is_dots || !key.name.bytes().all(is_plain) {
        return Err(StoreError::not_done(format!(
            "`{}` is not a valid object name",
            key.name
        )));
    }
    Ok(format!("/objects/{}/{}", key.kind, key.name))
}
