//! A caller of an entry or, directly, of an engine.

use std::net::SocketAddr;

use super::fleet::api_key;

/// How the answer comes.
#[derive(Clone, Copy, Debug)]
pub enum Delivery {
    /// In one piece.
    Whole,
    /// As server-sent events.
    Streamed,
}

impl Delivery {
    fn body(self, tokens: u32) -> String {
        let stream = matches!(self, Self::Streamed);
        format!(r#"{{"model":"price-ml","max_tokens":{tokens},"stream":{stream}}}"#)
    }
}

/// Calls one address with one pooled client.
pub struct Client {
    http: cyper::Client,
    url: String,
}

impl Client {
    /// Opens a client for the process at `address`.
    pub fn open(address: SocketAddr) -> Self {
        Self {
            http: cyper::Client::new().expect("a client"),
            url: format!("http://{address}/v1/completions"),
        }
    }

    /// Calls once and says whether the answer is whole.
    pub async fn request_completion(&self, delivery: Delivery, tokens: u32) -> bool {
        let request = self.http.post(&self.url).expect("a URL");
        let request = request
            .bearer_auth(api_key())
            .expect("a key")
            .body(delivery.body(tokens));
        let Ok(response) = request.send().await else {
            return false;
        };
        let ok = response.status().as_u16() == 200;
        let Ok(body) = response.bytes().await else {
            return false;
        };
        let suffix: &[u8] = match delivery {
            Delivery::Whole => b"}",
            Delivery::Streamed => b"[DONE]\n\n",
        };
        ok && body.ends_with(suffix)
    }
}
