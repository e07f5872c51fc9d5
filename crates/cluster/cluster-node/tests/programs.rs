//! The three programs: their flags, the check of their settings, and their exit codes.

mod common;

use std::path::PathBuf;
use std::process::{Command, Output};

use common::folder;

const CORE: &str = env!("CARGO_BIN_EXE_sagetrail-core");
const FRONTEND: &str = env!("CARGO_BIN_EXE_sagetrail-frontend");
const SIDE: &str = env!("CARGO_BIN_EXE_sagetrail-side");
const EXAMPLE: &str = include_str!("example-settings.toml");
const VARIABLE: &str = "SAGETRAIL_CONFIG";

fn settings_file(text: &str) -> PathBuf {
    let path = folder("programs").join("settings.toml");
    std::fs::write(&path, text).unwrap();
    path
}

fn check(program: &str, text: &str) -> Output {
    let path = settings_file(text);
    Command::new(program)
        .arg("--check")
        .arg("--settings")
        .arg(path)
        .output()
        .unwrap()
}

fn with_control() -> String {
    EXAMPLE.replace("[bind_addrs]", "[bind_addrs]\ncontrol = \"10.1.0.38:8144\"")
}

#[test]
fn the_check_of_valid_settings_exits_with_0_and_prints_no_error() {
    let core = with_control().replace("bootstrap", "data_dir = \"/nowhere\"\nbootstrap");
    for (program, text) in [
        (FRONTEND, EXAMPLE.to_owned()),
        (SIDE, with_control()),
        (CORE, core),
    ] {
        let output = check(program, &text);
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        assert!(output.stderr.is_empty(), "{output:?}");
    }
}

#[test]
fn the_check_of_invalid_settings_exits_with_2_and_names_the_field_in_one_line() {
    let cases = [
        (SIDE, EXAMPLE.to_owned(), "bind_addrs.control"),
        (CORE, with_control(), "data_dir"),
        (
            FRONTEND,
            EXAMPLE.replace("[7380,7395]", "[9,8]"),
            "port_range",
        ),
    ];
    for (program, text, field) in cases {
        let output = check(program, &text);
        assert_eq!(output.status.code(), Some(2));
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
        assert!(stderr.contains(field), "{stderr}");
    }
}

#[test]
fn a_start_with_invalid_settings_exits_with_2() {
    let path = settings_file("ip = 7");
    let output = Command::new(CORE).env(VARIABLE, &path).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn the_flag_takes_precedence_over_the_variable() {
    let valid = settings_file(EXAMPLE);
    let invalid = settings_file("ip = 7");
    let run = |flag: &PathBuf, variable: &PathBuf| {
        let mut command = Command::new(FRONTEND);
        command
            .arg("--check")
            .arg("--settings")
            .arg(flag)
            .env(VARIABLE, variable);
        command.output().unwrap().status.code()
    };
    assert_eq!(run(&valid, &invalid), Some(0));
    assert_eq!(run(&invalid, &valid), Some(2));
}

#[test]
fn the_version_flag_prints_the_version() {
    for program in [CORE, FRONTEND, SIDE] {
        let output = Command::new(program).arg("--version").output().unwrap();
        assert_eq!(output.status.code(), Some(0));
        assert_eq!(
            String::from_utf8(output.stdout).unwrap().trim(),
            env!("CARGO_PKG_VERSION")
        );
    }
}
