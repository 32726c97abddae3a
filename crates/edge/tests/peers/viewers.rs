//! Viewers, and their messages.

use super::*;
use std::io::{Read, Write};
use std::net::TcpStream;

pub struct Viewer {
    pub stream: TcpStream,
}

#[derive(Debug, PartialEq)]
pub struct Told {
    pub kind: u8,
    pub session: u64,
    pub parameters: Vec<(u8, Vec<u8>)>,
}

impl Told {
    pub fn get(&self, code: u8) -> Option<&[u8]> {
        self.parameters.iter().find(|p| p.0 == code).map(|p| p.1.as_slice())
    }

    pub fn cause(&self) -> u8 {
        self.get(45).expect("a cause")[0]
    }
}

pub fn message(kind: u8, session: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut rest = vec![kind];
    rest.extend(session.to_be_bytes());
    for (code, value) in parameters {
        rest.push(*code);
        rest.extend((value.len() as u16).to_be_bytes());
        rest.extend(*value);
    }
    let mut out = (rest.len() as u16).to_be_bytes().to_vec();
    out.extend(rest);
    out
}

/// A usual set-up, with these parameters instead of its own; an empty value takes one out.
pub fn set_up(session: u64, other: &[(u8, &str)]) -> Vec<u8> {
    let mut it = vec![
        (3, "paid"),
        (6, "3000"),
        (15, "7f3a9c21e0b4d655"),
        (18, "home:0;copies:2;top:1;viewer:00000000b4d65521"),
        (48, DESCRIPTION),
    ];
    for (code, value) in other {
        it.retain(|p| p.0 != *code);
        if !value.is_empty() {
            it.push((*code, value));
        }
    }
    let parameters: Vec<(u8, &[u8])> = it.iter().map(|p| (p.0, p.1.as_bytes())).collect();
    message(1, session, &parameters)
}

impl Viewer {
    pub fn say(&mut self, bytes: &[u8]) {
        // Whoever is closed on while it still writes learns so when it reads.
        let _ = self.stream.write_all(bytes);
    }

    /// The next message; none once the node has closed.
    pub fn next(&mut self) -> Option<Told> {
        let mut length = [0; 2];
        match self.stream.read_exact(&mut length) {
            Ok(()) => {}
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => panic!("nothing from the node"),
            Err(_) => return None,
        }
        let mut rest = vec![0; u16::from_be_bytes(length) as usize];
        self.stream.read_exact(&mut rest).expect("a whole message");
        let (mut parameters, mut at) = (Vec::new(), 9);
        while at < rest.len() {
            let length = u16::from_be_bytes([rest[at + 1], rest[at + 2]]) as usize;
            parameters.push((rest[at], rest[at + 3..at + 3 + length].to_vec()));
            at += 3 + length;
        }
        let session = u64::from_be_bytes(rest[1..9].try_into().expect("eight bytes"));
        Some(Told { kind: rest[0], session, parameters })
    }

    /// Whatever it has said is not read any more: its connection is reset.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream)
            .set_linger(Some(std::time::Duration::ZERO))
            .expect("to be reset");
    }

    pub fn hears(&mut self, kind: u8, session: u64) -> Told {
        let told = self.next().expect("the node keeps the connection");
        assert_eq!((told.kind, told.session), (kind, session), "{told:?}");
        told
    }

    /// What comes before the answer to a test: nothing else was on its way.
    pub fn hears_nothing(&mut self) {
        self.say(&message(52, 77, &[(45, &[0])]));
        self.hears(53, 77);
    }
}
