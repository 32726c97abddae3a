//! Viewers, and the binary messages that they exchange with the node. Messages and parameters are written with their numbers:
//!
//! - kinds: 1 set-up, 6 progress, 9 answer, 12 release, 52 health check, 53 reply to a health check;
//! - parameters: 3 class, 6 time limit (ms), 15 title, 18 extras (such as the cells that hold the title), 21 delay before a retry (ms),
//!   33 time hint, 45 cause of a release or result of a health check, 48 session description;
//! - causes of a release to a viewer: 16 the session has finished, 34 the play was declined, 41 the play failed or its session was lost,
//!   42 the node is busy, 100 the set-up is unusable.

use super::*;
use std::io::{Read, Write};
use std::net::TcpStream;

/// A viewer's connection to the node.
pub struct Viewer {
    pub stream: TcpStream,
}

/// A message that the node sent.
#[derive(Debug, PartialEq)]
pub struct Message {
    pub kind: u8,
    pub session: u64,
    pub parameters: Vec<(u8, Vec<u8>)>,
}

impl Message {
    /// The value of the first parameter with this code.
    pub fn parameter(&self, code: u8) -> Option<&[u8]> {
        self.parameters.iter().find(|p| p.0 == code).map(|p| p.1.as_slice())
    }

    /// The cause of a release.
    pub fn cause(&self) -> u8 {
        self.parameter(45).expect("a cause")[0]
    }
}

/// Encodes a message of this kind with its length in front; parameters are pairs of code and value.
pub fn encode_message(kind: u8, session: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
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

/// Encodes a valid set-up in which these parameters (code, value) replace the usual ones; an empty value removes the parameter.
pub fn set_up_message(session: u64, replacements: &[(u8, &str)]) -> Vec<u8> {
    let mut parameters = vec![
        // Class, time limit, title, extras and session description.
        (3, "paid"),
        (6, "3000"),
        (15, "7f3a9c21e0b4d655"),
        (18, "home:0;copies:2;top:1;viewer:00000000b4d65521"),
        (48, DESCRIPTION),
    ];
    for (code, value) in replacements {
        parameters.retain(|p| p.0 != *code);
        if !value.is_empty() {
            parameters.push((*code, value));
        }
    }
    let encoded: Vec<(u8, &[u8])> = parameters.iter().map(|p| (p.0, p.1.as_bytes())).collect();
    encode_message(1, session, &encoded)
}

/// Encodes the hand-over of a session that plays at the server with this id.
pub fn hand_over_message(session: u64, server_id: &str) -> Vec<u8> {
    set_up_message(session, &[(18, &format!("home:0;copies:1;top:1;at:{server_id}")), (6, "0")])
}

impl Viewer {
    /// Sends the node these bytes.
    pub fn send(&mut self, bytes: &[u8]) {
        // If the node closes the connection during the write, the next read shows that.
        let _ = self.stream.write_all(bytes);
    }

    /// The next message; `None` once the node has closed the connection.
    pub fn next_message(&mut self) -> Option<Message> {
        let mut length = [0; 2];
        match self.stream.read_exact(&mut length) {
            Ok(()) => {}
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => panic!("the node sent nothing in time"),
            Err(_) => return None,
        }
        let mut body = vec![0; u16::from_be_bytes(length) as usize];
        self.stream.read_exact(&mut body).expect("a whole message");
        let (mut parameters, mut offset) = (Vec::new(), 9);
        while offset < body.len() {
            let length = u16::from_be_bytes([body[offset + 1], body[offset + 2]]) as usize;
            parameters.push((body[offset], body[offset + 3..offset + 3 + length].to_vec()));
            offset += 3 + length;
        }
        let session = u64::from_be_bytes(body[1..9].try_into().expect("eight bytes"));
        Some(Message { kind: body[0], session, parameters })
    }

    /// Resets the connection, so that the node can't read what was sent on it before.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream)
            .set_linger(Some(std::time::Duration::ZERO))
            .expect("setting SO_LINGER");
    }

    /// Reads the next message and asserts its kind and session.
    pub fn expect_message(&mut self, kind: u8, session: u64) -> Message {
        let message = self.next_message().expect("the node keeps the connection");
        assert_eq!((message.kind, message.session), (kind, session), "{message:?}");
        message
    }

    /// Sends a health check and asserts that the next message is the reply to it: nothing else was on its way to the viewer.
    pub fn expect_no_message(&mut self) {
        self.send(&encode_message(52, 77, &[(45, &[0])]));
        self.expect_message(53, 77);
    }
}
