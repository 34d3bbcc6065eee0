//! Text that must not appear in logs or error messages.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A secret text, such as an API key or a configuration that contains keys. Its `Debug` output
/// shows only its length in bytes.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// The text itself.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl From<String> for Secret {
    fn from(text: String) -> Secret {
        Secret(text)
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Secret({} bytes)", self.0.len())
    }
}
