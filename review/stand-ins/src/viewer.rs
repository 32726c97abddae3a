//! Viewers: a connection to a front node, and the binary messages on it.

use crate::now_ms;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A message that the front node sent.
#[derive(Clone, Debug)]
pub struct Received {
    pub at: f64,
    pub kind: u8,
    pub session: u64,
    pub cause: Option<u8>,
    pub description: Option<Vec<u8>>,
}

/// Encodes a message.
pub fn message(kind: u8, session: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut body = vec![kind];
    body.extend(session.to_be_bytes());
    for (code, value) in parameters {
        body.push(*code);
        body.extend((value.len() as u16).to_be_bytes());
        body.extend(*value);
    }
    let mut out = (body.len() as u16).to_be_bytes().to_vec();
    out.extend(body);
    out
}

/// Encodes a set-up.
pub fn set_up(session: u64, class: &str, wait_ms: u64, title: u64, extras: &str) -> Vec<u8> {
    let (wait, title) = (wait_ms.to_string(), format!("{title:016x}"));
    let description = format!("{session:016x}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n");
    let parameters: [(u8, &[u8]); 5] = [
        (3, class.as_bytes()),
        (6, wait.as_bytes()),
        (15, title.as_bytes()),
        (18, extras.as_bytes()),
        (48, description.as_bytes()),
    ];
    message(1, session, &parameters)
}

fn decode(at: f64, body: &[u8]) -> Received {
    let session = u64::from_be_bytes(body[1..9].try_into().expect("eight bytes"));
    let mut received = Received { at, kind: body[0], session, cause: None, description: None };
    let mut rest = &body[9..];
    while rest.len() >= 3 {
        let length = u16::from_be_bytes([rest[1], rest[2]]) as usize;
        let Some(value) = rest.get(3..3 + length) else { break };
        match rest[0] {
            45 => received.cause = value.first().copied(),
            48 => received.description = Some(value.to_vec()),
            _ => {}
        }
        rest = &rest[3 + length..];
    }
    received
}

/// Reads one message.
fn read_message(stream: &mut TcpStream) -> std::io::Result<Received> {
    let mut length = [0; 2];
    stream.read_exact(&mut length)?;
    let mut body = vec![0; u16::from_be_bytes(length) as usize];
    stream.read_exact(&mut body)?;
    Ok(decode(now_ms(), &body))
}

/// A viewer's connection; a thread reads what comes.
pub struct Viewer {
    stream: TcpStream,
    inbox: Arc<Mutex<(Vec<Received>, bool)>>,
}

impl Viewer {
    pub fn connect(address: SocketAddr) -> std::io::Result<Viewer> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let inbox = Arc::new(Mutex::new((Vec::new(), false)));
        let (mut reading, filling) = (stream.try_clone()?, inbox.clone());
        std::thread::spawn(move || {
            while let Ok(received) = read_message(&mut reading) {
                filling.lock().expect("the inbox").0.push(received);
            }
            filling.lock().expect("the inbox").1 = true;
        });
        Ok(Viewer { stream, inbox })
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// What has come so far, in order.
    pub fn received(&self) -> Vec<Received> {
        self.inbox.lock().expect("the inbox").0.clone()
    }

    /// Takes what has come so far.
    pub fn take_received(&self) -> Vec<Received> {
        std::mem::take(&mut self.inbox.lock().expect("the inbox").0)
    }

    /// Whether the connection has ended.
    pub fn has_ended(&self) -> bool {
        self.inbox.lock().expect("the inbox").1
    }

    /// Whether a front node at this address accepts a connection and passes a test.
    pub fn passes_test(address: SocketAddr) -> bool {
        let Ok(mut stream) = TcpStream::connect(address) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
        let sent = stream.write_all(&message(52, 1, &[(45, &[0])]));
        sent.is_ok() && read_message(&mut stream).is_ok_and(|m| m.kind == 53 && m.cause == Some(1))
    }
}

impl Drop for Viewer {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}
