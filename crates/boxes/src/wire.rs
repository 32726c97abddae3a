//! As much HTTP/1.1 as stand-ins and players need. Kept apart from the front's on purpose: each side's faults
//! show on the other.

use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const HEAD: usize = 16 << 10;
/// Bodies that a stand-in reads whole.
const BODY: usize = 16 << 20;

/// A head, either way, and the body that came with it.
#[derive(Debug, Default)]
pub struct Message {
    /// Of a request.
    pub method: String,
    pub target: String,
    /// Of an answer.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    fn length(&self) -> io::Result<usize> {
        let length: usize = self.header("content-length").map_or(Ok(0), str::parse).map_err(bad)?;
        if length > BODY { Err(bad("body too large")) } else { Ok(length) }
    }
}

fn bad(what: impl ToString) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_string())
}

/// A connection with what was read ahead.
pub struct Peer {
    pub stream: TcpStream,
    pub ahead: Vec<u8>,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        let _ = stream.set_nodelay(true);
        Peer { stream, ahead: Vec::new() }
    }

    /// Reads more; false at the peer's end.
    pub async fn more(&mut self) -> io::Result<bool> {
        Ok(self.stream.read_buf(&mut self.ahead).await? > 0)
    }

    /// Reads a request; none at a clean end.
    pub async fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self
            .head(|bytes| {
                let mut headers = [httparse::EMPTY_HEADER; 64];
                let mut head = httparse::Request::new(&mut headers);
                Ok(match head.parse(bytes).map_err(bad)? {
                    httparse::Status::Partial => None,
                    httparse::Status::Complete(used) => {
                        let (method, target) =
                            (head.method.unwrap_or("").into(), head.path.unwrap_or("").into());
                        let headers = owned(head.headers);
                        Some((Message { method, target, headers, ..Message::default() }, used))
                    }
                })
            })
            .await?
        else {
            return Ok(None);
        };
        message.body = self.body(message.length()?).await?;
        Ok(Some(message))
    }

    /// Reads an answer's head, and its body unless that is chunked; none at an end before the first byte.
    pub async fn answer(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.answer_head().await? else { return Ok(None) };
        if message.header("transfer-encoding").is_none() {
            message.body = self.body(message.length()?).await?;
        }
        Ok(Some(message))
    }

    pub async fn answer_head(&mut self) -> io::Result<Option<Message>> {
        self.head(|bytes| {
            let mut headers = [httparse::EMPTY_HEADER; 64];
            let mut head = httparse::Response::new(&mut headers);
            Ok(match head.parse(bytes).map_err(bad)? {
                httparse::Status::Partial => None,
                httparse::Status::Complete(used) => {
                    let (status, headers) = (head.code.unwrap_or(0), owned(head.headers));
                    Some((Message { status, headers, ..Message::default() }, used))
                }
            })
        })
        .await
    }

    async fn head(
        &mut self,
        parse: impl Fn(&[u8]) -> io::Result<Option<(Message, usize)>>,
    ) -> io::Result<Option<Message>> {
        loop {
            if let Some((message, used)) = parse(&self.ahead)? {
                self.ahead.drain(..used);
                return Ok(Some(message));
            }
            if self.ahead.len() > HEAD {
                return Err(bad("head too large"));
            }
            if !self.more().await? {
                let clean = self.ahead.is_empty();
                return if clean { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    async fn body(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < length {
            if !self.more().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let rest = self.ahead.split_off(length);
        Ok(std::mem::replace(&mut self.ahead, rest))
    }

    /// Waits for the peer's end, reading away what comes.
    pub async fn gone(&mut self) {
        while let Ok(true) = self.more().await {}
    }

    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Closes by a reset instead of an orderly end.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }
}

fn owned(headers: &[httparse::Header]) -> Vec<(String, String)> {
    let text = |h: &httparse::Header| (h.name.to_string(), String::from_utf8_lossy(h.value).into_owned());
    headers.iter().map(text).collect()
}
