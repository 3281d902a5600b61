//! End-to-end tests of routes and pools from the operators' file, on loopback sockets.

use std::net::SocketAddr;
use std::path::Path;
use test_harness::peers::{caller_request, Backend, Client, Discovery};
use test_harness::planners::Files;
use test_harness::program::{Program, EXAMPLE};

const OPERATOR_FILE: &str = r#"
[[pool]]
name = "pricing"
group = [1]
[[pool]]
name = "booking"
group = [2]
[[pool]]
name = "nobody"
group = [9]
[[route]]
prefix = "/v2/api"
rewrite = "/api"
class = ["quote"]
pool = "pricing"
[[route]]
prefix = "/api"
pool = "booking"
[[route]]
prefix = "/empty"
pool = "nobody"
"#;

fn target(uid: &str, address: SocketAddr, group: u32) -> String {
    format!(r#"{{"uid":"{uid}","endpoint":"{address}","az":"hall","pod_group":{group},"state":"Ready"}}"#)
}

fn start(file: &str, files: &mut Files, discovery: &Discovery) -> Program {
    let operator = files.add("routes.toml", file, 0o600).expect("a file");
    let config = EXAMPLE.replace("workshop", "basic");
    let program = Path::new(env!("CARGO_BIN_EXE_granitethread"));
    let started = Program::start_with_operator_file(program, &config, discovery.address, Some(&operator))
        .expect("it starts");
    // The second call is the watch: by then the list has been applied.
    discovery.wait_for_calls(2);
    started
}

#[test]
fn each_route_reaches_its_own_pool_with_its_path() {
    let (pricing, booking) = (Backend::good(), Backend::good());
    let targets = [target("s-1", pricing.address, 1), target("s-2", booking.address, 2)].join(",");
    let discovery = Discovery::new(format!(r#"{{"rev":1,"all":true,"targets":[{targets}]}}"#));
    let mut files = Files(Vec::new());
    let gateway = start(OPERATOR_FILE, &mut files, &discovery);
    let mut client = Client::connect(gateway.address);
    let mut send_request =
        |class, path: &str| client.ask(&caller_request(class).text().replace("/api?x=1", path));

    assert_eq!(send_request("quote", "/v2/api/list?x=1").status(), 200);
    assert!(
        pricing.next().start.starts_with("GET /api/list?x=1 "),
        "the prefix is rewritten, the remainder kept"
    );
    assert_eq!(send_request("quote", "/api/v2?y=%2F").status(), 200);
    assert!(booking.next().start.starts_with("GET /api/v2?y=%2F "), "a path without a rewrite is unchanged");
    assert_eq!(send_request("confirm", "/v2/api").status(), 404, "the class has no route for this path");
    assert_eq!(send_request("quote", "/apis").status(), 404);
    let empty = send_request("quote", "/empty");
    assert!(matches!(empty.status(), 429 | 503) && empty.header("retry-after").is_some(), "{empty:?}");
    assert!(pricing.received_nothing() && booking.received_nothing());
    assert_eq!(
        client.ask("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n").status(),
        200,
        "no route may hide the readiness path"
    );
}

/// Two conflicting routes are reported in one line with both line numbers, and the program does not start.
#[test]
fn a_conflicting_route_table_is_refused_with_both_lines() {
    let mut files = Files(Vec::new());
    let conflicting = format!("{OPERATOR_FILE}[[route]]\nprefix = \"/api/\"\npool = \"pricing\"\n");
    let operator = files.add("routes.toml", &conflicting, 0o600).expect("a file");
    let discovery = Discovery::never_answers();
    let program = Path::new(env!("CARGO_BIN_EXE_granitethread"));
    let error = Program::start_with_operator_file(program, EXAMPLE, discovery.address, Some(&operator))
        .err()
        .expect("the table is refused");
    let check = std::process::Command::new(program).arg("check").arg(&operator).output().expect("it runs");
    let stderr = String::from_utf8_lossy(&check.stderr).into_owned();
    assert!(
        !check.status.success() && stderr.contains("line 22: a request") && stderr.lines().count() == 1,
        "{stderr}"
    );
    assert!(error.contains("line 22: a request can match this route and that of line 16"), "{error}");
}
