//! A caller of an entry or, directly, of an engine.

use std::net::SocketAddr;

use super::fleet::key;

/// How the answer comes.
#[derive(Clone, Copy, Debug)]
pub enum Form {
    /// In one piece.
    Whole,
    /// As server-sent events.
    Streamed,
}

impl Form {
    fn body(self, tokens: u32) -> String {
        let stream = matches!(self, Self::Streamed);
        format!(r#"{{"model":"price-ml","max_tokens":{tokens},"stream":{stream}}}"#)
    }
}

/// Calls one address with one pooled client.
pub struct Caller {
    client: cyper::Client,
    url: String,
}

impl Caller {
    /// Opens a client for the process at `address`.
    pub fn open(address: SocketAddr) -> Self {
        Self {
            client: cyper::Client::new().expect("a client"),
            url: format!("http://{address}/v1/completions"),
        }
    }

    /// Calls once and says whether the answer is whole.
    pub async fn call(&self, form: Form, tokens: u32) -> bool {
        let request = self.client.post(&self.url).expect("a URL");
        let request = request
            .bearer_auth(key())
            .expect("a key")
            .body(form.body(tokens));
        let Ok(response) = request.send().await else {
            return false;
        };
        let done = response.status().as_u16() == 200;
        let Ok(body) = response.bytes().await else {
            return false;
        };
        let end: &[u8] = match form {
            Form::Whole => b"}",
            Form::Streamed => b"[DONE]\n\n",
        };
        done && body.ends_with(end)
    }
}
