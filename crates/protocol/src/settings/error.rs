//! Errors of settings files.

use std::fmt;

/// Why a settings file is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the file.
    pub file: String,
    /// Section of the invalid key; empty if the file can't be read or parsed.
    pub section: String,
    /// Invalid key; empty if the file can't be read, `line N` if it can't be parsed.
    pub key: String,
    /// Description of a valid value.
    pub expected: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SettingsError { file, section, key, expected } = self;
        write!(f, "{file}: section [{section}], key `{key}`: expected {expected}")
    }
}

impl std::error::Error for SettingsError {}
