//! Stand-in of the platform's metadata store: lists and watches of objects by kind. Only operators and
//! servers write to it, by calls within this process.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Reader;

/// One write: the object with its content, or its removal.
#[derive(Clone)]
struct Change {
    revision: u64,
    kind: String,
    name: String,
    spec: Option<String>,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    changes: Vec<Change>,
}

/// The store. Clones share its objects.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: &str) -> Result<Self, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
        let store = Self {
            address: listener.local_addr().map_err(|error| error.to_string())?,
            state: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object, as an operator or a server does. The return is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, (revision, spec.to_owned()));
        state.changes.push(Change {
            revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            spec: Some(spec.to_owned()),
        });
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.read() {
            let (status, body) = self.answer(request.word(1));
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if reader.stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(kind) = path.strip_prefix("/alderhaven/objects/") else {
            return ("404 Not Found", "{}".to_owned());
        };
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let watched = value("watch").and_then(|text| text.parse().ok());
        let wait = value("wait-ms")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        match watched {
            Some(after) => (
                "200 OK",
                self.watch(kind, after, Duration::from_millis(wait)),
            ),
            None => (
                "200 OK",
                self.list(kind, value("after").unwrap_or_default()),
            ),
        }
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let objects = state.objects.iter();
        let listed = objects.filter(|((known, name), _)| known == kind && name.as_str() > after);
        let items: Vec<String> = listed
            .map(|((_, name), (revision, spec))| object(name, *revision, spec))
            .collect();
        format!(
            "{{\"items\":[{}],\"more\":false,\"current-rev\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let ends_at = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let changes = state.changes.iter();
            let seen = changes.filter(|change| change.kind == kind && change.revision > after);
            let events: Vec<String> = seen
                .map(|change| {
                    let spec = change.spec.as_deref();
                    let object = object(&change.name, change.revision, spec.unwrap_or("null"));
                    format!("{{\"object\":{object},\"deleted\":{}}}", spec.is_none())
                })
                .collect();
            let left = ends_at.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                let events = events.join(",");
                return format!("{{\"events\":[{events}],\"current-rev\":{revision}}}");
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}
