//! A target that responds to each request by a script, and records all requests.

use std::{
    io::{self, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use socket2::SockRef;

/// What the target does with one request, step by step.
#[derive(Debug, Clone)]
pub enum Step {
    /// Sends bytes.
    Send(Vec<u8>),
    /// Increments a counter.
    Count(Arc<AtomicUsize>),
    /// Waits.
    Wait(Duration),
    /// Sends bytes when the next request has arrived on the connection.
    Stray(Vec<u8>),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}

/// Returns the steps for the text of a request.
pub type Script = Arc<dyn Fn(&str) -> Vec<Step> + Send + Sync>;

/// Returns the steps that send this text.
pub fn text(text: &str) -> Vec<Step> {
    vec![Step::Send(text.as_bytes().to_vec())]
}

/// A fake target on a port of its own.
#[derive(Clone)]
pub struct Target {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<String>>>,
    closed: Arc<Mutex<usize>>,
    connections: Arc<AtomicUsize>,
}

impl Target {
    /// Starts a target on a free port.
    pub fn start(script: Script) -> Target {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let target = Target {
            address,
            seen: Arc::default(),
            closed: Arc::default(),
            connections: Arc::default(),
        };
        let served = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (target, script) = (served.clone(), Arc::clone(&script));
                target.connections.fetch_add(1, Ordering::Relaxed);
                thread::spawn(move || {
                    let _ = target.serve(stream, &script);
                    *target.closed.lock().expect("the lock is not poisoned") += 1;
                });
            }
        });
        target
    }

    /// Returns the text of every recorded request.
    pub fn seen(&self) -> Vec<String> {
        self.seen.lock().expect("the lock is not poisoned").clone()
    }

    /// Removes all recorded requests.
    pub fn clear_seen(&self) {
        self.seen.lock().expect("the lock is not poisoned").clear();
    }

    /// Returns the number of accepted connections.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that have ended.
    pub fn closed(&self) -> usize {
        *self.closed.lock().expect("the lock is not poisoned")
    }

    fn serve(&self, mut stream: TcpStream, script: &Script) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut stray = Vec::new();
        while let Some(request) = read_request(&mut stream)? {
            stream.write_all(&std::mem::take(&mut stray))?;
            self.seen.lock().expect("the lock is not poisoned").push(request.clone());
            let steps = if request.starts_with("GET /ready") {
                text("HTTP/1.1 204 No Content\r\n\r\n")
            } else {
                script(&request)
            };
            let is_early = is_early(&request);
            for step in steps {
                match step {
                    Step::Send(bytes) => stream.write_all(&bytes)?,
                    Step::Count(counter) => {
                        counter.fetch_add(1, Ordering::Relaxed);
                    }
                    Step::Stray(bytes) => stray = bytes,
                    Step::Wait(time) => thread::sleep(time),
                    Step::Close => return Ok(()),
                    Step::Reset => {
                        return SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    }
                }
            }
            if is_early {
                return io::copy(&mut stream, &mut io::sink()).map(drop);
            }
        }
        Ok(())
    }
}

/// Whether the target responds before it has read the body, which it then reads until the connection
/// ends: the path ends with `early`.
fn is_early(head: &str) -> bool {
    head.lines().next().is_some_and(|line| line.ends_with("early HTTP/1.1"))
}

/// Reads one request with its body, or only its head if the target responds early. Returns `None` if the
/// connection has ended.
fn read_request(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes);
        if let Some((head, body)) = text.split_once("\r\n\r\n")
            && is_complete(head, body)
        {
            return Ok(Some(text.into_owned()));
        }
        match stream.read(&mut buffer)? {
            0 => return Ok(None),
            count => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

fn is_complete(head: &str, body: &str) -> bool {
    if is_early(head) {
        return true;
    }
    let head = head.to_ascii_lowercase();
    if head.contains("transfer-encoding: chunked") {
        return body.contains("0\r\n") && body.ends_with("\r\n\r\n");
    }
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    body.len() >= length
}
