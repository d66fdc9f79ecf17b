//! Case 8: a configuration takes a tenant away while requests of the tenant wait for its rate. The node
//! passes those requests on, and they run as if nobody's: without `X-Tenant`, and without their key
//! being checked again.

#[path = "../common-2/common.rs"]
mod common;

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write as _};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// The tenants: name, key, rate and burst.
const TENANTS: [(&str, &str); 3] = [
    (TENANT, KEY),
    ("hulo84", "8pjbvk9m68k7b2ex5wa5"),
    ("jepu9", "q1w7zr5tn3yk2mvd8xsb"),
];
const RATE: u32 = 300;
const BURST: u32 = 300;
/// A tenant's quota is 1.6 times its usual rate, and a hot tenant sends at most 7.5 times its usual:
/// 4.7 times its quota. This is less, 1,000 a second.
const CLIENTS: usize = 50;
const PAUSE: Duration = Duration::from_millis(50);

/// The tenant that each request's client has, by id.
static SENT: Mutex<BTreeMap<String, &str>> = Mutex::new(BTreeMap::new());
/// The ids that endpoints ran, with `X-Tenant`.
static RAN: Mutex<Vec<(Instant, String, Option<String>)>> = Mutex::new(Vec::new());

fn serve(endpoint: &Endpoint, stream: TcpStream) -> io::Result<()> {
    let mut conn = BufReader::new(stream);
    while let Some(head) = read_head(&mut conn)? {
        read_body(&mut conn, &head, false)?;
        if !endpoint.begin(&head) {
            let refusal = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
            conn.get_mut().write_all(refusal.as_bytes())?;
            continue;
        }
        let id = head.get("x-attempt-id").unwrap_or_default().to_owned();
        let tenant = head.get("x-tenant").map(str::to_owned);
        RAN.lock().unwrap().push((Instant::now(), id.clone(), tenant));
        conn.get_mut().write_all(endpoint.success(&head, 400).as_bytes())?;
        conn.get_mut().write_all(&pattern(400, &id))?;
    }
    Ok(())
}

/// Requests of one tenant, one after the other. Returns how many ended with each status.
fn client(
    deployment: &Deployment,
    (tenant, key): (&'static str, &str),
    stop: &AtomicBool,
) -> BTreeMap<u16, usize> {
    let mut counts = BTreeMap::new();
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(PAUSE);
        let id = next_id();
        SENT.lock().unwrap().insert(id.clone(), tenant);
        let text = request_of(key, "GET", "/leny950/x", &id, 2_000, "Connection: close\r\n");
        let answer = exchange(deployment.machines[0].outbound, &text, b"");
        let status = answer.ok().and_then(|(head, _)| head.status()).unwrap_or_default();
        deployment.record.line(format!("{id} of {tenant} ends with {status}"));
        *counts.entry(status).or_default() += 1;
    }
    counts
}

fn main() {
    let services = [("uk-south-a", "huvo11a"), ("uk-south-b", "lovo22d")];
    let mut deployment = Deployment::new(&services);
    let record = Arc::clone(&deployment.record);
    record.say(format!("trouble: {}", trouble()));
    let routes = [route("r-1", "/leny950/", "lovo22d", "unsafe", 2.0)];
    let names = ["huvo11a", "lovo22d"];
    let tenants = TENANTS.map(|(name, key)| tenant(name, key, RATE, BURST));
    deployment.store.configure(&configuration_of(7, &routes, &names, &tenants));
    deployment.start_nodes();
    let machines = deployment.machines.clone();
    let _front = Endpoint::start(&machines[0], "i-7f3a91c2", &record, serve);
    let _behind = Endpoint::start(&machines[1], "i-02d9e6b4", &record, serve);
    deployment.wait_ready(&[(0, "/leny950/probe".to_owned())]);
    thread::sleep(Duration::from_secs(3));
    let mut counts: BTreeMap<u16, usize> = BTreeMap::new();
    // Each of two tenants is hot for a while and loses its only key, and its entry with it.
    for (round, &(name, key)) in TENANTS[..2].iter().enumerate() {
        let stop = AtomicBool::new(false);
        thread::scope(|scope| {
            let (shared, stop) = (&deployment, &stop);
            let clients: Vec<_> = (0..CLIENTS)
                .map(|_| scope.spawn(move || client(shared, (name, key), stop)))
                .collect();
            thread::sleep(Duration::from_secs(4));
            let version = 9 + 4 * round as u32;
            let left = if trouble() { &tenants[round + 1..] } else { &tenants[..] };
            shared.record.line(format!("the operator writes version {version:08x}"));
            shared.store.configure(&configuration_of(version, &routes, &names, left));
            shared.record.line("it is acknowledged");
            thread::sleep(Duration::from_millis(1_500));
            stop.store(true, Ordering::Relaxed);
            for client in clients {
                for (status, count) in client.join().expect("a client ends") {
                    *counts.entry(status).or_default() += count;
                }
            }
        });
    }
    let (sent, ran) = (SENT.lock().unwrap(), RAN.lock().unwrap());
    let runs = ran.iter().filter_map(|(_, id, tenant)| Some((id, sent.get(id)?, tenant)));
    let runs: Vec<_> = runs.collect();
    let wrong: Vec<_> =
        runs.iter().filter(|(_, tenant, found)| found.as_deref() != Some(**tenant)).collect();
    record.say(format!("requests sent: {}, by status: {counts:?}", sent.len()));
    record.say(format!(
        "requests that ran: {}, with an X-Tenant that is not the tenant of the client's key: {}",
        runs.len(),
        wrong.len()
    ));
    for (id, tenant, found) in wrong.iter().take(3) {
        record.say(format!("{id}: key of {tenant}, X-Tenant {found:?}"));
    }
    let code = if runs.len() < 500 { 2 } else { i32::from(!wrong.is_empty()) };
    record.say(match code {
        0 => "UNASKED held",
        1 => "UNASKED is broken",
        _ => "could not run",
    });
    deployment.end(code);
}
