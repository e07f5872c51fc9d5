//! Output and exit status of each command of the program with the committed examples. The expected texts are in
//! `fixtures/cli/`. All commands run in the root of the repository, so that files have the same names as for a reader.

mod broken_files;

use broken_files::{BROKEN, BROKEN_PAGES};
use sagetrail_fixture::transcript::{assert_kept, Transcript};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../..");
const KEPT: &str = "tests/fixtures/cli";
const SCHEMA: &str = "deploy/sagetrail.schema.json";
const REFERENCE: &str = "docs/configuration.md";
const EXAMPLE: &str = "examples/fleet/d1.toml";
const PLAN: &str = "examples/plan.toml";
/// Files with which a dispatcher can be started, and one that belongs to another program.
const FILES: [&str; 7] = [
    "examples/fleet/d1.toml",
    "examples/fleet/d2.toml",
    "examples/fleet/d3.toml",
    "examples/plan.toml",
    "examples/config.json",
    "deploy/fleet.toml",
    "examples/rig/calm.toml",
];
/// All commands and their subcommands.
const COMMANDS: [&str; 26] = [
    "",
    "run",
    "trial",
    "check",
    "show-config",
    "reference",
    "console",
    "members",
    "shared",
    "store",
    "store status",
    "store propose",
    "store diff",
    "store back",
    "store backup",
    "store restore",
    "store add",
    "store remove",
    "store lend",
    "store trust",
    "plan",
    "plan check",
    "plan what-if",
    "completions",
    "help",
    "nothing",
];
const SHELLS: [&str; 2] = ["bash", "fish"];

fn kept(name: &str) -> PathBuf {
    Path::new(KEPT).join(name)
}

/// Runs the program with these arguments and environment variables, and none of the environment of the test.
fn run_in(environment: &[(&str, &str)], words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sagetrail"))
        .args(words)
        .current_dir(ROOT)
        .env_clear()
        .envs(environment.iter().copied())
        .output()
        .unwrap()
}

fn run(words: &[&str]) -> Output {
    run_in(&[], words)
}

/// Output and exit status as text.
fn told(output: &Output) -> String {
    format!(
        "exit status {}\n-- standard output\n{}-- standard error\n{}",
        output.status.code().expect("it ends by itself"),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

fn add(transcript: &mut Transcript, words: &[&str]) {
    let line = format!("sagetrail {}", words.join(" "));
    transcript.add(line.trim_end(), &told(&run(words)));
}

#[test]
fn check_of_each_committed_file() {
    let mut transcript = Transcript::default();
    for file in FILES {
        add(&mut transcript, &["check", file]);
    }
    for words in [
        &["check", "examples/none.toml"][..],
        &["check", "examples"],
        &["check", EXAMPLE, "--set", "limits.sockets=20"],
        &[
            "check",
            EXAMPLE,
            "--set",
            "limits.sockets=512",
            "--set",
            "me=1",
        ],
        &["check", EXAMPLE, "--set", "nothing"],
        &["check", EXAMPLE, "--set", "nothing=1"],
        &["check"],
    ] {
        add(&mut transcript, words);
    }
    transcript.assert_kept(kept("check.txt"));
}

#[test]
fn show_config_of_each_committed_file() {
    let mut transcript = Transcript::default();
    for file in FILES {
        add(&mut transcript, &["show-config", "--config", file]);
    }
    let set = [
        "show-config",
        "--config",
        EXAMPLE,
        "--set",
        "limits.dial=0.5s",
    ];
    add(&mut transcript, &set);
    add(&mut transcript, &["show-config"]);
    let environment = [
        ("SAGETRAIL_LIMITS__SOCKETS", "2048"),
        ("SAGETRAIL_SEED", "2"),
    ];
    let output = run_in(&environment, &set);
    transcript.add("the same with an environment", &told(&output));
    transcript.assert_kept(kept("show_config.txt"));
}

#[test]
fn check_of_each_broken_file() {
    let folder = own_folder();
    let mut transcript = Transcript::default();
    for (n, (from, to)) in BROKEN.iter().enumerate() {
        let good = std::fs::read_to_string(Path::new(ROOT).join(EXAMPLE)).unwrap();
        assert!(good.contains(from), "{from}");
        let path = folder.join(format!("{n}.toml"));
        let content = good.replacen(from, to, 1);
        add_check(
            &mut transcript,
            &folder,
            &path,
            &content,
            &changed(from, to),
        );
    }
    for (n, (from, to)) in BROKEN_PAGES.iter().enumerate() {
        let good = std::fs::read_to_string(Path::new(ROOT).join("examples/config.json")).unwrap();
        assert!(good.contains(from), "{from}");
        let path = folder.join(format!("{n}.json"));
        let content = good.replacen(from, to, 1);
        add_check(
            &mut transcript,
            &folder,
            &path,
            &content,
            &changed(from, to),
        );
    }
    std::fs::remove_dir_all(&folder).unwrap();
    transcript.assert_kept(kept("broken.txt"));
}

/// Checks a file with this content.
fn add_check(transcript: &mut Transcript, folder: &Path, path: &Path, content: &str, name: &str) {
    std::fs::write(path, content).unwrap();
    let output = run(&["check", path.to_str().unwrap()]);
    transcript.add(name, &without_folder(&told(&output), folder));
}

fn changed(from: &str, to: &str) -> String {
    format!("check with '{to}' in place of '{from}'")
}

/// Masks the folder of the files of a test.
fn without_folder(text: &str, folder: &Path) -> String {
    text.replace(folder.to_str().unwrap(), "(folder)")
}

/// Creates an empty folder for the files of a test.
fn own_folder() -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("broken-files");
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn reference_equals_the_page_in_the_docs() {
    let output = run(&["reference"]);
    assert_kept(
        Path::new(ROOT).join(REFERENCE),
        &String::from_utf8_lossy(&output.stdout),
    );
    assert_eq!((output.status.code(), output.stderr.len()), (Some(0), 0));
}

#[test]
fn schema_equals_the_one_in_deploy() {
    let output = run(&["reference", "--schema"]);
    assert_kept(
        Path::new(ROOT).join(SCHEMA),
        &String::from_utf8_lossy(&output.stdout),
    );
    assert_eq!((output.status.code(), output.stderr.len()), (Some(0), 0));
}

#[test]
fn help_of_each_command() {
    let mut transcript = Transcript::default();
    for command in COMMANDS {
        let words: Vec<&str> = command.split_whitespace().chain(["--help"]).collect();
        add(&mut transcript, &words);
    }
    for words in [
        &["-h"][..],
        &["--version"],
        &["--nothing"],
        &["store"],
        &["console"],
        &["plan"],
    ] {
        add(&mut transcript, words);
    }
    transcript.assert_kept(kept("help.txt"));
}

#[test]
fn completions_for_two_shells() {
    for shell in SHELLS {
        let mut transcript = Transcript::default();
        add(&mut transcript, &["completions", shell]);
        transcript.assert_kept(kept(&format!("completions.{shell}.txt")));
    }
}

#[test]
fn plan_of_each_committed_file() {
    let page = Path::new(env!("CARGO_TARGET_TMPDIR")).join("plan.html");
    let mut transcript = Transcript::default();
    for file in [PLAN, EXAMPLE, "deploy/fleet.toml"] {
        add(&mut transcript, &["plan", "check", file]);
        add(&mut transcript, &["plan", "what-if", file]);
    }
    let words = ["plan", "what-if", PLAN, "--html", page.to_str().unwrap()];
    transcript.add("the page", &told(&run(&words)));
    transcript.add("its content", &std::fs::read_to_string(&page).unwrap());
    std::fs::remove_file(&page).unwrap();
    transcript.assert_kept(kept("plan.txt"));
}

#[test]
fn starts_that_fail() {
    let mut transcript = Transcript::default();
    for words in [
        &[][..],
        &["run"],
        &["run", "--config", "examples/none.toml"],
        &["run", "--config", EXAMPLE, "--set", "limits.sockets=20"],
        &["run", "--config", EXAMPLE, "--set", "nothing=1"],
        &["run", "--config", "examples/rig/calm.toml"],
        &["trial", "--config", "examples/none.toml"],
    ] {
        add(&mut transcript, words);
    }
    for (name, file) in [("no page", "examples/none.json"), ("no JSON", EXAMPLE)] {
        let output = run_in(&[("RELAY_CONFIG", file)], &[]);
        transcript.add(&format!("the platform's: {name}"), &told(&output));
    }
    let environment = [("RELAY_CONFIG", "examples/config.json"), ("RELAY_FD", "x")];
    let output = run_in(&environment, &[]);
    transcript.add("the platform's: no descriptor", &told(&output));
    transcript.assert_kept(kept("start.txt"));
}

#[test]
fn calls_of_an_unreachable_admin_api() {
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = free.local_addr().unwrap().to_string();
    drop(free);
    let mut transcript = Transcript::default();
    for words in [
        &["console", "--at"][..],
        &["members", "--at"],
        &["shared", "--at"],
        &["store", "--at"],
    ] {
        let mut words = words.to_vec();
        words.push(&at);
        if words[0] == "store" {
            words.push("status");
        }
        let text = told(&run(&words)).replace(&at, "(address)");
        transcript.add(words[0], &text);
    }
    transcript.assert_kept(kept("no_door.txt"));
}
