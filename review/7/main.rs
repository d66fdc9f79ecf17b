//! Case 7: an endpoint answers a long request before it has read it in full. When the node beside the
//! client has passed the request on to another node, it reads no more from the client's connection,
//! and the next request on that connection is never answered.

#[path = "../common-2/common.rs"]
mod common;

use std::io::{self, BufReader, Write as _};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Long requests that get an early answer in the trouble, at most. `garble` spoils x (.02) of the
/// answers of a share (.5) of the endpoints.
const LONG: usize = 10;
/// Short requests that the same endpoint answers meanwhile, about.
const SHORT: usize = 600;
/// The length of a long body; `maxBodyBytes` is 67,108,864.
const LONG_BYTES: usize = 1_500_000;
/// The route's timeout.
const TIMEOUT: Duration = Duration::from_secs(1);
/// What the clients wait for an answer; longer than the bound of CONFIG, 0.5 s after the timeout.
const PATIENCE: Duration = Duration::from_secs(4);

static EARLY: AtomicUsize = AtomicUsize::new(0);
static ANSWERS: AtomicUsize = AtomicUsize::new(0);

/// Answers each request once it is in, or a long one before that, if `is_faulty`. Reads on later.
fn serve(endpoint: &Endpoint, stream: TcpStream, is_faulty: bool) -> io::Result<()> {
    let mut conn = BufReader::new(stream);
    while let Some(head) = read_head(&mut conn)? {
        if !endpoint.begin(&head) {
            read_body(&mut conn, &head, false)?;
            let refusal = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
            conn.get_mut().write_all(refusal.as_bytes())?;
            continue;
        }
        let id = head.get("x-attempt-id").unwrap_or_default().to_owned();
        let mut answer = endpoint.success(&head, 400).into_bytes();
        answer.extend(pattern(400, &id));
        let is_long = head.length().unwrap_or_default() >= LONG_BYTES;
        let is_early = is_faulty && is_long && EARLY.fetch_add(1, Ordering::Relaxed) < LONG;
        if is_early {
            conn.get_mut().write_all(&answer)?;
            endpoint.record.line(format!("{} has answered {id} early", endpoint.instance));
        }
        read_body(&mut conn, &head, false)?;
        if !is_early {
            conn.get_mut().write_all(&answer)?;
        }
        ANSWERS.fetch_add(1, Ordering::Relaxed);
    }
    Ok(())
}

/// How a request of a client ended.
#[derive(Debug, Clone, PartialEq)]
enum End {
    Answered { status: u16, after: Duration, is_whole: bool },
    Closed(Duration),
    Unanswered,
}

/// Sends a long request and then a short one on the same connection. Each is written in a thread of
/// its own while the answer is awaited, so a client that can't write on still reads.
fn upload(deployment: &Deployment, number: usize) -> (End, Option<End>) {
    let record = &deployment.record;
    let stream = connect(deployment.machines[0].outbound).expect("the node listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("not zero");
    let mut conn = BufReader::new(stream);
    let long_id = next_id();
    let more = format!("Content-Length: {LONG_BYTES}\r\n");
    let head = request("POST", "/puka111/long", &long_id, PATIENCE.as_millis() as u64, &more);
    let mut writer = conn.get_ref().try_clone().expect("a second handle");
    let log = Arc::clone(record);
    let writing = thread::spawn(move || {
        writer.set_write_timeout(Some(PATIENCE)).expect("not zero");
        log.line(format!("client {number} sends {long_id}"));
        let body = pattern(LONG_BYTES, &long_id);
        let sent = writer.write_all(head.as_bytes()).and_then(|()| writer.write_all(&body));
        log.line(format!("client {number} has sent the body of {long_id}: {sent:?}"));
        sent.is_ok()
    });
    let first = await_answer(&mut conn, record, number, "long");
    let is_sent = writing.join().expect("the writer ends");
    let is_kept = matches!(first, End::Answered { .. });
    if !is_kept {
        return (first, None);
    }
    if !is_sent {
        record.line(format!("client {number} can't send the rest of its body"));
        return (first, Some(End::Unanswered));
    }
    let id = next_id();
    let text = request("POST", "/puka111/short", &id, PATIENCE.as_millis() as u64, "Content-Length: 3\r\n");
    record.line(format!("client {number} sends {id} on the same connection"));
    let sent = conn.get_mut().write_all(text.as_bytes()).and_then(|()| conn.get_mut().write_all(b"abc"));
    if sent.is_err() {
        return (first, None);
    }
    let second = await_answer(&mut conn, record, number, "short");
    (first, Some(second))
}

fn await_answer(conn: &mut Conn, record: &Record, number: usize, what: &str) -> End {
    let begun = Instant::now();
    let read = read_head(conn).and_then(|head| match head {
        Some(head) => read_body(conn, &head, true).map(|body| Some((head, body))),
        None => Ok(None),
    });
    let after = begun.elapsed();
    let end = match read {
        Ok(Some((head, body))) => {
            let id = head.get("x-attempt-id").unwrap_or_default();
            let is_whole = head.status() != Some(200) || body == pattern(400, id);
            End::Answered { status: head.status().unwrap_or_default(), after, is_whole }
        }
        Ok(None) => End::Closed(after),
        Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
            End::Unanswered
        }
        Err(_) => End::Closed(after),
    };
    record.line(format!("client {number}, {what} request: {end:?}"));
    end
}

/// Short requests, so that the early answers stay a small part of the endpoint's answers.
fn short_requests(deployment: &Deployment, count: usize) -> usize {
    let mut served = 0;
    let mut kept: Option<Conn> = None;
    for _ in 0..count {
        thread::sleep(Duration::from_millis(10));
        let mut conn = match kept.take() {
            Some(conn) => conn,
            None => BufReader::new(connect(deployment.machines[0].outbound).expect("the node listens")),
        };
        conn.get_ref().set_read_timeout(Some(PATIENCE)).expect("not zero");
        let text = request("POST", "/puka111/short", &next_id(), 4_000, "Content-Length: 3\r\n");
        let sent = conn.get_mut().write_all(text.as_bytes()).and_then(|()| conn.get_mut().write_all(b"abc"));
        if sent.is_err() {
            continue;
        }
        let Ok(Some(head)) = read_head(&mut conn) else { continue };
        if read_body(&mut conn, &head, true).is_ok() {
            served += usize::from(head.status() == Some(200));
            kept = Some(conn);
        }
    }
    served
}

fn main() {
    let services = [("uk-south-a", "huvo11a"), ("uk-south-b", "lovo22d"), ("uk-south-c", "lovo22d")];
    let mut deployment = Deployment::new(&services);
    let record = Arc::clone(&deployment.record);
    record.say(format!("trouble: {}", trouble()));
    let routes = [route("r-1", "/puka111/", "lovo22d", "unsafe", TIMEOUT.as_secs_f64())];
    deployment.store.configure(&configuration(7, &routes, &["huvo11a", "lovo22d"]));
    deployment.start_nodes();
    let machines = deployment.machines.clone();
    let _front = Endpoint::start(&machines[0], "i-7f3a91c2", &record, |e, s| serve(e, s, false));
    // One of two endpoints of the service answers early: a share of 0.5.
    let _faulty = Endpoint::start(&machines[1], "i-02d9e6b4", &record, |e, s| serve(e, s, trouble()));
    let _sound = Endpoint::start(&machines[2], "i-11aa22bb", &record, |e, s| serve(e, s, false));
    deployment.wait_ready(&[(0, "/puka111/probe".to_owned())]);
    thread::sleep(Duration::from_secs(3));
    let (ends, served) = thread::scope(|scope| {
        let shared = &deployment;
        let short: Vec<_> =
            (0..4).map(|_| scope.spawn(move || short_requests(shared, SHORT / 2))).collect();
        let uploads: Vec<_> = (0..LONG * 2)
            .map(|number| {
                scope.spawn(move || {
                    thread::sleep(Duration::from_millis(120 * number as u64));
                    upload(shared, number)
                })
            })
            .collect();
        let ends: Vec<_> = uploads.into_iter().map(|one| one.join().expect("it ends")).collect();
        let served: usize = short.into_iter().map(|one| one.join().expect("it ends")).sum();
        (ends, served)
    });
    let bound = TIMEOUT + Duration::from_millis(500);
    let is_late = |end: &End| match end {
        End::Answered { after, .. } => *after > bound,
        End::Closed(after) => *after > bound,
        End::Unanswered => true,
    };
    let first = ends.iter().filter(|(first, _)| matches!(first, End::Answered { status: 200, is_whole: true, .. })).count();
    let followers: Vec<&End> = ends.iter().filter_map(|(_, second)| second.as_ref()).collect();
    // Those that are unanswered at their route's timeout, and those of them without an answer half a
    // second later.
    let overdue = followers.iter().filter(|end| match end {
        End::Answered { after, .. } => *after > TIMEOUT,
        _ => true,
    });
    let overdue = overdue.count();
    let late = followers.iter().filter(|end| is_late(end)).count();
    let (early, answers) = (EARLY.load(Ordering::Relaxed).min(LONG), ANSWERS.load(Ordering::Relaxed));
    record.say(format!("short requests served: {served}; answers of endpoints: {answers}, early: {early}"));
    record.say(format!("long requests: {}, served: {first}", ends.len()));
    record.say(format!(
        "next requests on their connections: {}; unanswered at the timeout: {overdue}; 0.5 s later: {late}",
        followers.len()
    ));
    let code = match (followers.len() >= LONG, late >= 4 && late * 2 > overdue) {
        (false, _) => 2,
        (true, broken) => i32::from(broken),
    };
    record.say(match code {
        0 => "CONFIG held",
        1 => "CONFIG is broken",
        _ => "could not run",
    });
    deployment.end(code);
}
