//! Tests of the binary against the platform stand-in: output and exit codes.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use alderhaven_core::config_object::{ObjectKey, ObjectKind};
use alderhaven_standin::platform_faults::PlatformFaults;
use alderhaven_standin::platform_server::{PlatformOptions, PlatformServer};
use serde_json::Value;

fn example_path(folder: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../examples")
        .join(folder)
}

/// Runs the binary without blocking the platform stand-in, which runs in this process.
async fn run_alderctl(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_alderctl"));
    command.args(args);
    tokio::task::spawn_blocking(move || command.output().expect("the binary starts"))
        .await
        .expect("the task does not panic")
}

/// Runs the binary as an operator, with JSON output.
async fn run_as_operator(platform: &PlatformServer, operator: &str, args: &[&str]) -> Output {
    let address = platform.address().to_string();
    let base = ["--json", "--operator", operator, "--platform", &address];
    let args: Vec<&str> = base.into_iter().chain(args.iter().copied()).collect();
    run_alderctl(&args).await
}

async fn start_platform() -> PlatformServer {
    PlatformServer::start(PlatformOptions::default())
        .await
        .expect("a port is free")
}

fn stdout_json(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).expect("standard output is one JSON document")
}

/// One write is dropped and the reply to another is lost. The publisher must not report a conflict
/// with its own write, and the object must be written only once.
#[tokio::test(flavor = "multi_thread")]
async fn publish_recovers_from_lost_reply() {
    let platform = start_platform().await;
    platform.store().set_faults(PlatformFaults {
        lose_write_replies: 1,
        drop_writes: 1,
        ..PlatformFaults::default()
    });
    let address = platform.address().to_string();
    let file = example_path("volta/templates/record-fetch.yaml");
    let file = file.display().to_string();
    let args = [
        "--operator",
        "ama",
        "--platform",
        &address,
        "publish",
        &file,
        "--json",
    ];
    let output = run_alderctl(&args).await;
    let report = stdout_json(&output);
    assert_eq!(output.status.code(), Some(0), "{report}");
    assert_eq!(report["publications"][0]["outcome"], "published");
    let key = ObjectKey {
        kind: ObjectKind::Template,
        name: "record-fetch".to_owned(),
    };
    let table = platform.store().table();
    let stored = table.get(&key).expect("the object is stored");
    assert_eq!(report["publications"][0]["id"], stored.write_id.as_str());
    assert_eq!(table.revision().revision, 1, "the object is written once");
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_ends_and_rolls_back_over_http() {
    let platform = start_platform().await;
    let begun = run_as_operator(&platform, "ama", &["drain", "--target", "desk-1"]).await;
    assert_eq!(begun.status.code(), Some(0));
    let ended = run_as_operator(&platform, "kofi", &["drain", "--target", "desk-1", "--end"]).await;
    assert_eq!(ended.status.code(), Some(0));
    let key: ObjectKey = "drain/desk-1".parse().expect("the key is valid");
    let stored_body = || {
        platform
            .store()
            .table()
            .get(&key)
            .and_then(|object| object.body.clone())
    };
    assert_eq!(stored_body(), None);

    let history = run_as_operator(&platform, "ama", &["history", "drain/desk-1"]).await;
    let entry = &stdout_json(&history)["entries"][0];
    assert_eq!(entry["body"], "{}");
    let version = entry["version"].to_string();
    let args = ["rollback", "drain/desk-1", "--to", &version];
    let rolled_back = run_as_operator(&platform, "ama", &args).await;
    assert_eq!(rolled_back.status.code(), Some(0));
    assert_eq!(stored_body().as_deref(), Some("{}"));
}

#[tokio::test(flavor = "multi_thread")]
async fn publish_twice_reports_unchanged() {
    let platform = start_platform().await;
    let teams = example_path("volta/teams").display().to_string();
    let first = run_as_operator(&platform, "ama", &["publish", &teams]).await;
    assert_eq!(first.status.code(), Some(0));
    let revision = platform.store().table().revision();
    let second = run_as_operator(&platform, "kofi", &["publish", &teams]).await;
    assert_eq!(
        stdout_json(&second)["publications"][0]["outcome"],
        "unchanged"
    );
    assert_eq!(platform.store().table().revision(), revision);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_arguments_are_reported() {
    let refused = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/refused");
    let refused = refused.display().to_string();
    let cases: [(&[&str], &str); 6] = [
        (&["check", &refused], "16 problems"),
        (&["publish", "x"], "no operator is given"),
        (&["status"], "no nodes are given"),
        (&["drain"], "either --target or --node"),
        (&["history", "team"], "a kind and a name"),
        (&["--settings", "absent.yaml", "status"], "absent.yaml"),
    ];
    for (args, expected) in cases {
        let output = run_alderctl(args).await;
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&text);
        assert_eq!(output.status.code(), Some(2), "{args:?}: {text}");
        assert!(text.contains(expected), "{args:?}: {text}");
    }
}

#[test]
fn hash_token_reads_standard_input() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_alderctl"))
        .args(["hash-token", "--json"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let mut input = child.stdin.take().expect("standard input is piped");
    input
        .write_all(b"volta-example-token\n")
        .expect("the binary reads standard input");
    drop(input);
    let output = child.wait_with_output().expect("the binary exits");
    let hash = alderhaven_core::team::hash_token("volta-example-token");
    assert_eq!(stdout_json(&output)["token_hash"], hash.as_str());
}
