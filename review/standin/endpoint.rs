//! A backend server: it registers in the store, works on requests that are meant
//! for it, and leaves as the users' pages describe it.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, Reader};
use crate::record::Record;
use crate::store::Store;

const SLOTS: u32 = 8;
const QUEUE: u32 = 16;
const HEARTBEAT: Duration = Duration::from_millis(1_500);

#[derive(Clone)]
pub struct Endpoint(Arc<Shared>);

struct Shared {
    id: String,
    service: String,
    address: SocketAddr,
    work: Duration,
    store: Store,
    record: Record,
    born: u64,
    seq: AtomicU64,
    /// When the entry is written next.
    next_beat: Mutex<Instant>,
    draining: AtomicBool,
    /// The entry was removed for good.
    left: AtomicBool,
    /// The process has ended.
    ended: AtomicBool,
    running: AtomicU32,
    connections: Mutex<Vec<TcpStream>>,
    runs: Mutex<Vec<Run>>,
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    /// Seconds since the start of the case.
    pub at: f64,
    /// The whole answer was handed to the connection.
    pub answered: bool,
}

impl Endpoint {
    pub fn start(
        id: &str,
        service: &str,
        address: &str,
        work: Duration,
        store: &Store,
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let endpoint = Self(Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            work,
            store: store.clone(),
            record: record.clone(),
            born: now.map_or(1, |d| d.as_millis() as u64),
            seq: AtomicU64::new(0),
            next_beat: Mutex::new(Instant::now()),
            draining: AtomicBool::new(false),
            left: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            running: AtomicU32::new(0),
            connections: Mutex::default(),
            runs: Mutex::default(),
        }));
        endpoint.register();
        let beating = endpoint.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                let e = &beating.0;
                if e.ended.load(Ordering::SeqCst) || e.left.load(Ordering::SeqCst) {
                    return;
                }
                if Instant::now() >= *beating.0.next_beat.lock().unwrap() {
                    beating.register();
                }
            }
        });
        let serving = endpoint.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.0.ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    serving.0.connections.lock().unwrap().push(copy);
                }
                let endpoint = serving.clone();
                std::thread::spawn(move || drop(endpoint.serve(stream)));
            }
        });
        Ok(endpoint)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.0.runs.lock().unwrap().clone()
    }

    /// Writes the entry. A report restarts the heartbeat interval.
    fn register(&self) {
        let spec = self.next_entry();
        self.0.store.put("servers", &self.0.id, &spec);
    }

    /// Writes the entry as a heartbeat to which the store gives no answer, and which
    /// it executes after `delay`.
    pub fn beat_late(&self, delay: Duration) {
        let spec = self.next_entry();
        self.0.record.add(format!("{} writes its entry and gets no answer: {spec}", self.0.id));
        let endpoint = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(delay);
            let e = &endpoint.0;
            e.store.put("servers", &e.id, &spec);
            e.record.add(format!("the store executes that write of {}", e.id));
        });
    }

    /// The entry with the next sequence number.
    fn next_entry(&self) -> String {
        let e = &self.0;
        *e.next_beat.lock().unwrap() = Instant::now() + HEARTBEAT;
        let seq = e.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if e.draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":{SLOTS},\
             \"state\":\"{state}\",\"cold-remaining-s\":0,\"seq-no\":{seq},\"born\":{}}}",
            e.service, e.address, e.born
        )
    }

    /// Reports `draining`. Returns when the store has acknowledged it.
    pub fn drain(&self) -> f64 {
        self.0.draining.store(true, Ordering::SeqCst);
        self.register();
        let at = self.0.record.now();
        self.0.record.add(format!(
            "store acknowledges that endpoint {} is draining",
            self.0.id
        ));
        at
    }

    /// Leaves without a report: the entry is removed, and the process serves on.
    pub fn deregister(&self) -> f64 {
        self.0.left.store(true, Ordering::SeqCst);
        self.0.store.remove("servers", &self.0.id);
        let at = self.0.record.now();
        self.0.record.add(format!(
            "store acknowledges that the entry of endpoint {} is removed",
            self.0.id
        ));
        at
    }

    /// Ends the process: its connections close and its entry is removed.
    pub fn end(&self) {
        let e = &self.0;
        e.ended.store(true, Ordering::SeqCst);
        e.record.add(format!(
            "endpoint {} exits; {} requests are running there",
            e.id,
            e.running.load(Ordering::SeqCst)
        ));
        for stream in e.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the listener, which then closes.
        drop(TcpStream::connect(e.address));
        e.store.remove("servers", &e.id);
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        while let Some(req) = reader.message()? {
            if self.0.ended.load(Ordering::SeqCst) {
                return Ok(());
            }
            let response = self.handle(&req);
            let Some((response, run)) = response else {
                return Ok(());
            };
            out.write_all(response.as_bytes())?;
            if let Some(run) = run {
                self.0.runs.lock().unwrap()[run].answered = true;
            }
        }
        Ok(())
    }

    /// Returns the response and the index of the run, if the request ran.
    fn handle(&self, req: &Message) -> Option<(String, Option<usize>)> {
        let e = &self.0;
        let Some(id) = req.header("x-filbertgrade-request-id") else {
            return Some((
                "HTTP/1.1 400 No Id\r\nx-filbertgrade-not-executed: 1\r\ncontent-length: 0\r\n\r\n".into(),
                None,
            ));
        };
        let not_run = |status: &str| {
            format!(
                "HTTP/1.1 {status}\r\nx-filbertgrade-request-id: {id}\r\nx-filbertgrade-not-executed: 1\r\n\
                 content-length: 0\r\n\r\n"
            )
        };
        if req
            .header("x-filbertgrade-expected-instance")
            .is_some_and(|expected| expected != e.id)
        {
            return Some((not_run("421 Other"), None));
        }
        if e.running.fetch_add(1, Ordering::SeqCst) >= SLOTS + QUEUE {
            e.running.fetch_sub(1, Ordering::SeqCst);
            return Some((not_run("503 Full"), None));
        }
        let at = e.record.now();
        e.record.add(format!("endpoint {} runs {id}", e.id));
        let run = {
            let mut runs = e.runs.lock().unwrap();
            runs.push(Run {
                id: id.to_owned(),
                at,
                answered: false,
            });
            runs.len() - 1
        };
        std::thread::sleep(e.work);
        let running = e.running.fetch_sub(1, Ordering::SeqCst) - 1;
        if e.ended.load(Ordering::SeqCst) {
            return None;
        }
        let body = format!("{} for {id}", e.id);
        let close = if e.draining.load(Ordering::SeqCst) {
            "connection: close\r\n"
        } else {
            ""
        };
        let response = format!(
            "HTTP/1.1 200 OK\r\nx-filbertgrade-request-id: {id}\r\nx-filbertgrade-server-seal: {}.{run}\r\n\
             x-filbertgrade-server-load: {running},0,{SLOTS}\r\n{close}content-length: {}\r\n\r\n{body}",
            e.id,
            body.len()
        );
        Some((response, Some(run)))
    }
}
