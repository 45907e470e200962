//! An HTTP client of an entry or, for comparison, of the engine itself.

use std::net::SocketAddr;

use super::fleet::api_key;

/// How the server sends the answer.
#[derive(Clone, Copy, Debug)]
pub enum Delivery {
    /// As one JSON document.
    Whole,
    /// As server-sent events.
    Streamed,
}

impl Delivery {
    /// The request body that asks for `tokens` tokens.
    fn body(self, tokens: u32) -> String {
        let stream = matches!(self, Self::Streamed);
        format!(r#"{{"model":"price-ml","max_tokens":{tokens},"stream":{stream}}}"#)
    }
}

/// Sends completion requests to one address over pooled connections.
pub struct Client {
    http: cyper::Client,
    url: String,
}

impl Client {
    /// Creates a client of the process at `address`.
    pub fn open(address: SocketAddr) -> Self {
        Self {
            http: cyper::Client::new().expect("the HTTP client can be created"),
            url: format!("http://{address}/v1/completions"),
        }
    }

    /// Sends one request and returns whether a complete answer with status 200 arrived.
    pub async fn request_completion(&self, delivery: Delivery, tokens: u32) -> bool {
        let request = self.http.post(&self.url).expect("the URL is valid");
        let request = request
            .bearer_auth(api_key())
            .expect("the API key is a valid header value")
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
