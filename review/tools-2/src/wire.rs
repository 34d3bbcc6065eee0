//! Reading HTTP/1.1 requests and responses from blocking sockets, for the small stand-ins here.

use std::io::{self, Read};
use std::net::TcpStream;

/// Most bytes of a head.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// A head with the body that its length announces.
pub struct Message {
    /// The head with the empty line that ends it.
    pub head: Vec<u8>,
    pub body: Vec<u8>,
}

impl Message {
    /// First line of the head.
    pub fn first_line(&self) -> String {
        let text = String::from_utf8_lossy(&self.head);
        text.lines().next().unwrap_or_default().to_owned()
    }

    /// Method and path of a request, or version and status of a response.
    pub fn first_words(&self) -> (String, String) {
        let line = self.first_line();
        let mut words = line.split(' ').map(str::to_owned);
        (words.next().unwrap_or_default(), words.next().unwrap_or_default())
    }

    /// Value of a header by its name in lower case; empty if there is none.
    pub fn header(&self, name: &str) -> String {
        let text = String::from_utf8_lossy(&self.head);
        let value = text.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
        });
        value.unwrap_or_default()
    }
}

/// Reads the next message; `None` if the connection has ended before it.
pub fn read(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Ok(None);
        }
        head.push(byte[0]);
        if head.len() > MAX_HEAD_BYTES {
            return Err(io::Error::other("the head is too long"));
        }
    }
    let mut message = Message { head, body: Vec::new() };
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body.resize(length, 0);
    stream.read_exact(&mut message.body)?;
    Ok(Some(message))
}
