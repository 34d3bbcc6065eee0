//! A caller that takes a stream up again with further attempts.

use super::gateway::HOST;
use super::raw_caller::{self, RawResponse, Version};
use std::collections::BTreeSet;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A caller of one stream, over all its attempts.
pub struct Caller {
    pub id: String,
    attempts: u32,
    /// Whether further attempts name the first one.
    pub names_attempt: bool,
    /// Whole events of all attempts.
    pub body: String,
}

impl Caller {
    /// Reads a new stream up to event `count`; dropping the connection leaves it.
    pub fn begin(front: SocketAddr, id: &str, count: u64) -> (Caller, TcpStream) {
        let mut caller =
            Caller { id: id.to_owned(), attempts: 0, names_attempt: true, body: String::new() };
        let stream = caller.read_to(front, count);
        (caller, stream)
    }

    fn last_event_id(&self) -> Option<u64> {
        let mut ids = self.body.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.next_back()?.parse().ok()
    }

    /// Path and headers of the next attempt, which takes the stream up after its first event.
    fn next_attempt(&mut self) -> (String, String) {
        self.attempts += 1;
        let (id, attempts) = (&self.id, self.attempts);
        let mut headers = headers(&format!("{id}~{attempts}"));
        if let Some(last) = self.last_event_id() {
            headers.push_str(&format!("\nLast-Event-Id: {last}"));
            if self.names_attempt {
                headers.push_str(&format!("\nResumes: {id}~1"));
            }
        }
        (format!("/talk/{id}"), headers)
    }

    /// Reads up to event `count` in another attempt.
    pub fn read_to(&mut self, front: SocketAddr, count: u64) -> TcpStream {
        let (path, headers) = self.next_attempt();
        let mut stream = raw_caller::send(front, Version::Http10, &path, &headers, "a prompt");
        let mut received = String::new();
        let mut buffer = [0; 1024];
        let before = self.body.clone();
        while self.last_event_id().is_none_or(|last| last < count) {
            let length = stream.read(&mut buffer).expect("events");
            assert!(length > 0, "the stream ended: {received}");
            received.push_str(&String::from_utf8_lossy(&buffer[..length]));
            let body = received.split_once("\r\n\r\n").map_or("", |(_, body)| body);
            let end = body.rfind("\n\n").map_or(0, |end| end + 2);
            self.body = format!("{before}{}", &body[..end]);
        }
        stream
    }

    /// Reads the rest in another attempt; the response has the events of all attempts.
    pub fn finish(&mut self, front: SocketAddr) -> RawResponse {
        let (path, headers) = self.next_attempt();
        let response = raw_caller::call(front, Version::Http11, &path, &headers, "a prompt");
        RawResponse { body: format!("{}{}", self.body, response.body), ..response }
    }

    /// As [`Caller::finish`], but retries after a 503 for up to 2 s. Other instances reply with 503
    /// until they have noticed that an instance is lost.
    pub fn finish_patiently(&mut self, front: SocketAddr) -> RawResponse {
        let started = Instant::now();
        loop {
            let response = self.finish(front);
            if response.status != 503 || started.elapsed() > Duration::from_secs(2) {
                return response;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    pub fn began_at(&self, version: &str) -> bool {
        versions(&self.body).contains(version)
    }
}

pub fn headers(id: &str) -> String {
    format!("Host: {HOST}\nX-Gatespool-Request-Id: {id}\nX-Gatespool-Deadline-Ms: 5000")
}

/// Versions that the events of a response name.
pub fn versions(body: &str) -> BTreeSet<&str> {
    body.lines().filter_map(|line| line.strip_prefix("event: ")).collect()
}
