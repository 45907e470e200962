//! A model engine, as PROTOCOL.md describes one: it announces itself, carries out orders, and answers
//! requests with streams of events.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::http::{self, Message, Reader};
use super::record::Record;

/// How long loading a model from the engine's disk takes, and an adapter.
const MODEL_LOAD: Duration = Duration::from_millis(500);
const ADAPTER_LOAD: Duration = Duration::from_millis(8);

const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1200);

/// The events of an answer, and the time between two.
const EVENTS: usize = 10;
const EVENT_PERIOD: Duration = Duration::from_millis(30);

/// What an engine is.
#[derive(Clone)]
pub struct Plan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Where it sends heartbeats.
    pub controls: Vec<SocketAddr>,
    pub adapter_slots: usize,
    /// The model that it holds when the run begins.
    pub model: String,
}

/// An engine, whose process may crash and start again.
#[derive(Clone)]
pub struct Engine {
    plan: Arc<Plan>,
    state: Arc<Mutex<State>>,
    record: Record,
}

#[derive(Default)]
struct State {
    /// Counts the starts; 0 while the process is down.
    boot: u64,
    boots: u64,
    born: u128,
    /// The number of orders accepted since the start.
    seq: u64,
    fence: u64,
    heartbeats: u64,
    models: BTreeSet<String>,
    adapters: BTreeSet<String>,
    incoming: BTreeSet<String>,
    busy: bool,
    running: usize,
    connections: Vec<TcpStream>,
    /// The adapter whose next order to load it gets no answer and is carried out after this time.
    late: Option<(String, Duration)>,
    /// When that order came.
    late_since: Option<Instant>,
    /// The orders that asked for more than the engine holds.
    overfull: Vec<String>,
    /// The requests that began to run and those that ended, by boot.
    begun: u64,
    ended: u64,
}

/// An order, as far as it is read.
struct Order {
    load: bool,
    model: String,
    adapter: Option<String>,
    expect: Option<u64>,
    fence: Option<u64>,
    holder: bool,
    instance: Option<String>,
}

impl Engine {
    pub fn open(plan: Plan, record: &Record) -> Self {
        let engine = Self {
            plan: Arc::new(plan),
            state: Arc::default(),
            record: record.clone(),
        };
        let held = engine.plan.model.clone();
        engine.start(&[held]);
        let beating = engine.clone();
        spawn(move || beating.beat());
        engine
    }

    /// Starts the process, with these models in memory.
    pub fn start(&self, models: &[String]) {
        let boot = {
            let mut state = self.state.lock().unwrap();
            let boots = state.boots + 1;
            let late = state.late.take();
            *state = State {
                boot: boots,
                boots,
                born: unix_ms(),
                models: models.iter().cloned().collect(),
                late,
                late_since: state.late_since,
                overfull: std::mem::take(&mut state.overfull),
                begun: state.begun,
                ended: state.ended,
                ..State::default()
            };
            boots
        };
        self.record.line(&format!(
            "engine {} starts, start {boot}, holds {models:?}",
            self.plan.id
        ));
        let listener = loop {
            match TcpListener::bind(self.plan.address) {
                Ok(listener) => break listener,
                Err(_) => sleep(Duration::from_millis(20)),
            }
        };
        listener.set_nonblocking(true).unwrap();
        let engine = self.clone();
        spawn(move || {
            while engine.state.lock().unwrap().boot == boot {
                match listener.accept() {
                    Ok((stream, _)) => engine.serve(boot, stream),
                    Err(_) => sleep(Duration::from_millis(2)),
                }
            }
        });
    }

    /// Ends the process at once: its connections are reset, and its address refuses others.
    pub fn crash(&self, why: &str) {
        let mut state = self.state.lock().unwrap();
        if state.boot == 0 {
            return;
        }
        state.boot = 0;
        let lost = state.begun - state.ended;
        state.ended = state.begun;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.line(&format!(
            "engine {} crashes: {why}; {lost} requests were running",
            self.plan.id
        ));
    }

    /// Has the next order to load an adapter left unanswered and carried out after `delay`.
    pub fn leave_unanswered(&self, adapter: &str, delay: Duration) {
        self.state.lock().unwrap().late = Some((adapter.to_owned(), delay));
    }

    /// When an order was left unanswered.
    pub fn late_since(&self) -> Option<Instant> {
        self.state.lock().unwrap().late_since
    }

    /// The orders that asked for more than the engine holds.
    pub fn overfull(&self) -> Vec<String> {
        self.state.lock().unwrap().overfull.clone()
    }

    pub fn is_up(&self) -> bool {
        self.state.lock().unwrap().boot > 0
    }

    pub fn adapters(&self) -> Vec<String> {
        self.state.lock().unwrap().adapters.iter().cloned().collect()
    }

    pub fn describe(&self) -> String {
        let state = self.state.lock().unwrap();
        format!(
            "start {}, seq {}, models {:?}, adapters {:?}",
            state.boot, state.seq, state.models, state.adapters
        )
    }

    fn serve(&self, boot: u64, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let (Ok(kept), Ok(writer)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        self.state.lock().unwrap().connections.push(kept);
        let engine = self.clone();
        spawn(move || {
            let mut reader = Reader::open(stream);
            let mut writer = writer;
            while let Ok(Some(request)) = reader.message() {
                if engine.state.lock().unwrap().boot != boot {
                    return;
                }
                if engine.answer(boot, &request, &mut writer).is_none() {
                    return;
                }
            }
        });
    }

    /// Answers a request; `None` if it gets no answer.
    fn answer(&self, boot: u64, request: &Message, writer: &mut TcpStream) -> Option<()> {
        let (method, path) = request.target();
        match (method, path) {
            ("GET", "/report") => {
                let body = self.report();
                send(writer, 200, &[("Content-Type", "application/json")], &body)
            }
            ("POST", "/order") => {
                let order = parse_order(request);
                if self.is_late(&order) {
                    // The connection stays open without an answer.
                    sleep(Duration::from_secs(30));
                    return None;
                }
                let status = self.carry_out(boot, &order, "");
                send(writer, status, &[], "")
            }
            _ => self.generate(boot, request, writer),
        }
    }

    /// Whether an order is left unanswered. It is carried out later, whatever happens meanwhile, unless
    /// the process is down then.
    fn is_late(&self, order: &Order) -> bool {
        let mut state = self.state.lock().unwrap();
        let wanted = state.late.as_ref().is_some_and(|(adapter, _)| {
            order.load && order.adapter.as_ref() == Some(adapter)
        });
        if !wanted {
            return false;
        }
        let (adapter, delay) = state.late.take().unwrap();
        state.late_since = Some(Instant::now());
        self.record.line(&format!(
            "engine {} leaves the order to load adapter {adapter} (expect {:?}, fencing-token {:?}) \
             unanswered at start {}, seq {}; it is carried out {delay:?} later",
            self.plan.id, order.expect, order.fence, state.boot, state.seq
        ));
        let engine = self.clone();
        let order = Order {
            model: order.model.clone(),
            adapter: order.adapter.clone(),
            instance: order.instance.clone(),
            ..*order
        };
        spawn(move || {
            sleep(delay);
            let boot = engine.state.lock().unwrap().boot;
            if boot > 0 {
                let status = engine.carry_out(boot, &order, " that was left unanswered");
                engine.record.line(&format!(
                    "engine {}: the order that was left unanswered ends with {status}",
                    engine.plan.id
                ));
            }
        });
        true
    }

    fn carry_out(&self, boot: u64, order: &Order, note: &str) -> u16 {
        let status = self.decide(boot, order);
        let state = self.state.lock().unwrap();
        self.record.line(&format!(
            "engine {}: order{note} to {} {}{} (expect {:?}, fencing-token {:?}): {status}, seq {}, \
             adapters {:?} + {:?}",
            self.plan.id,
            if order.load { "load" } else { "unload" },
            order.model,
            order.adapter.as_ref().map(|name| format!("/{name}")).unwrap_or_default(),
            order.expect,
            order.fence,
            state.seq,
            state.adapters,
            state.incoming
        ));
        status
    }

    fn decide(&self, boot: u64, order: &Order) -> u16 {
        let mut state = self.state.lock().unwrap();
        if order.instance.as_ref().is_some_and(|id| *id != self.plan.id) {
            return 421;
        }
        let Some(fence) = order.fence.filter(|_| order.holder) else {
            return 400;
        };
        if fence < state.fence {
            return 412;
        }
        if order.expect.is_some_and(|expect| expect != state.seq) {
            return 409;
        }
        if state.busy {
            return 409;
        }
        state.fence = fence;
        let name = match &order.adapter {
            Some(adapter) => format!("{}/{adapter}", order.model),
            None => order.model.clone(),
        };
        let held = match &order.adapter {
            Some(_) => state.adapters.contains(&name) || state.incoming.contains(&name),
            None => state.models.contains(&name),
        };
        if order.load == held {
            return 200;
        }
        if order.load && order.adapter.is_some() {
            if !state.models.contains(&order.model) {
                return 400;
            }
            let places = self.plan.adapter_slots;
            let taken = state.adapters.len() + state.incoming.len();
            if taken >= places {
                let text = format!(
                    "it is ordered to load adapter {name} beside {taken} adapters in its {places} places"
                );
                state.overfull.push(text.clone());
                drop(state);
                self.crash(&text);
                return 0;
            }
        }
        state.seq += 1;
        match (order.load, order.adapter.is_some()) {
            (true, true) => {
                state.incoming.insert(name.clone());
                self.after(boot, ADAPTER_LOAD, move |state| {
                    state.incoming.remove(&name);
                    state.adapters.insert(name.clone());
                });
                202
            }
            (true, false) => {
                state.busy = true;
                self.after(boot, MODEL_LOAD, move |state| {
                    state.busy = false;
                    state.models.insert(name.clone());
                });
                202
            }
            (false, true) => {
                state.adapters.remove(&name);
                200
            }
            (false, false) => {
                state.models.remove(&name);
                let prefix = format!("{name}/");
                state.adapters.retain(|adapter| !adapter.starts_with(&prefix));
                200
            }
        }
    }

    /// Changes the state later, unless the process has ended by then, and sends a heartbeat.
    fn after(&self, boot: u64, delay: Duration, change: impl Fn(&mut State) + Send + 'static) {
        let engine = self.clone();
        spawn(move || {
            sleep(delay);
            let mut state = engine.state.lock().unwrap();
            if state.boot != boot {
                return;
            }
            change(&mut state);
            drop(state);
            if delay == MODEL_LOAD {
                engine.send_heartbeat();
            }
        });
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        let incoming: Vec<String> = state.incoming.iter().map(|name| format!("\"{name}@1\"")).collect();
        format!(
            "{{\"stage\":\"colocated\",\"models\":[{}],\"busy\":{},\"seq\":{},\"waiting\":0,\"running\":{},\
             \"kv-used\":0,\"kv-total\":232000,\"handles\":0,\"incoming\":[{}],\"runs\":[]}}",
            models(&state),
            state.busy,
            state.seq,
            state.running,
            incoming.join(",")
        )
    }

    fn generate(&self, boot: u64, request: &Message, writer: &mut TcpStream) -> Option<()> {
        let id = request.header("x-nutmegyoke-request-id").unwrap_or("-").to_owned();
        let echo = [("X-Nutmegyoke-Request-Id", id.as_str())];
        let refuse = |writer: &mut TcpStream, status: u16| {
            let not_run = [echo[0], ("X-Nutmegyoke-Not-Executed", "1")];
            send(writer, status, &not_run, "")
        };
        let instance = request.header("x-nutmegyoke-expect-instance");
        if instance.is_some_and(|instance| instance != self.plan.id) {
            return refuse(writer, 421);
        }
        let target = request.header("x-nutmegyoke-model").unwrap_or("").to_owned();
        let model = target.split('/').next().unwrap_or("").to_owned();
        {
            let mut state = self.state.lock().unwrap();
            let held = state.models.contains(&model);
            let held = held && (!target.contains('/') || state.adapters.contains(&target));
            if !held {
                drop(state);
                return refuse(writer, 421);
            }
            state.running += 1;
            state.begun += 1;
        }
        self.record.line(&format!("engine {} runs {id} on {target}", self.plan.id));
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\nX-Nutmegyoke-Server-Stamp: {}.{boot}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.plan.id
        );
        let mut sent = writer.write_all(head.as_bytes());
        for event in 1..=EVENTS {
            sleep(EVENT_PERIOD);
            if self.state.lock().unwrap().boot != boot {
                return None;
            }
            let event = format!("id: {event}\ndata: {id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            sent = sent.and_then(|()| writer.write_all(chunk.as_bytes()));
        }
        let sent = sent.and_then(|()| writer.write_all(b"0\r\n\r\n"));
        let mut state = self.state.lock().unwrap();
        if state.boot == boot {
            state.running -= 1;
            state.ended += 1;
        }
        sent.ok()
    }

    fn beat(&self) {
        loop {
            self.send_heartbeat();
            sleep(HEARTBEAT_PERIOD);
        }
    }

    /// Sends a heartbeat to the first gateway that acknowledges it.
    fn send_heartbeat(&self) {
        let body = {
            let mut state = self.state.lock().unwrap();
            if state.boot == 0 {
                return;
            }
            state.heartbeats += 1;
            format!(
                "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\
                 \"state\":\"ready\",\"cold-left-ms\":0,\"stage\":\"colocated\",\"models\":[{}],\
                 \"available\":{{\"in-memory\":[],\"on-disk\":[\"{}\"]}},\"seq\":{},\"born\":{}}}",
                self.plan.service,
                self.plan.address,
                self.plan.zone,
                models(&state),
                self.plan.model,
                state.heartbeats,
                state.born
            )
        };
        let start = format!("PUT /instances/{} HTTP/1.1", self.plan.id);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        for &control in &self.plan.controls {
            let answer = http::call(control, &start, &headers, body.as_bytes(), Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() / 100 == 2) {
                return;
            }
        }
    }
}

fn models(state: &State) -> String {
    let models = state.models.iter().map(|model| {
        let prefix = format!("{model}/");
        let adapters = state.adapters.iter().filter_map(|name| name.strip_prefix(&prefix));
        let adapters: Vec<String> = adapters.map(|name| format!("\"{name}\"")).collect();
        let adapters = adapters.join(",");
        format!("{{\"name\":\"{model}\",\"version\":1,\"adapters\":[{adapters}]}}")
    });
    models.collect::<Vec<_>>().join(",")
}

fn send(writer: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &str) -> Option<()> {
    let start = format!("HTTP/1.1 {status} Status");
    let bytes = http::encode(&start, headers, body.as_bytes());
    writer.write_all(&bytes).ok()
}

fn parse_order(request: &Message) -> Order {
    let text = request.text();
    Order {
        load: field(&text, "operation").as_deref() == Some("load"),
        model: field(&text, "model").unwrap_or_default(),
        adapter: field(&text, "adapter"),
        expect: field(&text, "expect").and_then(|value| value.parse().ok()),
        fence: field(&text, "fencing-token").and_then(|value| value.parse().ok()),
        holder: field(&text, "holder").is_some(),
        instance: request.header("x-nutmegyoke-expect-instance").map(str::to_owned),
    }
}

/// The value of a field of a flat JSON object.
fn field(text: &str, name: &str) -> Option<String> {
    let key = format!("\"{name}\":");
    let rest = text[text.find(&key)? + key.len()..].trim_start();
    if let Some(quoted) = rest.strip_prefix('"') {
        return quoted.split('"').next().map(str::to_owned);
    }
    let end = rest.find([',', '}']).unwrap_or(rest.len());
    Some(rest[..end].trim().to_owned()).filter(|value| value != "null")
}

fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis())
}
