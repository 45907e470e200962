//! Counts the tokens of an answer, streamed or not.

use serde::Deserialize;

/// Bytes of a request's body per prompt token, to estimate the prompt's length.
const BYTES_PER_TOKEN: usize = 4;

/// The start of a server-sent event with a token. The closing event, `data: [DONE]`, has `[`
/// in place of the last byte.
const TOKEN_EVENT_PREFIX: &[u8] = b"data: {";

/// Counts the tokens of one answer.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    generated: u64,
    /// Prompt and generated tokens, if the answer reported both.
    total: Option<u64>,
    /// How many bytes of [`TOKEN_EVENT_PREFIX`] the input so far ends with.
    matched: usize,
}

/// An answer that is not streamed, reduced to its usage.
#[derive(Deserialize)]
struct Answer {
    usage: Usage,
}

#[derive(Deserialize)]
struct Usage {
    #[serde(default)]
    prompt_tokens: Option<u64>,
    #[serde(default)]
    completion_tokens: u64,
}

impl Meter {
    /// Counts the events with a token in a part of an event stream and returns their
    /// number. An event split over two parts counts in the part that completes its
    /// prefix.
    pub fn add_part(&mut self, part: &[u8]) -> u32 {
        let mut events = 0;
        for &byte in part {
            self.matched = match TOKEN_EVENT_PREFIX.get(self.matched) {
                Some(&expected) if expected == byte => self.matched + 1,
                _ => usize::from(TOKEN_EVENT_PREFIX[0] == byte),
            };
            if self.matched == TOKEN_EVENT_PREFIX.len() {
                events += 1;
                self.matched = 0;
            }
        }
        self.generated += u64::from(events);
        events
    }

    /// Reads the token counts of a complete answer that is not streamed. A body without a
    /// usage field is ignored.
    pub fn read_usage(&mut self, body: &[u8]) {
        let Ok(Answer { usage }) = serde_json::from_slice(body) else {
            return;
        };
        self.generated = usage.completion_tokens;
        self.total = usage.prompt_tokens.map(|prompt| prompt + self.generated);
    }

    /// The prompt and generated tokens. `prompt` is used if the answer does not report the
    /// prompt's tokens. `None` if no tokens were counted.
    #[must_use]
    pub fn tokens(&self, prompt: u64) -> Option<u64> {
        let estimated = (self.generated > 0).then_some(prompt + self.generated);
        self.total.or(estimated)
    }
}

/// Estimates the prompt tokens of a request whose body is `bytes` long.
#[must_use]
pub fn estimate_prompt_tokens(bytes: usize) -> u32 {
    u32::try_from(bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX)
}
