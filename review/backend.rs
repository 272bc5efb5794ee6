//! Stand-in of a server: runs requests and answers them as a case decides.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Message, Reader};
use crate::record::Record;
use crate::store::Store;

/// How a server answers a request that it has run.
#[derive(Clone, Debug)]
pub struct Answer {
    /// How long the work takes.
    pub work: Duration,
    /// Headers besides the id, the length and the digest.
    pub extra_headers: &'static str,
    pub body: Vec<u8>,
}

/// Decides on the answer to a request.
type Script = Arc<dyn Fn(&Message) -> Answer + Send + Sync>;

/// A server. Clones share it.
#[derive(Clone)]
pub struct Backend {
    pub id: String,
    pub address: SocketAddr,
    record: Record,
    script: Script,
    /// The ids of the requests that it has begun to run.
    runs: Arc<Mutex<Vec<String>>>,
}

impl Backend {
    pub fn start(
        id: &str,
        ip: &str,
        record: &Record,
        script: impl Fn(&Message) -> Answer + Send + Sync + 'static,
    ) -> Result<Self, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
        let backend = Self {
            id: id.to_owned(),
            address: listener.local_addr().map_err(|error| error.to_string())?,
            record: record.clone(),
            script: Arc::new(script),
            runs: Arc::default(),
        };
        let serving = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let backend = serving.clone();
                thread::spawn(move || backend.serve(stream));
            }
        });
        Ok(backend)
    }

    /// Registers the server in the store, as ready and warm.
    pub fn register(&self, store: &Store, service: &str, zone: &str) {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let entry = format!(
            "{{\"backend\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":4,\"state\":\"ready\",\"warmup-left-ms\":0,\"seq-no\":1,\"born\":{}}}",
            self.address,
            born.as_millis()
        );
        store.put("servers", &self.id, &entry);
    }

    /// Returns the ids of the requests that the server has begun to run.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.read() {
            let response = self.answer(&request);
            if reader.stream.write_all(&response).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let expected = request.header("x-alderhaven-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n".to_vec();
        }
        let Some(request_id) = request.header("x-alderhaven-request-id") else {
            return b"HTTP/1.1 400 Bad Request\r\nX-Alderhaven-Not-Executed: 1\r\n\
                Content-Length: 0\r\n\r\n"
                .to_vec();
        };
        self.begin_run(request, request_id);
        let answer = (self.script)(request);
        thread::sleep(answer.work);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Alderhaven-Request-Id: {request_id}\r\n{}Content-Length: {}\r\n\r\n",
            answer.extra_headers,
            answer.body.len()
        );
        self.end_run(request_id, answer.extra_headers);
        [head.as_bytes(), &answer.body].concat()
    }

    fn begin_run(&self, request: &Message, request_id: &str) {
        let left = request.header("x-alderhaven-deadline-ms").unwrap_or("none");
        self.record.event(&format!(
            "{} runs {request_id}, deadline {left} ms",
            self.id
        ));
        self.runs.lock().unwrap().push(request_id.to_owned());
    }

    fn end_run(&self, request_id: &str, headers: &str) {
        let headers = headers.trim().replace("\r\n", "; ");
        self.record
            .event(&format!("{} answers {request_id}: 200; {headers}", self.id));
    }
}
