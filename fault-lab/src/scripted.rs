//! Peers that a test answers for itself, and the front door's program before them: each step is the test's own.
//!
//! What goes wrong here ends the test: these parts are for tests alone.

use crate::process::{send_signal, wait_for, Launcher};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, AtomicU8, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::Duration;

/// Nothing here takes that long unless it fails.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// Ports from here up to the first that the system gives out by itself are [`unused_port`]'s.
const FIRST_PORT: u16 = 10_000;

/// A port that this process asks for but once. At an address of the caller's own nobody else has it.
///
/// It is not tried out: a listener that is opened and closed for that may live on in a child that another thread has
/// forked and that has not executed its program yet. Who connects meanwhile is accepted, and reset a moment later.
pub fn unused_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// One message of HTTP: its first line, its headers (names in lower case) and its body.
pub struct Message {
    pub line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|word| word.parse().ok())
            .expect("a status")
    }
}

/// `None` when the other side has closed between two messages.
///
/// # Errors
/// The connection broke, or the message is no HTTP.
pub fn read_message(stream: &TcpStream) -> io::Result<Option<Message>> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = header.trim_end().split_once(':') else {
            break;
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let length = headers
        .get("content-length")
        .map_or(0, |length| length.parse().expect("a length"));
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Message {
        line: line.trim_end().to_string(),
        headers,
        body,
    }))
}

/// A request that a scripted peer has read and not answered yet.
pub struct Exchange {
    pub request: Message,
    pub stream: TcpStream,
    next: Sender<Exchange>,
}

impl Exchange {
    /// Answers and goes on reading from the connection.
    pub fn answer(mut self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        let answer =
            format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        self.stream
            .write_all(answer.as_bytes())
            .expect("the answer goes out");
        read_on(self.stream, self.next);
    }
    pub fn ok(self, body: &str) {
        self.answer("200 OK", "", body);
    }
    /// Writes this and closes.
    pub fn break_off(mut self, bytes: &str) {
        self.stream
            .write_all(bytes.as_bytes())
            .expect("the bytes go out");
        self.stream
            .shutdown(Shutdown::Both)
            .expect("the connection closes");
    }
    /// Waits until the other side has closed.
    pub fn wait_for_close(&mut self) {
        let mut byte = [0];
        match self.stream.read(&mut byte) {
            Ok(0) => {}
            Err(error) if error.kind() == io::ErrorKind::ConnectionReset => {}
            other => panic!("expected the connection to close, got {other:?}"),
        }
    }
}

pub fn read_on(stream: TcpStream, next: Sender<Exchange>) {
    thread::spawn(move || {
        if let Ok(Some(request)) = read_message(&stream) {
            // A test that has ended listens no more.
            let _ = next.send(Exchange {
                request,
                stream,
                next: next.clone(),
            });
        }
    });
}

/// A peer that the test answers for: a backend, or discovery.
pub struct Peer {
    pub address: SocketAddr,
    pub exchanges: Receiver<Exchange>,
}

impl Peer {
    pub fn start() -> Peer {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (sender, exchanges) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
                read_on(stream, sender.clone());
            }
        });
        Peer { address, exchanges }
    }
    pub fn next(&self) -> Exchange {
        self.exchanges
            .recv_timeout(PATIENCE)
            .expect("a request comes")
    }
}

/// Discovery that tells the list it was given, and changes when the test says so.
pub struct Discovery {
    pub address: SocketAddr,
    changes: Sender<Value>,
    watches: Receiver<()>,
}

impl Discovery {
    pub fn start(list: Value) -> Discovery {
        let peer = Peer::start();
        let address = peer.address;
        let (changes, told) = channel::<Value>();
        let (watching, watches) = channel();
        thread::spawn(move || {
            while let Ok(call) = peer.exchanges.recv() {
                if !call.request.line.contains("after=") {
                    call.ok(&list.to_string());
                    continue;
                }
                let _ = watching.send(());
                match told.recv_timeout(Duration::from_millis(500)) {
                    Ok(change) => call.ok(&change.to_string()),
                    Err(_) => call
                        .ok(&json!({"rev": list["rev"], "all": false, "targets": []}).to_string()),
                }
            }
        });
        Discovery {
            address,
            changes,
            watches,
        }
    }
    /// Tells a change, and waits for the watch that follows: the front door has taken the change in by then.
    pub fn tell(&self, targets: Value) {
        self.wait_for_watch();
        self.changes
            .send(json!({"rev": 2, "all": false, "targets": targets}))
            .expect("discovery runs");
        self.wait_for_watch();
        self.wait_for_watch();
    }
    pub fn wait_for_watch(&self) {
        self.watches.recv_timeout(PATIENCE).expect("a watch comes");
    }
}

pub fn target(uid: &str, address: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "model": "m", "pod_group": 0,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

pub fn list(targets: &[Value]) -> Value {
    json!({"rev": 1, "all": true, "targets": targets})
}

/// An address where nothing listens. Peers get their ports at 127.0.0.1, and none of them takes this one meanwhile.
pub fn closed_port() -> SocketAddr {
    let nobody = Ipv4Addr::new(127, 255, 0, 1);
    SocketAddr::from((nobody, unused_port()))
}

/// A backend to which connections come up only once `open` is called: its backlog is full.
pub struct Stuck {
    listener: TcpListener,
    pub address: SocketAddr,
    _filling: TcpStream,
}

impl Stuck {
    pub fn start() -> Stuck {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
            .expect("a socket");
        socket
            .bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())
            .expect("a port");
        socket.listen(0).expect("it listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        let filling = TcpStream::connect(address).expect("the backlog holds one");
        Stuck {
            listener,
            address,
            _filling: filling,
        }
    }
    /// Waits until a connection is on its way that does not come up.
    pub fn wait_for_connect(&self) {
        let (a, port) = (u32::from_le_bytes([127, 0, 0, 1]), self.address.port());
        let wanted = format!("{a:08X}:{port:04X} 02");
        let sockets = || std::fs::read_to_string("/proc/net/tcp").expect("the system's sockets");
        let attempted = wait_for(PATIENCE, || sockets().contains(&wanted).then_some(()));
        attempted.expect("a connection is attempted");
    }
    /// Lets the connection come up.
    pub fn accept(&self) -> TcpStream {
        let _filling = self
            .listener
            .accept()
            .expect("the one that filled the backlog");
        let (stream, _) = self.listener.accept().expect("the front door's");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        stream
    }
    /// Lets the connection come up, and returns all that was written to it until it closed.
    pub fn open(self) -> Vec<u8> {
        let (mut stream, mut bytes) = (self.accept(), Vec::new());
        stream
            .read_to_end(&mut bytes)
            .expect("the front door closes the connection");
        bytes
    }
}

/// The configuration of a front door of its own, under an address of its own.
pub fn config(discovery: SocketAddr, known: Value) -> Value {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    // Other sockets of the system get their ports at 127.0.0.1: here nothing takes this one meanwhile.
    let own = Ipv4Addr::new(127, COUNT.fetch_add(1, Ordering::Relaxed), high, low.max(1));
    let listen = SocketAddr::from((own, unused_port()));
    let class = |name, semantics| {
        json!({"name": name, "semantics": semantics, "group": "all", "dedupWindow": 5000.0, "worth": 1.0,
               "slo": 1000.0, "deadline": 4000.0, "lateShare": 0.0, "stream": false})
    };
    let admin = SocketAddr::from((own, unused_port()));
    json!({
        "name": "n0", "listen": listen.to_string(), "admin_addr": admin.to_string(), "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "counter": "127.0.0.1:9",
        "known": known,
        "settings": {
            "areas": ["a", "b"], "balancers": 1, "ordinal": 0, "zone": 0, "tick": 4.0, "registryMode": "pushed",
            "bounds": {"cancel": true, "connIdle": 15000.0, "connectTimeout": 250.0, "maxAttempts": 4,
                       "maxRetryAfter": 500.0, "mayDuplicate": false, "retryAfter": true},
            "rules": {"cold": 18000.0, "coldFrom": 0.24, "fall": 3000.0, "stopSendingWithin": 500.0,
                      "tipMultiple": 2.0},
            "familyInfo": {"mostUnits": 1, "usePeriod": 500.0},
            "classes": [class("preview-fetch", "free"), class("job-submit", "single_shot")],
            "plans": [{"name": "starter", "unitsPerS": 1000.0, "storeSize": 2000.0, "concurrency": 0,
                       "price": 1.0, "excessWorth": 0.0, "overrunCost": 0.8, "neverOverRate": 0.0,
                       "capDepth": 0.0, "tolerance": 0.0}],
        },
    })
}

/// The front door's program as a test finds it, and the folder for the files of its processes.
#[derive(Clone, Copy)]
pub struct Program {
    pub path: &'static str,
    pub folder: &'static str,
}

/// A process of the program. It is killed when the test ends.
pub struct Front {
    pub child: Child,
    pub address: SocketAddr,
    pub admin: SocketAddr,
    config: PathBuf,
    program: Program,
}

impl Program {
    /// Starts the program and waits until it listens.
    pub fn start(self, config: &Value) -> Front {
        self.start_with(config, Stdio::inherit())
    }
    /// As [`Program::start`], with its log going there.
    pub fn start_with(self, config: &Value, errors: Stdio) -> Front {
        let named = |name: &str| {
            config[name]
                .as_str()
                .expect("an address")
                .parse()
                .expect("an address")
        };
        let (address, admin): (SocketAddr, SocketAddr) = (named("listen"), named("admin_addr"));
        let config = self.write(config);
        let child = self.spawn(&config, errors);
        // The operators' door opens later than the clients', as connections of those wait in a queue meanwhile.
        for place in [address, admin] {
            wait_for(PATIENCE, || TcpStream::connect(place).ok()).expect("the front door listens");
        }
        Front {
            child,
            address,
            admin,
            config,
            program: self,
        }
    }
    /// One in front of these backends, known to it from its start, with discovery dead.
    pub fn before(self, backends: &[SocketAddr]) -> Front {
        let targets: Vec<Value> = backends
            .iter()
            .enumerate()
            .map(|(n, at)| target(&format!("s-0000000{n}"), *at, "ready"))
            .collect();
        self.start(&config(closed_port(), list(&targets)))
    }
    /// Writes a configuration to a file of its own.
    pub fn write(self, config: &Value) -> PathBuf {
        static COUNT: AtomicU8 = AtomicU8::new(0);
        let name = format!(
            "config-{}-{}.json",
            std::process::id(),
            COUNT.fetch_add(1, Ordering::Relaxed)
        );
        let path = PathBuf::from(self.folder).join(name);
        let _ = std::fs::remove_dir_all(path.with_extension("shared"));
        std::fs::write(&path, config.to_string()).expect("the configuration is written");
        path
    }
    /// Starts the program with the configuration in this file.
    pub fn spawn(self, config: &Path, errors: Stdio) -> Child {
        self.command(config)
            .stderr(errors)
            .spawn()
            .expect("the program starts")
    }
    fn command(self, config: &Path) -> Command {
        let shared = config.with_extension("shared");
        std::fs::create_dir_all(&shared).expect("a folder");
        Launcher::new(self.path).command(config, &shared)
    }
}

impl Front {
    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("the front door accepts");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        Client { stream }
    }
    /// Starts a second process beside this one, and waits until it says yes.
    pub fn successor(&self) -> Front {
        let admin = SocketAddr::from((self.admin.ip(), unused_port()));
        let mut command = self.program.command(&self.config);
        let child = command
            .env("BALANCER_ADMIN_ADDR", admin.to_string())
            .spawn()
            .expect("it starts");
        let (address, config, program) = (self.address, self.config.clone(), self.program);
        let front = Front {
            child,
            address,
            admin,
            config,
            program,
        };
        let yes = || TcpStream::connect(admin).is_ok() && front.call("status").starts_with("done");
        wait_for(PATIENCE, || yes().then_some(())).expect("the second process says yes");
        front
    }
    /// Calls the operators' door and returns the whole answer.
    pub fn call(&self, line: &str) -> String {
        let mut caller = TcpStream::connect(self.admin).expect("the operators' door accepts");
        caller.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        caller
            .write_all(line.as_bytes())
            .and_then(|()| caller.write_all(b"\n"))
            .expect("the call goes out");
        let mut answer = String::new();
        caller.read_to_string(&mut answer).expect("an answer comes");
        answer
    }
    pub fn stats(&self) -> Value {
        let answer = self.call("stats");
        let (figures, end) = answer.trim_end().rsplit_once('\n').expect("two lines");
        assert_eq!(end, "end");
        serde_json::from_str(figures).expect("JSON")
    }
    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        send_signal(self.child.id(), signal).expect("the process is there");
    }
    /// Tells it to end in order.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }
    /// Replaces the configuration and says so.
    pub fn replace_config(&self, text: &str) {
        std::fs::write(&self.config, text).expect("the configuration is written");
        self.signal(Signal::HUP);
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Holds a process still, and waits until it stands. What its sockets get from here on it has not seen when it goes on.
pub fn hold(id: u32) {
    send_signal(id, Signal::STOP).expect("the process is there");
    let status = format!("/proc/{id}/status");
    let stopped = || {
        std::fs::read_to_string(&status)
            .expect("the process is there")
            .contains("State:\tT")
    };
    wait_for(PATIENCE, || stopped().then_some(())).expect("the process stops");
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
}

pub const HEADERS: &str =
    "Host: backend.local\r\nX-Request-Id: 9b1f03aa5c7e2d41\r\nPlan: starter\r\n\
                       Cookie: client=00000000b4d65521\r\nQuota-Info: units=1,spread=1,first=0\r\n";

pub fn get(path: &str) -> String {
    format!(
        "GET /preview-fetch{path} HTTP/1.1\r\n{HEADERS}X-Class: preview-fetch\r\nX-Deadline: 4000m\r\n\r\n"
    )
}

pub fn post(body: &str) -> String {
    let length = body.len();
    format!(
        "POST /job-submit HTTP/1.1\r\n{HEADERS}X-Class: job-submit\r\nX-Deadline: 4000m\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

impl Client {
    pub fn send(&mut self, request: &str) -> &mut Client {
        self.stream
            .write_all(request.as_bytes())
            .expect("the request goes out");
        self
    }
    pub fn read(&mut self) -> Message {
        read_message(&self.stream)
            .expect("an answer comes")
            .expect("the connection stays until then")
    }
}
