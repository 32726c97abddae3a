//! The part of HTTP/1.1 that the fake servers and the players of the lab need. It is deliberately separate from the
//! front's implementation, so that errors of either side show on the other.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio_rustls::{TlsAcceptor, TlsConnector, TlsStream};

/// Maximum size of a head.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum size of a body that is read completely.
const MAX_BODY_BYTES: usize = 16 << 20;

/// The head of a request or a response, and its body.
#[derive(Debug, Default)]
pub struct Message {
    /// Set in requests.
    pub method: String,
    pub target: String,
    /// Set in responses.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header, by its name in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// The announced length of the body; 0 if there is none.
    fn content_length(&self) -> io::Result<usize> {
        let length: usize = self.header("content-length").map_or(Ok(0), str::parse).map_err(invalid_data)?;
        if length > MAX_BODY_BYTES { Err(invalid_data("the HTTP body is too large")) } else { Ok(length) }
    }
}

fn invalid_data(what: impl ToString) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_string())
}

/// A TCP stream, with TLS or without.
pub enum Stream {
    Plain(TcpStream),
    Tls(Box<TlsStream<TcpStream>>),
}

impl AsyncRead for Stream {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Plain(stream) => Pin::new(stream).poll_read(context, buffer),
            Stream::Tls(stream) => Pin::new(stream).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Stream::Plain(stream) => Pin::new(stream).poll_write(context, bytes),
            Stream::Tls(stream) => Pin::new(stream).poll_write(context, bytes),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Plain(stream) => Pin::new(stream).poll_flush(context),
            Stream::Tls(stream) => Pin::new(stream).poll_flush(context),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Plain(stream) => Pin::new(stream).poll_shutdown(context),
            Stream::Tls(stream) => Pin::new(stream).poll_shutdown(context),
        }
    }
}

/// A connection with the bytes that were read ahead.
pub struct HttpPeer {
    pub stream: Stream,
    pub buffer: Vec<u8>,
}

impl HttpPeer {
    /// Wraps an established connection without TLS.
    pub fn new(stream: TcpStream) -> HttpPeer {
        let _ = stream.set_nodelay(true);
        HttpPeer { stream: Stream::Plain(stream), buffer: Vec::new() }
    }

    /// Connects to a server, with TLS if a connector and the server's name are given.
    pub async fn connect(address: SocketAddr, tls: Option<(&TlsConnector, &str)>) -> io::Result<HttpPeer> {
        let stream = TcpStream::connect(address).await?;
        let _ = stream.set_nodelay(true);
        let stream = match tls {
            Some((connector, name)) => {
                let name = name.to_string().try_into().map_err(io::Error::other)?;
                Stream::Tls(Box::new(connector.connect(name, stream).await?.into()))
            }
            None => Stream::Plain(stream),
        };
        Ok(HttpPeer { stream, buffer: Vec::new() })
    }

    /// Takes over an accepted connection, with TLS if an acceptor is given.
    pub async fn accept(stream: TcpStream, tls_acceptor: Option<TlsAcceptor>) -> io::Result<HttpPeer> {
        let _ = stream.set_nodelay(true);
        let stream = match tls_acceptor {
            Some(acceptor) => Stream::Tls(Box::new(acceptor.accept(stream).await?.into())),
            None => Stream::Plain(stream),
        };
        Ok(HttpPeer { stream, buffer: Vec::new() })
    }

    /// Reads more bytes into the buffer; false if the peer has closed the connection.
    pub async fn read_more(&mut self) -> io::Result<bool> {
        Ok(self.stream.read_buf(&mut self.buffer).await? > 0)
    }

    /// Reads a request; none if the peer closed the connection before its first byte.
    pub async fn read_request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self
            .read_head(|bytes| {
                let mut headers = [httparse::EMPTY_HEADER; 64];
                let mut head = httparse::Request::new(&mut headers);
                Ok(match head.parse(bytes).map_err(invalid_data)? {
                    httparse::Status::Partial => None,
                    httparse::Status::Complete(consumed) => {
                        let (method, target) =
                            (head.method.unwrap_or("").into(), head.path.unwrap_or("").into());
                        let headers = to_owned_headers(head.headers);
                        Some((Message { method, target, headers, ..Message::default() }, consumed))
                    }
                })
            })
            .await?
        else {
            return Ok(None);
        };
        message.body = self.read_body(message.content_length()?).await?;
        Ok(Some(message))
    }

    /// Reads the head of a response, and its body unless that is chunked; none if the peer closed the connection before
    /// the first byte.
    pub async fn read_response(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_response_head().await? else { return Ok(None) };
        if message.header("transfer-encoding").is_none() {
            message.body = self.read_body(message.content_length()?).await?;
        }
        Ok(Some(message))
    }

    /// Reads the head of a response; none if the peer closed the connection before its first byte.
    pub async fn read_response_head(&mut self) -> io::Result<Option<Message>> {
        self.read_head(|bytes| {
            let mut headers = [httparse::EMPTY_HEADER; 64];
            let mut head = httparse::Response::new(&mut headers);
            Ok(match head.parse(bytes).map_err(invalid_data)? {
                httparse::Status::Partial => None,
                httparse::Status::Complete(consumed) => {
                    let (status, headers) = (head.code.unwrap_or(0), to_owned_headers(head.headers));
                    Some((Message { status, headers, ..Message::default() }, consumed))
                }
            })
        })
        .await
    }

    /// Reads until `parse` finds a complete head, and removes its bytes from the buffer.
    async fn read_head(
        &mut self,
        parse: impl Fn(&[u8]) -> io::Result<Option<(Message, usize)>>,
    ) -> io::Result<Option<Message>> {
        loop {
            if let Some((message, consumed)) = parse(&self.buffer)? {
                self.buffer.drain(..consumed);
                return Ok(Some(message));
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(invalid_data("the HTTP head is too large"));
            }
            if !self.read_more().await? {
                let is_clean_end = self.buffer.is_empty();
                return if is_clean_end { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    /// Reads a body of `length` bytes.
    async fn read_body(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.read_more().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let rest = self.buffer.split_off(length);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    /// Waits until the peer closes the connection, and discards what it sends.
    pub async fn wait_closed(&mut self) {
        while let Ok(true) = self.read_more().await {}
    }

    /// Writes all bytes and flushes them.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await?;
        self.stream.flush().await
    }

    /// Closes the connection by a reset instead of an orderly shutdown.
    pub fn reset(self) {
        let stream = match &self.stream {
            Stream::Plain(stream) => stream,
            Stream::Tls(stream) => stream.get_ref().0,
        };
        let _ = socket2::SockRef::from(stream).set_linger(Some(std::time::Duration::ZERO));
    }
}

/// Copies parsed headers into owned strings.
fn to_owned_headers(headers: &[httparse::Header]) -> Vec<(String, String)> {
    let text = |h: &httparse::Header| (h.name.to_string(), String::from_utf8_lossy(h.value).into_owned());
    headers.iter().map(text).collect()
}
