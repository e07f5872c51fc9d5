//! Learned state that a dispatcher keeps over a planned restart: a file that an earlier build wrote is read, and what
//! is written at the end has the same form.
//!
//! `fixtures/learnt.json` is such a file, with placeholders for the address of the runner and the time of writing,
//! which differ from run to run. `WRITE_STORED=1 cargo test -p sagetrail-dispatcher --test stored` writes it again if
//! the form has to change on purpose; the commit then says what changed.

#[allow(dead_code)] // Other tests use more of it.
mod stage;
use stage::{file, Client, Stage};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

const ADDRESS: &str = "ADDRESS";
const WRITTEN: &str = "WRITTEN";

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/learnt.json")
}

/// Text between two others.
fn between<'a>(text: &'a str, before: &str, after: &str) -> &'a str {
    let rest = text.split_once(before).unwrap().1;
    rest.split_once(after).unwrap().0
}

/// The file with placeholders for what differs from run to run.
fn stored_form(kept: &Path, address: &str) -> String {
    let text = std::fs::read_to_string(kept).unwrap();
    let written = between(&text, r#""written":"#, ",");
    text.replacen(written, WRITTEN, 1).replace(address, ADDRESS)
}

fn with_learnt(page: &str, kept: &Path) -> String {
    page.replacen('{', &format!(r#"{{"learnt":{kept:?},"#), 1)
}

/// A runner accepts a work item of each category and reports that it is done.
fn work(stage: &Stage) {
    for category in ["rerun", "once"] {
        let mut client: Client = stage.client();
        let id = client.submit(category, "4000m");
        stage.runners[0].next().take();
        stage.news(&id, "s-0", r#""started""#);
        assert_eq!(stage.news(&id, "s-0", r#""done","result":"a""#), 204);
        assert_eq!(client.answer().body, "a");
    }
}

fn write_fixture() {
    let kept = file();
    let mut stage = Stage::of(1, 1024, |page| with_learnt(&page, &kept));
    work(&stage);
    stage.term();
    assert_eq!(stage.ended().0, Some(0));
    let address = stage.runners[0].at.to_string();
    std::fs::create_dir_all(fixture().parent().unwrap()).unwrap();
    std::fs::write(fixture(), stored_form(&kept, &address)).unwrap();
}

#[test]
fn learned_state_of_an_earlier_build_is_read_and_written_again() {
    if std::env::var_os("WRITE_STORED").is_some() {
        write_fixture();
    }
    let stored = std::fs::read_to_string(fixture()).unwrap();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let kept = file();
    let mut stage = Stage::of(1, 1024, |page| {
        let address = between(&page, r#""hostPort":""#, "\"").to_string();
        let text = stored
            .replace(ADDRESS, &address)
            .replace(WRITTEN, &unix.as_secs().to_string());
        std::fs::write(&kept, text).unwrap();
        with_learnt(&page, &kept)
    });
    stage.term();
    let (code, log) = stage.ended();
    assert_eq!(code, Some(0), "{log}");
    let taken_up = "took up learned state of 2 categories and 1 runners";
    assert!(log.contains(taken_up), "{log}");
    let address = stage.runners[0].at.to_string();
    assert_eq!(stored_form(&kept, &address), stored);
}
