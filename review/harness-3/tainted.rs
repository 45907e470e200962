//! A part of prompts crashes each model engine that begins to answer a request with it.

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::fleet::Fleet;
use super::http::{self, Listening};
use super::server::{self, Server};
use super::{Outcome, Record};

/// `contact-ms`.
const CONTACT: Duration = Duration::from_secs(3);

/// How long an engine that crashed is away.
const AWAY: Duration = Duration::from_secs(2);

/// The engines, and how long each takes to begin an answer.
const ENGINES: u8 = 6;
const WORK: Duration = Duration::from_millis(40);

/// How long an engine that has sent the first event runs on.
const LAST_MOMENT: Duration = Duration::from_millis(30);

/// The part that crashes engines.
const TAINTED: u64 = 0xbad;

/// For how long sound requests come alone, and then others with the part beside them.
const CALM: Duration = Duration::from_secs(5);
const TROUBLED: Duration = Duration::from_secs(45);

/// The time between two requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(100);
const TAINTED_INTERVAL: Duration = Duration::from_secs(2);

/// The stream of an answer.
const EVENT: &str = "id: 1\ndata: draft\n\n";

const MODELS: &str = r#","stage":"colocated","models":[{"name":"m1","version":1,"adapters":[]}]"#;

const REPORT: &str = r#"{"stage":"colocated","models":[{"name":"m1","version":1,"adapters":[]}],"busy":false,"seq":0,"waiting":0,"running":0,"kv-used":0,"kv-total":232000,"handles":0}"#;

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"r-draft","hostname":"desk.example","path-prefix":"/draft/","route-type":"stream","timeout-ms":6000,"target-latency-ms":1000,"priority":1,"backend":"llm","max-attempts":1,"sticky":true,"resumable":false,"target-gap-ms":600}],"services":[{"name":"llm","health-path":"/health","max-conns":380,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity":232000,"kv-token-bytes":327680,"link-mbps":260000.0,"moves":true,"backups":true,"stride":4,"cap":12,"host-mb":130000.0,"disk-mb":380000.0,"pin-ms":4000.0,"hold-ms":2000.0,"handle_s":5.0,"models":[{"name":"m1","weights-mb":72700.0,"load-s":4.2,"adapters":0,"adapter-mb":66.0,"warm-s":0.4,"disk-s":0.84}],"weights-mb":200000.0,"adapter-slots":8,"loads-per-s":2.1}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

/// What comes, and how engines answer.
#[derive(Clone, Copy)]
pub struct Plot {
    /// The parts of a prompt, the last of which is its own, and which of them crashes engines.
    pub parts: usize,
    pub place: usize,
    pub framing: Framing,
}

/// How engines answer.
#[derive(Clone, Copy, PartialEq)]
pub enum Framing {
    /// In chunks. They crash before they have sent anything.
    Chunks,
    /// With neither a length nor chunks. They crash after the first event.
    None,
}

/// The engines and what they saw.
struct Pool {
    record: Record,
    fleet: Arc<Fleet>,
    trouble: bool,
    plot: Plot,
    /// When requests with the part reached an engine.
    arrivals: Mutex<Vec<Instant>>,
    starts: AtomicU64,
}

/// The prompt of a request: shared parts, the tainted one among them or a sound one, and its own.
fn prompt(tainted: bool, plot: Plot, own: usize) -> String {
    let parts = (1..=plot.parts).map(|number| match number {
        _ if number == plot.parts => format!("{:x}:40", 0x10_0000 + own),
        _ if number == plot.place && tainted => format!("{TAINTED:x}:120"),
        _ => format!("{:x}:120", 0x100 + number),
    });
    parts.collect::<Vec<_>>().join(",")
}

impl Pool {
    /// Starts an engine, with a new id. It crashes on the tainted part and starts again.
    fn start(self: &Arc<Self>, number: u8) -> std::io::Result<()> {
        let start = self.starts.fetch_add(1, Ordering::SeqCst);
        let id = format!("i-llm-{number}-{start}");
        let address = self.fleet.server(100 + number);
        let nodes: Vec<_> = (0..4).map(|node| self.fleet.control(node)).collect();
        let this = Arc::clone(self);
        let process: Arc<Mutex<Option<(Listening, Arc<Server>)>>> = Arc::default();
        let own = Arc::clone(&process);
        let name = id.clone();
        let marker = format!("{TAINTED:x}:120");
        let handler: http::Handler = Arc::new(move |request| {
            if request.word() == "/report" {
                return http::encode("HTTP/1.1 200 OK", &[], REPORT.as_bytes());
            }
            let request_id = request.header("x-nutmegyoke-request-id");
            thread::sleep(WORK);
            let mut parts = request.header("x-nutmegyoke-prompt-prefix").split(',');
            if parts.any(|part| part == marker) {
                this.record
                    .note(&format!("{name} begins to answer {request_id}"));
                this.arrivals.lock().unwrap().push(Instant::now());
                let process = this.trouble.then(|| own.lock().unwrap().take()).flatten();
                match (process, this.plot.framing) {
                    (None, _) => {}
                    (process, Framing::Chunks) => {
                        this.crash(number, process);
                        return Vec::new();
                    }
                    (process, Framing::None) => {
                        let this = Arc::clone(&this);
                        thread::spawn(move || {
                            thread::sleep(LAST_MOMENT);
                            this.crash(number, process);
                        });
                        return server::answer_unframed(request, EVENT, false);
                    }
                }
            }
            match this.plot.framing {
                Framing::Chunks => {
                    let headers = [("Content-Type", "text/event-stream")];
                    server::answer_in_chunks(request, &headers, EVENT)
                }
                Framing::None => server::answer_unframed(request, EVENT, true),
            }
        });
        let mut process = process.lock().unwrap();
        let listening = http::serve(address, handler)?;
        let server = Server::register_with(&id, "llm", address, &nodes, MODELS);
        *process = Some((listening, server));
        Ok(())
    }

    fn crash(self: &Arc<Self>, number: u8, process: Option<(Listening, Arc<Server>)>) {
        let Some((listening, server)) = process else {
            return;
        };
        self.record.note(&format!("{} crashes", server.id));
        server.stop_reports();
        listening.end();
        let this = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(AWAY);
            if let Err(error) = this.start(number) {
                this.record
                    .note(&format!("an engine could not start again: {error}"));
            }
        });
    }

    /// Sends requests for `length`, to one gateway after the other.
    fn send(self: &Arc<Self>, tainted: bool, length: Duration, interval: Duration) -> Vec<u16> {
        let sent: Arc<Mutex<Vec<u16>>> = Arc::default();
        let begin = Instant::now();
        let mut number = 0;
        while begin.elapsed() < length {
            number += 1;
            let (pool, sent) = (Arc::clone(self), Arc::clone(&sent));
            thread::spawn(move || {
                let letter = if tainted { 'd' } else { 'a' };
                let id = format!("{letter}{number:015x}");
                let prompt = prompt(tainted, pool.plot, number * 2 + usize::from(tainted));
                let headers = [
                    ("Host", "desk.example"),
                    ("X-Nutmegyoke-Request-Id", id.as_str()),
                    ("X-Nutmegyoke-Model", "m1"),
                    ("X-Nutmegyoke-Token-Usage", "2320,52"),
                    ("X-Nutmegyoke-Prompt-Prefix", &prompt),
                    ("X-Nutmegyoke-Deadline-Ms", "6000"),
                ];
                let front = pool.fleet.front(number % 4);
                let body = format!("draft {number}");
                let timeout = Duration::from_secs(6);
                let answer = http::call(front, "POST /draft/1", &headers, body.as_bytes(), timeout);
                let status = answer.map_or(0, |answer| answer.status());
                if tainted || status != 200 {
                    pool.record
                        .note(&format!("{id} sent to {front} ended with {status}"));
                }
                sent.lock().unwrap().push(status);
            });
            thread::sleep(interval);
        }
        thread::sleep(Duration::from_secs(7));
        let mut sent = sent.lock().unwrap();
        std::mem::take(&mut *sent)
    }
}

/// The most requests with the part that may reach engines later than `contact-ms` after the fifth
/// crash.
const ALLOWED: usize = 3;

/// Plays a plot. The environment variable `PLACE` puts the part at another place.
///
/// # Errors
///
/// The case can't run.
pub fn play(record: &Record, folder: &Path, trouble: bool, mut plot: Plot) -> Outcome {
    let place = std::env::var("PLACE").ok();
    plot.place = place
        .and_then(|place| place.parse().ok())
        .unwrap_or(plot.place);
    let fleet = Arc::new(Fleet::start(folder, 4)?);
    let pool = Arc::new(Pool {
        record: record.clone(),
        fleet: Arc::clone(&fleet),
        trouble,
        plot,
        arrivals: Mutex::default(),
        starts: AtomicU64::new(0),
    });
    for number in 1..=ENGINES {
        pool.start(number)?;
        fleet.start_steward(100 + number)?;
    }
    let patience = Duration::from_secs(15);
    fleet
        .publish(CONFIG, patience)
        .ok_or("the config was not acknowledged")?;
    if !fleet.wait_ready(patience) {
        return Err("the gateways did not become ready".into());
    }
    // All machines are in touch then, and know all engines.
    thread::sleep(Duration::from_secs(4));
    record.note(&format!(
        "part {} of {} is the one that crashes engines",
        plot.place, plot.parts
    ));
    let sound_pool = Arc::clone(&pool);
    let sound = thread::spawn(move || sound_pool.send(false, CALM + TROUBLED, SOUND_INTERVAL));
    thread::sleep(CALM);
    let tainted = pool.send(true, TROUBLED, TAINTED_INTERVAL);
    let sound = sound.join().map_err(|_| "the clients ended")?;
    let lost = sound.iter().filter(|&&status| status != 200).count();
    record.note(&format!(
        "{} sound requests, {lost} not served",
        sound.len()
    ));
    let arrivals = pool.arrivals.lock().unwrap().clone();
    let refused = tainted.iter().filter(|&&status| status == 503).count();
    let late = match arrivals.get(4) {
        Some(&fifth) if trouble => {
            let late = arrivals.iter().filter(|&&at| at > fifth + CONTACT);
            late.count()
        }
        _ => 0,
    };
    record.note(&format!(
        "{} requests with the part, {refused} refused; {} reached engines, {late} of these later than contact-ms after the fifth crash; {ALLOWED} are allowed",
        tainted.len(),
        arrivals.len()
    ));
    Ok(late > ALLOWED)
}
