//! The cases. Each returns whether the rule was broken.

use std::{
    collections::HashMap,
    io::{self, Write},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
    },
    thread,
    time::Duration,
};

use crate::{
    Answer, Arrival, Call, Conn, Deployment, Endpoint, NodePlan, Record, Route, document, exchange,
    kill, node, read_answer, resident_kb, sleep_ms,
};

const HOST: &str = "shop.example";
/// `drainS` of the small deployments.
const DRAIN_MS: u64 = 2_000;
/// `contactS` of the small deployments.
const CONTACT_MS: u64 = 3_000;

pub fn run(case: &str, record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    match case {
        "departure" => departure(record, has_trouble),
        "early-answer" => early_answer(record, has_trouble),
        "poison" => poison(record, has_trouble),
        "tenant" => tenant(record, has_trouble),
        "slow-reader" => slow_reader(record, has_trouble),
        "endless-body" => endless_body(record, has_trouble),
        "two-owners" => two_owners(record, has_trouble),
        _ => Err(io::Error::other("there is no such case")),
    }
}

fn book(timeout_s: f64) -> Route {
    Route {
        name: "r-book",
        prefix: "/book/",
        service: "ledger",
        kind: "unsafe",
        timeout_s,
        is_public: true,
    }
}

/// Sends requests until each of these endpoints has run one.
fn warm_up(
    record: &Record,
    address: &str,
    seen: &Mutex<Vec<String>>,
    count: usize,
) -> io::Result<()> {
    for _ in 0..400 {
        let call = Call::new("POST", HOST, "/book/warm");
        let _ = call.send(address);
        let mut names = seen.lock().unwrap().clone();
        names.sort();
        names.dedup();
        if names.len() >= count {
            record.line(format!("all {count} endpoints serve"));
            return Ok(());
        }
        sleep_ms(50);
    }
    Err(io::Error::other("not all endpoints are used"))
}

/// A heartbeat that was sent before an endpoint deregistered arrives after it.
fn departure(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    /// How late the heartbeat arrives.
    const HELD_UP_MS: u64 = 3_500;
    /// How long the endpoint serves on after the acknowledgement of its leaving.
    const SERVES_ON_MS: u64 = DRAIN_MS + 3_000;
    const WORK_MS: u64 = 2_000;
    let plans = [node("desk-1", "desk"), node("ledger-1", "ledger"), node("ledger-2", "ledger")];
    let config = |version| document(version, &[book(5.0)], &["desk", "ledger"], "");
    let deployment = Deployment::start(record, &plans, config)?;
    let seen = Arc::new(Mutex::new(Vec::new()));
    let runs: Arc<Mutex<Vec<(String, String, u64)>>> = Arc::default();
    let mut endpoints = Vec::new();
    for (node, name) in deployment.nodes.iter().zip(["D1", "L1", "L2"]) {
        let (seen, runs) = (Arc::clone(&seen), Arc::clone(&runs));
        let behaviour = move |endpoint: &Endpoint, arrival: &Arrival, conn: &mut Conn| {
            conn.read_body(&arrival.head, false)?;
            seen.lock().unwrap().push(endpoint.name.clone());
            let id = arrival.head.get("x-attempt-id").unwrap_or_default().to_string();
            runs.lock().unwrap().push((endpoint.name.clone(), id, arrival.at_ms));
            if arrival.head.path() == "/book/slot" {
                sleep_ms(WORK_MS);
            }
            endpoint.answer(arrival, conn, 200, b"booked")
        };
        let endpoint = Endpoint::new(name, node, record, Box::new(behaviour));
        endpoint.start()?;
        endpoints.push(endpoint);
    }
    deployment.wait_ready(plans.len())?;
    let outbound = deployment.nodes[0].outbound.clone();
    warm_up(record, &outbound, &seen, 2)?;

    let leaver = &endpoints[1];
    leaver.pauses_heartbeats.store(true, SeqCst);
    sleep_ms(1_600);
    let (path, body) = leaver.next_heartbeat("ready");
    record.line(format!("endpoint L1 sends its last heartbeat: {body}"));
    let late = {
        let (record, leaver) = (Arc::clone(record), Arc::clone(leaver));
        thread::spawn(move || {
            if has_trouble {
                // The link holds it up. The endpoint gives up waiting for the acknowledgement.
                sleep_ms(HELD_UP_MS);
            }
            let answer = exchange(&leaver.control, "POST", &path, &body, Duration::from_secs(1));
            record.line(format!("the last heartbeat of L1 has arrived: {}", answer.text()));
        })
    };
    sleep_ms(300);
    if !leaver.deregister() {
        return Err(io::Error::other("the deregistration was not acknowledged"));
    }
    let acknowledged = record.ms();
    leaver.is_leaving.store(true, SeqCst);
    record.line("endpoint L1 deregisters, and the node beside it acknowledges that");

    let end = {
        let leaver = Arc::clone(leaver);
        thread::spawn(move || {
            sleep_ms(SERVES_ON_MS);
            leaver.end("it left as planned");
        })
    };
    let answers: Arc<Mutex<HashMap<String, Answer>>> = Arc::default();
    let mut clients = Vec::new();
    while record.ms() < acknowledged + HELD_UP_MS {
        sleep_ms(10);
    }
    for _ in 0..12 {
        let (record, answers, outbound) =
            (Arc::clone(record), Arc::clone(&answers), outbound.clone());
        clients.push(thread::spawn(move || {
            let mut call = Call::new("POST", HOST, "/book/slot");
            call.body = b"slot=9".to_vec();
            record.line(format!("client sends POST /book/slot id {}", call.id));
            let answer = call.send(&outbound);
            record.line(format!("client got for {}: {}", call.id, answer.text()));
            answers.lock().unwrap().insert(call.id, answer);
        }));
        sleep_ms(100);
    }
    for client in clients {
        let _ = client.join();
    }
    let _ = (late.join(), end.join());
    let runs = runs.lock().unwrap();
    let answers = answers.lock().unwrap();
    let late: Vec<_> =
        runs.iter().filter(|(name, _, at)| name == "L1" && *at > acknowledged + DRAIN_MS).collect();
    let lost = late
        .iter()
        .filter(|(_, id, _)| answers.get(id).is_none_or(|answer| answer.status != 200))
        .count();
    for (_, id, at) in &late {
        let after = at - acknowledged;
        record.line(format!("{id} reached L1 {after} ms after the acknowledgement"));
    }
    record.line(format!(
        "DRAIN: {} requests reached L1 later than drainS ({DRAIN_MS} ms) after the acknowledgement; {lost} of them were lost",
        late.len()
    ));
    deployment.clean_up();
    Ok(!late.is_empty())
}

/// An endpoint answers a few long requests before it has read all of them, and reads on.
fn early_answer(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    const BODY_BYTES: usize = 800_000;
    /// Clients send 16 KiB each 5 ms, which is 26 Mbit/s.
    const PACE: (usize, u64) = (16 * 1024, 5);
    const READ_BEFORE_ANSWER: usize = 64 * 1024;
    const TIMEOUT_MS: u64 = 2_000;
    const UPLOADS: usize = 12;
    const MORE_UPLOADS: usize = 100;
    /// Short requests beside these, so that early answers stay a small part of all.
    const MORE_OTHERS: (usize, usize) = (8, 300);
    const MORE_BODY_BYTES: usize = 3_000_000;
    /// Clients with short requests only, and how many each sends.
    const OTHERS: (usize, usize) = (6, 120);
    let plans = [node("desk-1", "desk"), node("ledger-1", "ledger"), node("ledger-2", "ledger")];
    let upload = Route { name: "r-upload", prefix: "/upload/", ..book(5.0) };
    let routes = [upload, book(TIMEOUT_MS as f64 / 1_000.0)];
    let config = |version| document(version, &routes, &["desk", "ledger"], "");
    let deployment = Deployment::start(record, &plans, config)?;
    let seen = Arc::new(Mutex::new(Vec::new()));
    let answered_early = Arc::new(AtomicU64::new(0));
    let mut endpoints = Vec::new();
    for (node, name) in deployment.nodes.iter().zip(["D1", "L1", "L2"]) {
        let (seen, answered_early) = (Arc::clone(&seen), Arc::clone(&answered_early));
        let behaviour = move |endpoint: &Endpoint, arrival: &Arrival, conn: &mut Conn| {
            seen.lock().unwrap().push(endpoint.name.clone());
            let length = arrival.head.get("content-length").and_then(|text| text.parse().ok());
            let length: usize = length.unwrap_or(0);
            if has_trouble && endpoint.name == "L1" && length > READ_BEFORE_ANSWER {
                conn.read_exact(READ_BEFORE_ANSWER)?;
                endpoint.answer(arrival, conn, 200, b"stored before")?;
                endpoint.record.line("endpoint L1 has answered early and reads on");
                answered_early.fetch_add(1, SeqCst);
                conn.read_exact(length - READ_BEFORE_ANSWER)?;
                return Ok(());
            }
            conn.read_body(&arrival.head, false)?;
            endpoint.answer(arrival, conn, 200, b"done")
        };
        let endpoint = Endpoint::new(name, node, record, Box::new(behaviour));
        endpoint.start()?;
        endpoints.push(endpoint);
    }
    deployment.wait_ready(plans.len())?;
    let outbound = deployment.nodes[0].outbound.clone();
    warm_up(record, &outbound, &seen, 2)?;

    // How many short requests were sent, were open at timeoutS, and half a second later.
    let counts: Arc<[AtomicU64; 3]> = Arc::default();
    let book_slot = {
        let (record, counts) = (Arc::clone(record), Arc::clone(&counts));
        move |conn: &mut Conn, client: &str| {
            let mut call = Call::new("POST", HOST, "/book/slot");
            call.body = b"slot=9".to_vec();
            call.deadline_ms = TIMEOUT_MS + 1_500;
            let sent = record.ms();
            record.line(format!("client {client} sends POST /book/slot id {}", call.id));
            let answer = call.send_on(conn);
            let took = record.ms() - sent;
            record.line(format!(
                "client {client} got for {} after {took} ms: {}",
                call.id,
                answer.text()
            ));
            let is_open_at = |limit: u64| answer.status == 0 || took > limit;
            counts[0].fetch_add(1, SeqCst);
            counts[1].fetch_add(u64::from(is_open_at(TIMEOUT_MS)), SeqCst);
            counts[2].fetch_add(u64::from(is_open_at(TIMEOUT_MS + 500)), SeqCst);
            answer.status
        }
    };
    let mut clients = Vec::new();
    for index in 0..OTHERS.0 {
        let (outbound, book_slot) = (outbound.clone(), book_slot.clone());
        clients.push(thread::spawn(move || -> io::Result<()> {
            let mut conn = Conn::open(&outbound, Duration::from_secs(1))?;
            for _ in 0..OTHERS.1 {
                book_slot(&mut conn, &format!("other-{index}"));
                sleep_ms(20);
            }
            Ok(())
        }));
    }
    for index in 0..UPLOADS {
        let (record, outbound, book_slot) =
            (Arc::clone(record), outbound.clone(), book_slot.clone());
        clients.push(thread::spawn(move || -> io::Result<()> {
            sleep_ms(100 * index as u64);
            let mut conn = Conn::open(&outbound, Duration::from_secs(1))?;
            let mut call = Call::new("POST", HOST, "/upload/photo");
            call.body = vec![b'p'; BODY_BYTES];
            record.line(format!(
                "client upload-{index} sends POST /upload/photo, {BODY_BYTES} bytes, id {}",
                call.id
            ));
            let answer = call.send_paced(&mut conn, PACE);
            record.line(format!("client upload-{index} got: {}", answer.text()));
            let closes = answer.head.as_ref().and_then(|head| head.get("connection"));
            if answer.status == 200 && closes.is_none_or(|value| !value.contains("close")) {
                // The connection is kept, so the client sends its next request on it.
                sleep_ms(300);
                book_slot(&mut conn, &format!("upload-{index}"));
            }
            Ok(())
        }));
    }
    for client in clients {
        client.join().map_err(|_| io::Error::other("client"))??;
    }
    // Not a part of the check: how the memory of the clients' node grows with further uploads.
    let memory_before = resident_kb("desk-1");
    let early_before = answered_early.load(SeqCst);
    let mut others = Vec::new();
    for _ in 0..MORE_OTHERS.0 {
        let outbound = outbound.clone();
        others.push(thread::spawn(move || -> io::Result<()> {
            let mut conn = Conn::open(&outbound, Duration::from_secs(1))?;
            for _ in 0..MORE_OTHERS.1 {
                Call::new("POST", HOST, "/book/slot").send_on(&mut conn);
            }
            Ok(())
        }));
    }
    for _ in 0..MORE_UPLOADS {
        let mut conn = Conn::open(&outbound, Duration::from_secs(1))?;
        let mut call = Call::new("POST", HOST, "/upload/photo");
        call.body = vec![b'p'; MORE_BODY_BYTES];
        call.send_on(&mut conn);
    }
    for other in others {
        other.join().map_err(|_| io::Error::other("client"))??;
    }
    sleep_ms(1_000);
    record.line(format!(
        "memory of desk-1: {memory_before} KiB, and {} KiB after {MORE_UPLOADS} more uploads on connections that are closed since, {} of them answered early",
        resident_kb("desk-1"),
        answered_early.load(SeqCst) - early_before
    ));
    let [sent, open, later] = [0, 1, 2].map(|index| counts[index].load(SeqCst));
    record.line(format!(
        "CONFIG: {sent} short requests, {} long ones, {early_before} of these answered early; {open} short requests were unanswered at timeoutS, {later} of them had no answer half a second later",
        UPLOADS
    ));
    deployment.clean_up();
    Ok(later * 2 > open)
}

/// A request crashes each endpoint that begins to run it, in a deployment with little traffic.
fn poison(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    const ATTEMPTS: usize = 12;
    const INTERVAL_MS: u64 = 5_000;
    const DOWN_MS: u64 = 2_500;
    const WORK_MS: u64 = 600;
    let plans = [
        node("desk-1", "desk"),
        node("ledger-1", "ledger"),
        node("ledger-2", "ledger"),
        node("ledger-3", "ledger"),
    ];
    let config = |version| document(version, &[book(5.0)], &["desk", "ledger"], "");
    let deployment = Deployment::start(record, &plans, config)?;
    let seen = Arc::new(Mutex::new(Vec::new()));
    let crashes: Arc<Mutex<Vec<u64>>> = Arc::default();
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut endpoints = Vec::new();
    let all: Arc<Mutex<HashMap<String, Arc<Endpoint>>>> = Arc::default();
    for (node, name) in deployment.nodes.iter().zip(["D1", "L1", "L2", "L3"]) {
        let seen = Arc::clone(&seen);
        let (crashes, peers, broken) =
            (Arc::clone(&crashes), Arc::clone(&all), Arc::clone(&broken));
        let behaviour = move |endpoint: &Endpoint, arrival: &Arrival, conn: &mut Conn| {
            conn.read_body(&arrival.head, false)?;
            seen.lock().unwrap().push(endpoint.name.clone());
            if arrival.head.path() == "/book/poison" && has_trouble {
                crashes.lock().unwrap().push(arrival.at_ms);
                endpoint.end("the request crashed it");
                let endpoint = Arc::clone(&peers.lock().unwrap()[&endpoint.name]);
                thread::spawn(move || {
                    sleep_ms(DOWN_MS);
                    let _ = endpoint.start();
                });
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let instance = endpoint.instance();
            if arrival.head.path() == "/book/slot" {
                sleep_ms(WORK_MS);
            }
            if endpoint.instance() != instance || !endpoint.is_up() {
                let id = arrival.head.get("x-attempt-id").unwrap_or_default().to_string();
                endpoint
                    .record
                    .line(format!("endpoint {} crashed while it ran {id}", endpoint.name));
                broken.lock().unwrap().push(id);
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            endpoint.answer(arrival, conn, 200, b"booked")
        };
        let endpoint = Endpoint::new(name, node, record, Box::new(behaviour));
        all.lock().unwrap().insert(name.into(), Arc::clone(&endpoint));
        endpoint.start()?;
        endpoints.push(endpoint);
    }
    deployment.wait_ready(plans.len())?;
    let outbound = deployment.nodes[0].outbound.clone();
    warm_up(record, &outbound, &seen, 3)?;
    sleep_ms(1_000);

    let is_done = Arc::new(AtomicBool::new(false));
    let others = {
        let (record, outbound, is_done) =
            (Arc::clone(record), outbound.clone(), Arc::clone(&is_done));
        thread::spawn(move || {
            let mut threads = Vec::new();
            while !is_done.load(SeqCst) {
                let (record, outbound) = (Arc::clone(&record), outbound.clone());
                threads.push(thread::spawn(move || {
                    let call = Call::new("POST", HOST, "/book/slot");
                    let answer = call.send(&outbound);
                    if answer.status != 200 {
                        record.line(format!("client got for {}: {}", call.id, answer.text()));
                    }
                    answer.status != 200
                }));
                sleep_ms(1_000);
            }
            threads.into_iter().filter_map(|thread| thread.join().ok()).filter(|bad| *bad).count()
        })
    };
    for attempt in 1..=ATTEMPTS {
        let mut call = Call::new("POST", HOST, "/book/poison");
        call.body = b"slot=13".to_vec();
        record.line(format!("client sends the poison request, attempt {attempt}, id {}", call.id));
        let answer = call.send(&outbound);
        record.line(format!("client got for attempt {attempt}: {}", answer.text()));
        sleep_ms(INTERVAL_MS);
    }
    is_done.store(true, SeqCst);
    let failed = others.join().unwrap_or(0);
    let crashes = crashes.lock().unwrap();
    let third = crashes.get(2).copied();
    let later =
        third.map_or(0, |third| crashes.iter().filter(|at| **at > third + CONTACT_MS).count());
    record.line(format!(
        "BUDGET: the request crashed {} endpoints, {later} of them later than contactS after the third crash (3 are allowed); {} other requests were running in a crash, {failed} other requests failed",
        crashes.len(),
        broken.lock().unwrap().len(),
    ));
    deployment.clean_up();
    Ok(later > 3)
}

/// A tenant that sends more than its quota is removed from the configuration.
fn tenant(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    const HOT_PER_S: u64 = 230;
    let plans = [node("desk-1", "desk"), node("ledger-1", "ledger")];
    let hot = r#"{"name":"hot","apiKeys":["key-of-hot"],"priority":1,"ratePerS":50,"burst":50}"#;
    let calm = r#"{"name":"calm","apiKeys":["key-of-calm"],"priority":1,"ratePerS":50,"burst":50}"#;
    let both = format!("{hot},{calm}");
    let routes = [Route { is_public: false, ..book(5.0) }];
    let config = |tenants: &str, version| document(version, &routes, &["desk", "ledger"], tenants);
    let deployment = Deployment::start(record, &plans, |version| config(&both, version))?;
    let seen: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    let mut endpoints = Vec::new();
    for (node, name) in deployment.nodes.iter().zip(["D1", "L1"]) {
        let seen = Arc::clone(&seen);
        let behaviour = move |endpoint: &Endpoint, arrival: &Arrival, conn: &mut Conn| {
            conn.read_body(&arrival.head, false)?;
            let text = |name| arrival.head.get(name).unwrap_or("-").to_string();
            seen.lock().unwrap().push((text("x-attempt-id"), text("x-tenant")));
            endpoint.answer(arrival, conn, 200, b"booked")
        };
        let endpoint = Endpoint::new(name, node, record, Box::new(behaviour));
        endpoint.start()?;
        endpoints.push(endpoint);
    }
    deployment.wait_ready(plans.len())?;
    let outbound = deployment.nodes[0].outbound.clone();
    let send = |key: &str| {
        let mut call = Call::new("POST", HOST, "/book/slot");
        call.key = Some(key.to_string());
        let answer = call.send(&outbound);
        (call.id, answer)
    };
    for attempt in 0.. {
        let statuses = [send("key-of-hot").1.status, send("key-of-calm").1.status];
        if statuses == [200, 200] {
            break;
        }
        if attempt > 200 {
            return Err(io::Error::other(format!("the tenants are not served: {statuses:?}")));
        }
        sleep_ms(50);
    }
    let sent: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let is_done = Arc::new(AtomicBool::new(false));
    let open = Arc::new(AtomicU64::new(0));
    let load = {
        let (record, outbound, is_done, sent) =
            (Arc::clone(record), outbound.clone(), Arc::clone(&is_done), Arc::clone(&sent));
        thread::spawn(move || {
            while !is_done.load(SeqCst) {
                let (record, outbound, sent, open) =
                    (Arc::clone(&record), outbound.clone(), Arc::clone(&sent), Arc::clone(&open));
                open.fetch_add(1, SeqCst);
                thread::spawn(move || {
                    let mut call = Call::new("POST", HOST, "/book/slot");
                    call.key = Some("key-of-hot".into());
                    sent.lock().unwrap().insert(call.id.clone(), record.ms());
                    let answer = call.send(&outbound);
                    record.line(format!("client hot got for {}: {}", call.id, answer.text()));
                    open.fetch_sub(1, SeqCst);
                });
                thread::sleep(Duration::from_micros(1_000_000 / HOT_PER_S));
            }
        })
    };
    sleep_ms(4_000);
    let changed = record.ms();
    let tenants = if has_trouble { calm } else { &both };
    deployment.configure(|version| config(tenants, version));
    sleep_ms(2_000);
    is_done.store(true, SeqCst);
    let _ = load.join();
    sleep_ms(1_000);
    let sent = sent.lock().unwrap();
    let mut foreign = 0;
    let mut hot_runs = 0;
    for (id, tenant) in seen.lock().unwrap().iter() {
        let Some(at) = sent.get(id) else { continue };
        hot_runs += 1;
        if tenant != "hot" {
            foreign += 1;
            let before = changed as i64 - *at as i64;
            record.line(format!(
                "{id}, sent {before} ms before the change with the key of tenant hot, ran with X-Tenant {tenant:?}"
            ));
        }
    }
    record.line(format!(
        "UNASKED: of {} requests with the key of tenant hot {hot_runs} ran, {foreign} of them without the tenant in X-Tenant",
        sent.len()
    ));
    deployment.clean_up();
    Ok(foreign > 0)
}

/// A new node is killed and started again just after it has become the owner of a tenant's quota,
/// while the earlier owner does not reach the store.
fn two_owners(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    const RATE: u64 = 120;
    const BURST: u64 = 14;
    const WINDOW_MS: u64 = 5_000;
    /// The index of the new node.
    const NEW: usize = 4;
    /// Requests a second at each of the two nodes where the tenant's clients are.
    const LOAD_PER_S: u64 = 200;
    // (ratePerS x window + burst) x (1 + quotaOverage) + quotaSlack
    let limit = ((RATE * WINDOW_MS / 1_000 + BURST) as f64 * 1.1 + 20.0) as usize;
    let plans = [
        NodePlan { has_relay: true, ..node("desk-1", "desk") },
        node("desk-2", "desk"),
        node("ledger-1", "ledger"),
        node("ledger-2", "ledger"),
        NodePlan { is_spare: true, ..node("desk-3", "desk") },
    ];
    // The first owner of the quota of this name is the node desk-1, the next one desk-3.
    let tenants = format!(
        r#"{{"name":"tenant-4","apiKeys":["key-4"],"priority":1,"ratePerS":{RATE},"burst":{BURST}}}"#
    );
    let routes = [Route { is_public: false, ..book(5.0) }];
    let config = |version| document(version, &routes, &["desk", "ledger"], &tenants);
    let deployment = Deployment::start(record, &plans, config)?;
    let runs: Arc<Mutex<Vec<(String, u64)>>> = Arc::default();
    let mut endpoints = Vec::new();
    for (node, name) in deployment.nodes.iter().zip(["D1", "D2", "L1", "L2", "D3"]) {
        let runs = Arc::clone(&runs);
        let behaviour = move |endpoint: &Endpoint, arrival: &Arrival, conn: &mut Conn| {
            conn.read_body(&arrival.head, false)?;
            let id = arrival.head.get("x-attempt-id").unwrap_or_default().to_string();
            runs.lock().unwrap().push((id, arrival.at_ms));
            endpoint.answer(arrival, conn, 200, b"booked")
        };
        endpoints.push(Endpoint::new(name, node, record, Box::new(behaviour)));
    }
    for endpoint in &endpoints[..NEW] {
        endpoint.start()?;
    }
    deployment.wait_ready(NEW)?;
    // Time for the first list of quota owners.
    sleep_ms(5_000);
    let sent: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let is_done = Arc::new(AtomicBool::new(false));
    let start_load = |index: usize| {
        let node = &deployment.nodes[index];
        let (name, outbound) = (node.name.clone(), node.outbound.clone());
        let (record, is_done, sent) = (Arc::clone(record), Arc::clone(&is_done), Arc::clone(&sent));
        thread::spawn(move || {
            while !is_done.load(SeqCst) {
                let (record, outbound, sent, name) =
                    (Arc::clone(&record), outbound.clone(), Arc::clone(&sent), name.clone());
                thread::spawn(move || {
                    let mut call = Call::new("POST", HOST, "/book/slot");
                    call.key = Some("key-4".into());
                    sent.lock().unwrap().insert(call.id.clone(), record.ms());
                    let answer = call.send(&outbound);
                    record.line(format!("client at {name} got for {}: {}", call.id, answer.status));
                });
                thread::sleep(Duration::from_micros(1_000_000 / LOAD_PER_S));
            }
        })
    };
    let mut loads = vec![start_load(0)];
    sleep_ms(5_000);
    deployment.start_node(NEW)?;
    endpoints[NEW].start()?;
    sleep_ms(300);
    loads.push(start_load(NEW));
    sleep_ms(600);
    let relay = &deployment.relays["desk-1"];
    if has_trouble {
        record.line("the store turns node desk-1 away: it resets its connections");
        relay.set_cut(true);
    }
    sleep_ms(2_000);
    if has_trouble {
        record.line("node desk-3 is killed and started again");
        kill("desk-3");
        sleep_ms(200);
        deployment.start_node(NEW)?;
    }
    sleep_ms(5_400);
    if has_trouble {
        relay.set_cut(false);
        record.line("the store serves node desk-1 again");
    }
    sleep_ms(3_000);
    is_done.store(true, SeqCst);
    for load in loads {
        let _ = load.join();
    }
    sleep_ms(1_000);
    let sent = sent.lock().unwrap();
    let runs = runs.lock().unwrap();
    let mut runs: Vec<(u64, u64)> =
        runs.iter().filter_map(|(id, at)| Some((*sent.get(id)?, *at))).collect();
    runs.sort_unstable();
    let mut worst = (0, 0);
    for &(from, _) in &runs {
        let is_in = |run: &&(u64, u64)| run.0 >= from && run.1 < from + WINDOW_MS;
        worst = worst.max((runs.iter().filter(is_in).count(), from));
    }
    record.line(format!(
        "QUOTA: {} requests of the tenant were sent and ran in the {WINDOW_MS} ms from {} ms on, {limit} are allowed",
        worst.0, worst.1
    ));
    deployment.clean_up();
    Ok(worst.0 > limit)
}

/// A client that reads slowly sends a further request, with `Expect: 100-continue`, before it has
/// read the answer to its first one.
fn slow_reader(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    const BODY_BYTES: usize = 8_000_000;
    const CLIENTS: usize = 5;
    let plans = [node("desk-1", "desk"), node("ledger-1", "ledger")];
    let routes = [Route { kind: "safe", ..book(8.0) }];
    let config = |version| document(version, &routes, &["desk", "ledger"], "");
    let deployment = Deployment::start(record, &plans, config)?;
    let seen = Arc::new(Mutex::new(Vec::new()));
    let mut endpoints = Vec::new();
    for (node, name) in deployment.nodes.iter().zip(["D1", "L1"]) {
        let seen = Arc::clone(&seen);
        let behaviour = move |endpoint: &Endpoint, arrival: &Arrival, conn: &mut Conn| {
            conn.read_body(&arrival.head, false)?;
            seen.lock().unwrap().push(endpoint.name.clone());
            let body = match arrival.head.path() {
                "/book/list" => vec![b'L'; BODY_BYTES],
                _ => b"found".to_vec(),
            };
            endpoint.answer(arrival, conn, 200, &body)
        };
        let endpoint = Endpoint::new(name, node, record, Box::new(behaviour));
        endpoint.start()?;
        endpoints.push(endpoint);
    }
    deployment.wait_ready(plans.len())?;
    let outbound = deployment.nodes[0].outbound.clone();
    warm_up(record, &outbound, &seen, 1)?;
    let mut wrong = 0;
    for index in 0..CLIENTS {
        let mut conn = Conn::open(&outbound, Duration::from_secs(1))?;
        conn.limit_receive_buffer();
        conn.stream.set_read_timeout(Some(Duration::from_secs(9)))?;
        let list = Call::new("GET", HOST, "/book/list");
        record.line(format!("client {index} sends GET /book/list, id {}", list.id));
        conn.stream.write_all(list.head().as_bytes())?;
        let first = if has_trouble { None } else { Some(read_answer(&mut conn)) };
        sleep_ms(300);
        let mut search = Call::new("PUT", HOST, "/book/search");
        search.body = b"day=2".to_vec();
        let head = search.head().replace("\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n");
        record.line(format!("client {index} sends PUT /book/search, id {}", search.id));
        conn.stream.write_all(head.as_bytes())?;
        sleep_ms(500);
        conn.stream.write_all(&search.body)?;
        let first = first.unwrap_or_else(|| read_answer(&mut conn));
        let is_whole = first.status == 200 && first.body == vec![b'L'; BODY_BYTES];
        let foreign = first.body.iter().position(|byte| *byte != b'L');
        record.line(format!(
            "client {index} got {} with {} bytes, the endpoint's body: {is_whole}",
            first.status,
            first.body.len()
        ));
        if let Some(at) = foreign.filter(|_| first.status == 200) {
            let end = (at + 40).min(first.body.len());
            let text = String::from_utf8_lossy(&first.body[at..end]).into_owned();
            record.line(format!("client {index}: foreign bytes from {at} on: {text:?}"));
            wrong += 1;
        }
    }
    record.line(format!(
        "MIXED: {wrong} of {CLIENTS} clients got a success with a body that isn't the endpoint's"
    ));
    deployment.clean_up();
    Ok(wrong > 0)
}

/// An endpoint in trouble sends bodies without end, in small chunks, until the caller closes.
fn endless_body(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    /// `memoryMb` of the machines. The platform kills a process that exceeds it.
    const MEMORY_KB: u64 = 260 * 1024;
    const KEPT_CONNECTIONS: usize = 10;
    const WORK_MS: u64 = 400;
    /// Requests to the service of the endpoint in trouble, and the time between two of them.
    const LISTS: (usize, u64) = (400, 10);
    let plans = [
        node("desk-1", "desk"),
        node("ledger-1", "ledger"),
        node("ledger-2", "ledger"),
        node("certs-1", "certs"),
    ];
    let routes = [
        Route { kind: "safe", ..book(5.0) },
        Route { name: "r-cert", prefix: "/cert/", service: "certs", ..book(5.0) },
    ];
    let config = |version| document(version, &routes, &["desk", "ledger", "certs"], "");
    let deployment = Deployment::start(record, &plans, config)?;
    let seen = Arc::new(Mutex::new(Vec::new()));
    let certs: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut endpoints = Vec::new();
    for (node, name) in deployment.nodes.iter().zip(["D1", "L1", "L2", "C1"]) {
        let (seen, certs) = (Arc::clone(&seen), Arc::clone(&certs));
        let behaviour = move |endpoint: &Endpoint, arrival: &Arrival, conn: &mut Conn| {
            conn.read_body(&arrival.head, false)?;
            seen.lock().unwrap().push(endpoint.name.clone());
            let id = arrival.head.get("x-attempt-id").unwrap_or_default().to_string();
            if has_trouble && endpoint.name == "L1" && arrival.head.path() == "/book/list" {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: seal.L1.{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                conn.stream.write_all(head.as_bytes())?;
                let chunks = b"1\r\nx\r\n".repeat(1_000);
                loop {
                    // Ends with an error once the caller has closed.
                    conn.stream.write_all(&chunks)?;
                }
            }
            if endpoint.name == "C1" {
                certs.lock().unwrap().push(id);
                sleep_ms(WORK_MS);
            }
            endpoint.answer(arrival, conn, 200, b"done")
        };
        let endpoint = Endpoint::new(name, node, record, Box::new(behaviour));
        endpoint.start()?;
        endpoints.push(endpoint);
    }
    deployment.wait_ready(plans.len())?;
    let outbound = deployment.nodes[0].outbound.clone();
    warm_up(record, &outbound, &seen, 2)?;

    let is_done = Arc::new(AtomicBool::new(false));
    let closed: Arc<Mutex<Vec<String>>> = Arc::default();
    let answered = Arc::new(AtomicU64::new(0));
    let mut kept = Vec::new();
    for index in 0..KEPT_CONNECTIONS {
        let address = deployment.nodes[1].outbound.clone();
        let (record, is_done, closed, answered) =
            (Arc::clone(record), Arc::clone(&is_done), Arc::clone(&closed), Arc::clone(&answered));
        kept.push(thread::spawn(move || {
            while !is_done.load(SeqCst) {
                let Ok(mut conn) = Conn::open(&address, Duration::from_secs(1)) else {
                    sleep_ms(100);
                    continue;
                };
                while !is_done.load(SeqCst) {
                    let call = Call::new("POST", HOST, "/cert/print");
                    let answer = call.send_on(&mut conn);
                    if answer.status == 200 {
                        answered.fetch_add(1, SeqCst);
                        continue;
                    }
                    if answer.status != 0 {
                        // A node that has just started refuses requests for a moment.
                        sleep_ms(200);
                        continue;
                    }
                    record.line(format!(
                        "client {index} at ledger-1 got for {}: {}",
                        call.id,
                        answer.text()
                    ));
                    closed.lock().unwrap().push(call.id);
                    break;
                }
            }
        }));
    }
    sleep_ms(1_000);
    let mut lists = Vec::new();
    let sending = {
        let outbound = outbound.clone();
        thread::spawn(move || {
            for _ in 0..LISTS.0 {
                let outbound = outbound.clone();
                lists.push(thread::spawn(move || {
                    Call::new("GET", HOST, "/book/list").send(&outbound).status
                }));
                sleep_ms(LISTS.1);
            }
            lists.into_iter().filter_map(|list| list.join().ok()).filter(|s| *s == 200).count()
        })
    };
    let mut kills = 0;
    let mut most = 0;
    while !sending.is_finished() {
        for index in 0..deployment.nodes.len() {
            let name = &deployment.nodes[index].name;
            let memory = resident_kb(name);
            most = most.max(memory);
            if memory > MEMORY_KB {
                kills += 1;
                record.line(format!("the platform kills node {name}, which holds {memory} KiB"));
                kill(name);
                sleep_ms(300);
                deployment.start_node(index)?;
            }
        }
        sleep_ms(20);
    }
    let listed = sending.join().unwrap_or_default();
    is_done.store(true, SeqCst);
    for client in kept {
        let _ = client.join();
    }
    let certs = certs.lock().unwrap();
    let closed = closed.lock().unwrap();
    let lost = closed.iter().filter(|id| certs.contains(id)).count();
    record.line(format!(
        "at ledger-1, {} requests on kept connections were answered; of {} lists {listed} were; most memory of a node: {most} KiB, {kills} kills",
        answered.load(SeqCst),
        LISTS.0
    ));
    record.line(format!(
        "LOST: {lost} requests from kept connections were passed on to the sound endpoint C1, and their connections closed without an answer (3 are allowed)"
    ));
    deployment.clean_up();
    Ok(lost > 3)
}
