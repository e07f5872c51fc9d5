//! A toy list and two toy runners for trying the dispatcher on one machine: see README.md beside this file.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::Duration;

const LIST: &str = "127.0.0.1:8500";
const RUNNERS: [(&str, &str); 2] = [("toy-a", "127.0.0.1:7001"), ("toy-b", "127.0.0.1:7002")];

/// The first line of a message, its Req-Id and its body; `None` at the end of the connection.
fn read(from: &mut BufReader<TcpStream>) -> Option<(String, String, String)> {
    let (mut first, mut id, mut length) = (String::new(), String::new(), 0);
    from.read_line(&mut first).ok().filter(|read| *read > 0)?;
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|read| *read > 0)?;
        match line.trim_end().split_once(": ") {
            Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                length = value.parse().ok()?
            }
            Some((name, value)) if name.eq_ignore_ascii_case("req-id") => id = value.to_string(),
            Some(_) => {}
            None => break,
        }
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some((first, id, String::from_utf8_lossy(&body).into_owned()))
}

/// The dispatchers: those named on the command line, or the one of the first example.
fn dispatchers() -> Vec<String> {
    let named: Vec<String> = std::env::args().skip(1).collect();
    if named.is_empty() {
        vec!["127.0.0.1:5000".to_string()]
    } else {
        named
    }
}

/// Tells the dispatchers what becomes of a job; a toy does not know which of them sent it, and the others pass over
/// what they do not have.
fn news(id: &str, from: &str, state: &str) -> std::io::Result<()> {
    let body = format!(r#"{{"id":"{id}","from":"{from}","state":{state}}}"#);
    for dispatcher in dispatchers() {
        let mut stream = TcpStream::connect(&dispatcher)?;
        let length = body.len();
        write!(
            stream,
            "POST /_jobs/news HTTP/1.1\r\nHost: toy\r\nContent-Length: {length}\r\n\r\n{body}"
        )?;
        read(&mut BufReader::new(stream));
    }
    Ok(())
}

/// Does a job: half a second, then its text in capitals.
fn work(id: String, name: &'static str, text: String) {
    let result = text.to_uppercase().replace(['"', '\\', '\n', '\r'], " ");
    let done = format!(r#""done","result":"{result}""#);
    for (state, after) in [(r#""started""#, 0), (done.as_str(), 500)] {
        sleep(Duration::from_millis(after));
        if let Err(error) = news(&id, name, state) {
            eprintln!("{name}: the dispatcher does not listen: {error}");
        }
    }
}

fn runner(name: &'static str, at: &'static str) -> std::io::Result<()> {
    let listener = TcpListener::bind(at)?;
    spawn(move || {
        for stream in listener.incoming().flatten() {
            spawn(move || {
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Some((first, id, text)) = read(&mut reader) {
                    println!("{name}: {} {id}", first.trim_end());
                    let job = first.starts_with("POST");
                    let status = if job { "202 Accepted" } else { "200 OK" };
                    if write!(writer, "HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").is_err() {
                        return;
                    }
                    if job {
                        spawn(move || work(id, name, text));
                    }
                }
            });
        }
    });
    Ok(())
}

/// Names both runners, then an empty line every 2 s.
fn watch(mut stream: TcpStream) -> std::io::Result<()> {
    read(&mut BufReader::new(stream.try_clone()?));
    let entry = |(name, at): &(&str, &str)| {
        format!(
            r#"{{"instanceId":"{name}","hostPort":"{at}","zone":"here","machineType":"toy","cell":0,"lifecycle":"Ready","weight":1.0,"startedAtMs":0}}"#
        )
    };
    let entries: Vec<String> = RUNNERS.iter().map(entry).collect();
    let mut line = format!(
        r#"{{"generation":1,"reset":true,"instances":[{}]}}"#,
        entries.join(",")
    );
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    )?;
    loop {
        write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1)?;
        sleep(Duration::from_secs(2));
        line.clear();
    }
}

fn main() -> std::io::Result<()> {
    for (name, at) in RUNNERS {
        runner(name, at)?;
    }
    println!("two runners and the list are up");
    for stream in TcpListener::bind(LIST)?.incoming() {
        let stream = stream?;
        spawn(move || watch(stream));
    }
    Ok(())
}
