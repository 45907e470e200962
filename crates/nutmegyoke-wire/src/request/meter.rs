//! Counts the tokens of an answer.

use serde::Deserialize;

/// Bytes of a request's body per token, for an estimate.
const BYTES_PER_TOKEN: usize = 4;

/// The start of an event of a stream that carries a token.
const TOKEN_EVENT_PREFIX: &[u8] = b"data: {";

/// Counts the tokens of one answer, part by part.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    generated: u64,
    total: Option<u64>,
    /// How much of [`TOKEN_EVENT_PREFIX`] the parts so far ended with.
    matched: usize,
}

/// The usage field of an answer that is not streamed.
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
    /// Takes in a part of an event stream; returns the events with a token that
    /// begin in it.
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

    /// Takes in a whole answer that is not streamed.
    pub fn read_usage(&mut self, body: &[u8]) {
        let Ok(Answer { usage }) = serde_json::from_slice(body) else {
            return;
        };
        self.generated = usage.completion_tokens;
        self.total = usage.prompt_tokens.map(|prompt| prompt + self.generated);
    }

    /// Prompt and generated tokens, with `prompt` for a prompt that the answer does
    /// not tell; `None` if the answer told nothing.
    #[must_use]
    pub fn tokens(&self, prompt: u64) -> Option<u64> {
        let estimated = (self.generated > 0).then_some(prompt + self.generated);
        self.total.or(estimated)
    }
}

/// Estimates the tokens of the prompt in a body of `bytes`.
#[must_use]
pub fn estimate_prompt_tokens(bytes: usize) -> u32 {
    u32::try_from(bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX)
}
