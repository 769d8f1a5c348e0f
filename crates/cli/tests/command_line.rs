//! The command line of daisysill, through its binary.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::fs;

use assert_cmd::Command;
use tempfile::TempDir;

/// Guards against rule errors without file and line, and against a wrong exit code for them.
#[test]
fn check_reports_file_and_line() {
    let folder = TempDir::new().unwrap();
    fs::write(folder.path().join("booth.ini"), "[service]\nname = booth-app\n[rest]\nmemory_s = long\n")
        .unwrap();
    let output = Command::cargo_bin("daisysill").unwrap().arg("check").arg(folder.path()).output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(3), "{text}");
    assert!(text.starts_with("booth.ini:4: [rest] memory_s = \"long\": a whole number"), "{text}");
}

/// Guards against a digest that includes the newline of the input and so differs from the one a node computes.
#[test]
fn digest_excludes_the_newline() {
    let output =
        Command::cargo_bin("daisysill").unwrap().arg("digest").write_stdin("secret\n").output().unwrap();
    let expected = format!("{}\n", blake3::hash(b"secret").to_hex());
    assert_eq!(String::from_utf8(output.stdout).unwrap(), expected);
}
