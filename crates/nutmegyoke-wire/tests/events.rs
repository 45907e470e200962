//! The boundaries of the events in a stream.

use nutmegyoke_cases::cases;
use nutmegyoke_wire::request::events::Scanner;

/// Whether a stream that ends after `text` ends with an event, however it is cut into pieces.
fn ends_at_boundary(text: &str, expected: bool) {
    for size in 1..=text.len().max(1) {
        let mut scanner = Scanner::default();
        for piece in text.as_bytes().chunks(size) {
            scanner.feed(piece);
        }
        assert_eq!(scanner.at_boundary(), expected, "pieces of {size} bytes");
    }
}

cases!(ends_at_boundary {
    empty_stream: ("", true),
    whole_event: ("id: 1\ndata: a\n\n", true),
    two_events: ("data: a\n\ndata: b\n\n", true),
    events_with_crlf: ("data: a\r\n\r\ndata: b\r\n\r\n", true),
    events_with_cr: ("data: a\r\rdata: b\r\r", true),
    inside_a_line: ("data: a\n\ndat", false),
    after_a_line: ("data: a\n\ndata: b\n", false),
    after_a_line_with_crlf: ("data: a\r\n", false),
    comment_without_an_empty_line: ("data: a\n\n: ping\n", false),
    more_empty_lines: ("data: a\n\n\n\n", true),
});
