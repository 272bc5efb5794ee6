//! Tests that the binaries reject invalid settings with exit code 2 and name the error.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use alderhaven_proof::condition;

/// Valid settings of an entry, with the required keys alone.
const VALID_ENTRY: &str = "\
node: entry-1
host: host-1
domain: accra-a
listen: 127.0.0.1:0
operator_listen: 127.0.0.1:0
peer_listen: 127.0.0.1:0
platform: 127.0.0.1:1
";
/// Valid settings of a relay, with the required keys alone.
const VALID_RELAY: &str = "\
node: relay-1
host: host-1
domain: accra-a
operator_listen: 127.0.0.1:0
peer_listen: 127.0.0.1:0
platform: 127.0.0.1:1
";

/// A line that makes valid settings invalid, and the texts that the error must contain.
type InvalidLine = (&'static str, &'static [&'static str]);

/// Lines that both binaries reject.
const INVALID_FOR_BOTH: [InvalidLine; 13] = [
    ("colour: blue", &["colour", "expected one of node, host"]),
    ("limits:\n  bodi: 1KB", &["bodi", "expected one of"]),
    ("limits: 7", &["limits: 7"]),
    ("log_level: LOUD", &["LOUD", "expected one of OFF, ERROR"]),
    (
        "policy: best",
        &["best", "expected one of current, baseline"],
    ),
    ("node: other-1", &["duplicate", "node"]),
    (
        "seeds: [platform.example]",
        &[
            "seeds",
            "`platform.example` is not a",
            "an IP number and a port",
        ],
    ),
    ("seeds: [127.0.0.1]", &["`127.0.0.1` is not a"]),
    ("seeds: 127.0.0.1:1", &["seeds"]),
    ("limits:\n  - 1", &["limits", "- 1"]),
    ("{", &["line "]),
    ("\tlimits: {}", &["limits"]),
    ("\u{1}", &["wrong.yaml"]),
];

/// Lines that an entry rejects.
const INVALID_FOR_ENTRY: [InvalidLine; 13] = [
    (
        "limits:\n  body: 12",
        &["body: 12", "`12` is not a size", "KB or MB"],
    ),
    (
        "limits:\n  body: 1B",
        &["limits.body", "1B is refused", "1KB to 1MB"],
    ),
    (
        "limits:\n  body: 2MB",
        &["limits.body", "2MB is refused", "1KB to 1MB"],
    ),
    (
        "limits:\n  head: 1KB",
        &["limits.head", "1KB is refused", "8KB to 256KB"],
    ),
    (
        "limits:\n  caller_connections: 0",
        &["limits.caller_connections", "0 is refused", "1 to 65536"],
    ),
    (
        "limits:\n  caller_connections: 999999",
        &["limits.caller_connections", "1 to 65536"],
    ),
    (
        "limits:\n  caller_connections: -1",
        &["caller_connections: -1"],
    ),
    (
        "limits:\n  read_timeout: 10",
        &["read_timeout: 10", "`10` is not a"],
    ),
    (
        "limits:\n  read_timeout: 0s",
        &["limits.read_timeout", "0us is refused", "1ms to 1m"],
    ),
    (
        "admission:\n  wait_share: 1.5",
        &["admission.wait_share", "1.5 is refused", "0 to 1"],
    ),
    (
        "admission:\n  give_up_share: .nan",
        &["admission.give_up_share", "NaN is refused"],
    ),
    (
        "choices:\n  hedging:\n    budget: -0.1",
        &["choices.hedging.budget", "-0.1 is refused"],
    ),
    ("relays: [10.0.0.1]", &["relays", "`10.0.0.1` is not a"]),
];

/// Lines that a relay rejects.
const INVALID_FOR_RELAY: [InvalidLine; 6] = [
    (
        "listen: 127.0.0.1:0",
        &["listen", "expected one of node, host"],
    ),
    (
        "limits:\n  peer_connections: 0",
        &["limits.peer_connections", "0 is refused", "1 to 65536"],
    ),
    (
        "limits:\n  connect_timeout: 2m",
        &["limits.connect_timeout", "2m is refused", "1ms to 1m"],
    ),
    (
        "queue:\n  max_jobs: 0",
        &["queue.max_jobs", "0 is refused", "1 to 65536"],
    ),
    (
        "queue:\n  aged_every: 0",
        &["queue.aged_every", "0 is refused", "1 to 1000"],
    ),
    (
        "limit:\n  fall_factor: 0.0",
        &["limit.fall_factor", "0 is refused", "0.1 to 1"],
    ),
];

/// The exit code and output of a binary.
struct ExitResult {
    exit_code: Option<i32>,
    stdout: String,
    stderr: String,
}

/// Runs a binary until it exits. Kills it and panics if it does not exit in time.
async fn run_to_exit(binary: &str, arguments: &[&str]) -> ExitResult {
    let mut child = Command::new(binary)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let exited = condition::until("the binary's end", async || Ok(child.try_wait()?)).await;
    if exited.is_err() {
        child.kill().unwrap();
    }
    let output = child.wait_with_output().unwrap();
    exited.unwrap_or_else(|_| panic!("{binary} {arguments:?} did not exit"));
    ExitResult {
        exit_code: output.status.code(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

fn write_file(directory: &str, name: &str, content: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(directory);
    fs::create_dir_all(&directory).unwrap();
    let path = directory.join(name);
    fs::write(&path, content).unwrap();
    path
}

async fn assert_all_rejected(role: &str, binary: &str, valid: &str, invalid: &[InvalidLine]) {
    for (line, parts) in invalid {
        let path = write_file(role, "wrong.yaml", &format!("{valid}{line}\n"));
        let path = path.to_str().unwrap();
        // Both a check and a start must reject the settings.
        for switches in [&["--check"][..], &[]] {
            let arguments = [&["--settings", path][..], switches].concat();
            let result = run_to_exit(binary, &arguments).await;
            assert_eq!(result.exit_code, Some(2), "`{line}`: {}", result.stderr);
            assert_eq!(result.stdout, "", "`{line}`");
            for part in parts.iter().chain(&[path]) {
                assert!(
                    result.stderr.contains(part),
                    "`{line}`: no `{part}` in {}",
                    result.stderr
                );
            }
            assert!(!result.stderr.contains("panicked"), "{}", result.stderr);
        }
    }
}

#[tokio::test]
async fn entry_rejects_invalid_settings() {
    let binary = env!("CARGO_BIN_EXE_proof-entry");
    assert_all_rejected("entry", binary, VALID_ENTRY, &INVALID_FOR_BOTH).await;
    assert_all_rejected("entry", binary, VALID_ENTRY, &INVALID_FOR_ENTRY).await;
}

#[tokio::test]
async fn relay_rejects_invalid_settings() {
    let binary = env!("CARGO_BIN_EXE_proof-relay");
    assert_all_rejected("relay", binary, VALID_RELAY, &INVALID_FOR_BOTH).await;
    assert_all_rejected("relay", binary, VALID_RELAY, &INVALID_FOR_RELAY).await;
}

#[tokio::test]
async fn both_reject_missing_files_keys_and_arguments() {
    let binaries = [
        (
            "alder-entry",
            env!("CARGO_BIN_EXE_proof-entry"),
            VALID_ENTRY,
        ),
        (
            "alder-relay",
            env!("CARGO_BIN_EXE_proof-relay"),
            VALID_RELAY,
        ),
    ];
    for (name, binary, valid) in binaries {
        let directory = env!("CARGO_TARGET_TMPDIR");
        let empty = write_file(name, "empty.yaml", "");
        let large = write_file(name, "large.yaml", &"# a long comment\n".repeat(80_000));
        let files = [
            ("/nowhere/none.yaml", "No such file"),
            (directory, "directory"),
            (empty.to_str().unwrap(), "end of input"),
            (large.to_str().unwrap(), "larger than 1048576 bytes"),
        ];
        for (path, part) in files {
            let result = run_to_exit(binary, &["--settings", path]).await;
            assert_eq!(result.exit_code, Some(2), "{path}: {}", result.stderr);
            let names_path_and_error = result.stderr.contains(path) && result.stderr.contains(part);
            assert!(names_path_and_error, "{path}: {}", result.stderr);
        }
        for line in valid.lines() {
            let key = line.split(':').next().unwrap();
            let others = valid.lines().filter(|other| *other != line);
            let without = others.collect::<Vec<_>>().join("\n");
            let path = write_file(name, "without.yaml", &without);
            let result = run_to_exit(binary, &["--settings", path.to_str().unwrap()]).await;
            assert_eq!(result.exit_code, Some(2), "{}", result.stderr);
            let part = format!("missing field `{key}`");
            assert!(result.stderr.contains(&part), "{}", result.stderr);
        }
        for arguments in [&[][..], &["--colour"], &["--settings"], &["more"]] {
            let result = run_to_exit(binary, arguments).await;
            assert_eq!(
                result.exit_code,
                Some(2),
                "{arguments:?}: {}",
                result.stderr
            );
            let hint = format!("Run {name} --help");
            assert!(result.stderr.contains(&hint), "{}", result.stderr);
        }
        let help = run_to_exit(binary, &["--help"]).await;
        assert_eq!(
            (help.exit_code, help.stdout.contains("--print-settings")),
            (Some(0), true)
        );
    }
}

#[tokio::test]
async fn both_print_settings_that_check() {
    let binaries = [
        (
            "alder-entry",
            env!("CARGO_BIN_EXE_proof-entry"),
            VALID_ENTRY,
        ),
        (
            "alder-relay",
            env!("CARGO_BIN_EXE_proof-relay"),
            VALID_RELAY,
        ),
    ];
    for (name, binary, valid) in binaries {
        let path = write_file(name, "good.yaml", valid);
        let printed = run_to_exit(
            binary,
            &["--settings", path.to_str().unwrap(), "--print-settings"],
        )
        .await;
        assert_eq!((printed.exit_code, printed.stderr.as_str()), (Some(0), ""));
        assert!(printed.stdout.contains("limits:"), "{}", printed.stdout);
        let path = write_file(name, "printed.yaml", &printed.stdout);
        let path = path.to_str().unwrap();
        let checked = run_to_exit(binary, &["--settings", path, "--check"]).await;
        assert_eq!(checked.exit_code, Some(0), "{}", checked.stderr);
        assert_eq!(
            checked.stdout.trim_end(),
            format!("{path}: the settings are good")
        );
        let again = run_to_exit(binary, &["--settings", path, "--print-settings"]).await;
        assert_eq!(again.stdout, printed.stdout);
    }
}
