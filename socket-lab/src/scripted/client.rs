//! A client connection whose bytes a test writes and reads.

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::TEST_TIMEOUT;
use super::message::{Message, read_message};

/// A client's connection. Reads time out after [`TEST_TIMEOUT`].
pub struct Client {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Opens a connection.
    ///
    /// # Panics
    /// If the connection fails.
    pub fn connect(address: SocketAddr) -> Self {
        Self::from_stream(TcpStream::connect(address).expect("the server accepts a connection"))
    }

    /// Wraps an open connection.
    ///
    /// # Panics
    /// If the process has no free descriptor.
    pub fn from_stream(writer: TcpStream) -> Self {
        writer.set_read_timeout(Some(TEST_TIMEOUT)).expect("the timeout is above zero");
        let reader = BufReader::new(writer.try_clone().expect("the process has a free descriptor"));
        Self { writer, reader }
    }

    /// A second handle to the same socket.
    ///
    /// # Panics
    /// If the process has no free descriptor.
    pub fn stream(&self) -> TcpStream {
        self.writer.try_clone().expect("the process has a free descriptor")
    }

    /// Closes the connection with a TCP reset.
    ///
    /// # Panics
    /// If the socket does not support the linger option.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(&self.writer);
        socket.set_linger(Some(Duration::ZERO)).expect("a TCP socket takes the linger option");
    }

    /// Writes a text to the connection as it is.
    ///
    /// # Panics
    /// If the connection is closed.
    pub fn write(&mut self, text: &str) {
        self.writer.write_all(text.as_bytes()).expect("the connection is open");
    }

    /// Reads the next response. `None` if the connection ends, or a read times out, before the response is complete.
    pub fn read(&mut self) -> Option<Message> {
        read_message(&mut self.reader)
    }

    /// Writes a request and reads its response.
    ///
    /// # Panics
    /// If the connection is closed before the request is written.
    pub fn round_trip(&mut self, request: &str) -> Option<Message> {
        self.write(request);
        self.read()
    }

    /// Like [`Client::round_trip`], but returns `None` if the connection was closed before the request is written.
    pub fn try_round_trip(&mut self, request: &str) -> Option<Message> {
        self.writer.write_all(request.as_bytes()).ok()?;
        self.read()
    }

    /// Whether the peer has closed the connection and no unread response is left.
    pub fn is_closed(&mut self) -> bool {
        match self.reader.read(&mut [0]) {
            Ok(length) => length == 0,
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }
}
