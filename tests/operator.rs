//! Validation of the operators' file and of the example gateway configuration by the program.

use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};

const PROGRAM: &str = env!("CARGO_BIN_EXE_granitethread");
static NUMBER: AtomicU32 = AtomicU32::new(0);

/// A temporary file, removed on drop.
struct TempFile(PathBuf);

impl TempFile {
    fn new(text: &str, extension: &str) -> Self {
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("granitethread-operator-{}-{number}.{extension}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).expect("a file");
        TempFile(path)
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Runs `granitethread check` on a file.
fn check(file: &PathBuf) -> Output {
    Command::new(PROGRAM).arg("check").arg(file).output().expect("it runs")
}

/// Returns the path of a file of the repository's `deploy` folder.
fn repository(file: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("deploy").join(file)
}

#[test]
fn the_example_files_of_the_repository_are_valid() {
    for file in ["operator.toml", "gateway.example.json"] {
        let output = check(&repository(file));
        assert!(output.status.success(), "{file}: {}", String::from_utf8_lossy(&output.stderr));
        assert!(output.stderr.is_empty() && output.stdout.is_empty());
    }
}

#[test]
fn an_invalid_file_is_one_line_with_its_position_on_check_and_on_start() {
    for (text, expected) in [
        ("[lifecycle]\nway_back = 3\n", ":2: lifecycle.way_back: unknown field"),
        ("[planet]\nx = 1\n", ":1: planet: unknown field"),
        ("\n[lifecycle]\nmodule_grace_ms = true\n", ":3: lifecycle.module_grace_ms: invalid type"),
        (
            "[lifecycle]\nkey_margin_ms = 1001\n",
            ":2: lifecycle.key_margin_ms: 1001 is out of range: 0 to 1000",
        ),
    ] {
        let file = TempFile::new(text, "toml");
        let started = Command::new(PROGRAM)
            .env("GRANITETHREAD_OPERATOR", &file.0)
            .env("LB_CONFIG", repository("gateway.example.json"))
            .output()
            .expect("it runs");
        for output in [check(&file.0), started] {
            let stderr = String::from_utf8_lossy(&output.stderr);
            assert_eq!(output.status.code(), Some(1), "{stderr}");
            assert_eq!(stderr.lines().count(), 1, "{stderr}");
            assert!(stderr.contains(expected) && stderr.contains(&file.0.display().to_string()), "{stderr}");
        }
    }
    let gateway_config = TempFile::new("{\"listen\": 5}", "json");
    let output = check(&gateway_config.0);
    assert_eq!((output.status.code(), String::from_utf8_lossy(&output.stderr).lines().count()), (Some(1), 1));
    let missing = check(&PathBuf::from("no-such-file.toml"));
    assert_eq!(
        (missing.status.code(), String::from_utf8_lossy(&missing.stderr).lines().count()),
        (Some(1), 1)
    );
}

/// With `log.format = "json"` each log line is an object with the message and its fields.
#[test]
fn the_log_is_json_when_asked_for() {
    use std::io::{BufRead, BufReader};
    let file = TempFile::new("[log]\nformat = \"json\"\n", "toml");
    let mut child = Command::new(PROGRAM)
        .env("GRANITETHREAD_OPERATOR", &file.0)
        .env("LB_CONFIG", repository("gateway.example.json"))
        .env("LB_LISTEN", "127.0.0.1:0")
        .stderr(std::process::Stdio::piped())
        .spawn()
        .expect("it runs");
    let mut line = String::new();
    BufReader::new(child.stderr.take().expect("piped")).read_line(&mut line).expect("a line");
    let _ = (child.kill(), child.wait());
    let event: serde_json::Value = serde_json::from_str(&line).unwrap_or_else(|e| panic!("{line}: {e}"));
    let address = event["address"].as_str().expect("an address field");
    assert_eq!(event["message"], format!("listening on {address}"));
    assert_eq!(event["level"], "INFO");
}
