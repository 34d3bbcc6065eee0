//! Texts in objects that a JSON library can't write.

use bytes::Bytes;
use serde_json::{Value, json};
use transport::http::{self, Response};

const KEY: &str = "raw-text";

/// The texts. Objects hold a placeholder for each, which responses replace by the text.
#[derive(Default)]
pub(super) struct RawTexts(Vec<Vec<u8>>);

impl RawTexts {
    /// Stores a text and returns its placeholder.
    pub(super) fn insert(&mut self, text: &[u8]) -> Value {
        self.0.push(text.to_vec());
        json!({ KEY: self.0.len() - 1 })
    }

    /// Encodes a value with the texts in place of their placeholders.
    pub(super) fn encode(&self, value: &Value) -> Vec<u8> {
        let encoded = value.to_string();
        let start = format!("{{\"{KEY}\":");
        let mut parts = encoded.split(&start);
        let mut bytes = parts.next().unwrap_or_default().as_bytes().to_vec();
        for part in parts {
            let (index, rest) = part.split_once('}').unwrap_or_default();
            let text = index.parse().ok().and_then(|index: usize| self.0.get(index));
            bytes.extend_from_slice(text.map_or(&[], |text| text));
            bytes.extend_from_slice(rest.as_bytes());
        }
        bytes
    }

    /// A response that holds a value, with the texts in place of their placeholders.
    pub(super) fn response(&self, value: &Value) -> Response {
        http::bytes(200, "application/json", Bytes::from(self.encode(value)))
    }
}
