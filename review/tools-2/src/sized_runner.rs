//! Stand-in of a runner whose outputs have a chosen size, and that can lose an answer.

use crate::wire::{self, Message};
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// What a request produces.
#[derive(Clone, Debug)]
pub struct Output {
    pub events: u64,
    pub event_interval: Duration,
    /// Data of each event, before its number.
    pub text: String,
}

/// One run, as the runner saw it.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub after_event: u64,
    pub at: Instant,
    pub is_whole: bool,
    pub is_answer_lost: bool,
}

#[derive(Default)]
struct State {
    runs: Vec<Run>,
    running: usize,
    rejected: Vec<(String, &'static str)>,
}

/// A runner; clones share its state.
#[derive(Clone)]
pub struct SizedRunner {
    pub id: String,
    pub address: SocketAddr,
    slots: usize,
    outputs: Arc<HashMap<String, Output>>,
    /// Ids whose next answer is lost.
    lost: Arc<Mutex<Vec<String>>>,
    state: Arc<Mutex<State>>,
}

impl SizedRunner {
    /// Starts a runner. `lost` may be shared by several.
    pub fn start(
        id: &str,
        slots: usize,
        outputs: Arc<HashMap<String, Output>>,
        lost: Arc<Mutex<Vec<String>>>,
    ) -> io::Result<SizedRunner> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::default();
        let runner = SizedRunner { id: id.to_owned(), address, slots, outputs, lost, state };
        let server = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                // A connection ends with an error when its caller is gone.
                thread::spawn(move || drop(server.serve(stream)));
            }
        });
        Ok(runner)
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Whether nothing runs, and no run began within `period`.
    pub fn is_calm(&self, period: Duration) -> bool {
        let state = self.lock();
        state.running == 0 && state.runs.iter().all(|run| run.at.elapsed() >= period)
    }

    /// Requests that were not run for want of a known id, each with its status.
    pub fn rejected(&self) -> Vec<(String, &'static str)> {
        self.lock().rejected.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        while let Some(request) = wire::read(&mut stream)? {
            self.respond(&mut stream, &request)?;
        }
        Ok(())
    }

    fn respond(&self, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        let (_, path) = request.first_words();
        let id = request.header("x-gatespool-request-id");
        let expected = request.header("x-gatespool-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return self.short(stream, "421 Misdirected Request", &id, "");
        }
        if path == "/healthz" {
            return self.short(stream, "200 OK", &id, "");
        }
        let Some(output) = self.outputs.get(&id) else {
            let (method, path) = request.first_words();
            self.lock().rejected.push((format!("{method} {path} (id `{id}`)"), "400, not run"));
            return self.short(stream, "400 Bad Request", &id, "X-Gatespool-Not-Run: 1\r\n");
        };
        {
            let mut state = self.lock();
            if state.running >= self.slots {
                drop(state);
                let not_run = "X-Gatespool-Not-Run: 1\r\n";
                return self.short(stream, "503 Service Unavailable", &id, not_run);
            }
            state.running += 1;
        }
        let result = self.run(stream, request, &id, output);
        self.lock().running -= 1;
        result
    }

    fn short(&self, stream: &mut TcpStream, status: &str, id: &str, more: &str) -> io::Result<()> {
        let instance = &self.id;
        let head = format!(
            "HTTP/1.1 {status}\r\nX-Gatespool-Request-Id: {id}\r\n\
             X-Gatespool-Instance-Id: {instance}\r\n{more}Content-Length: 0\r\n\r\n"
        );
        stream.write_all(head.as_bytes())
    }

    fn run(
        &self,
        stream: &mut TcpStream,
        request: &Message,
        id: &str,
        output: &Output,
    ) -> io::Result<()> {
        let after_event = request.header("last-event-id").parse().unwrap_or(0);
        let is_answer_lost = {
            let mut lost = self.lost.lock().unwrap_or_else(PoisonError::into_inner);
            let place = lost.iter().position(|known| known == id);
            place.map(|place| lost.remove(place)).is_some()
        };
        let index = {
            let mut state = self.lock();
            let at = Instant::now();
            let id = id.to_owned();
            state.runs.push(Run { id, after_event, at, is_whole: false, is_answer_lost });
            state.runs.len() - 1
        };
        if is_answer_lost {
            // It runs, and nothing of its answer comes; the channel says nothing more.
            thread::sleep(output.event_interval * output.events as u32);
            self.lock().runs[index].is_whole = true;
            let mut rest = [0; 256];
            while stream.read(&mut rest)? > 0 {}
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Gatespool-Request-Id: {id}\r\nX-Gatespool-Server-Stamp: {}-{id}\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        for n in after_event + 1..=output.events {
            thread::sleep(output.event_interval);
            let event = format!("id: {n}\ndata: {}{n}\n\n", output.text);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        self.lock().runs[index].is_whole = true;
        Ok(())
    }
}
