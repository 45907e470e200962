//! The boundaries of the events in a `text/event-stream`.

/// Finds the boundaries of events in a stream that is read in pieces. An empty line ends an
/// event; a line ends with LF, CR or CRLF.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scanner {
    /// The bytes of the current event so far.
    length: usize,
    /// Whether the current line has bytes.
    in_line: bool,
    /// Whether the latest byte was a CR, so that an LF belongs to it.
    after_cr: bool,
}

impl Scanner {
    /// Scans the next bytes of the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            let after_cr = std::mem::replace(&mut self.after_cr, byte == b'\r');
            match byte {
                b'\n' if after_cr => {}
                b'\r' | b'\n' if self.in_line => {
                    self.in_line = false;
                    self.length += 1;
                }
                b'\r' | b'\n' => self.length = 0,
                _ => {
                    self.in_line = true;
                    self.length += 1;
                }
            }
        }
    }

    /// Whether the latest event has ended, or there was none.
    #[must_use]
    pub fn at_boundary(&self) -> bool {
        self.length == 0
    }

    /// The length of the event that has not ended, in bytes.
    #[must_use]
    pub fn event_length(&self) -> usize {
        self.length
    }
}
