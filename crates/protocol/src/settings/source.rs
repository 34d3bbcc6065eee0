//! Typed access to the keys of an INI file.

use super::SettingsError;
use ini::Ini;
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

/// An INI file; keys that remain unread are unknown.
pub(super) struct Source {
    file: String,
    unread: BTreeMap<(String, String), String>,
}

impl Source {
    pub(super) fn new(file: &str, text: &str) -> Result<Source, SettingsError> {
        let ini = Ini::load_from_str(text).map_err(|e| SettingsError {
            file: file.into(),
            section: String::new(),
            key: format!("line {}", e.line),
            expected: format!("INI ({})", e.msg),
        })?;
        let mut unread = BTreeMap::new();
        for (section, properties) in &ini {
            for (key, value) in properties.iter() {
                let section = section.unwrap_or_default().to_owned();
                unread.insert((section, key.to_owned()), value.to_owned());
            }
        }
        Ok(Source { file: file.into(), unread })
    }

    pub(super) fn take(&mut self, section: &str, key: &str) -> Option<String> {
        self.unread.remove(&(section.to_owned(), key.to_owned()))
    }

    pub(super) fn error(&self, section: &str, key: &str, expected: &str) -> SettingsError {
        SettingsError {
            file: self.file.clone(),
            section: section.into(),
            key: key.into(),
            expected: expected.into(),
        }
    }

    pub(super) fn read_text(&mut self, section: &str, key: &str, field: &mut String) {
        if let Some(value) = self.take(section, key) {
            *field = value;
        }
    }

    pub(super) fn read_value<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        expected: &str,
        field: &mut T,
    ) -> Result<(), SettingsError> {
        let Some(value) = self.take(section, key) else {
            return Ok(());
        };
        *field = value.trim().parse().map_err(|_| self.error(section, key, expected))?;
        Ok(())
    }

    pub(super) fn read_option<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        expected: &str,
        field: &mut Option<T>,
    ) -> Result<(), SettingsError> {
        let Some(value) = self.take(section, key) else {
            return Ok(());
        };
        *field = Some(value.trim().parse().map_err(|_| self.error(section, key, expected))?);
        Ok(())
    }

    pub(super) fn read_list<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        expected: &str,
        field: &mut Vec<T>,
    ) -> Result<(), SettingsError> {
        let Some(value) = self.take(section, key) else {
            return Ok(());
        };
        let parts = value.split(',').map(str::trim).filter(|part| !part.is_empty());
        let parsed: Result<Vec<T>, _> = parts.map(str::parse).collect();
        *field = parsed.map_err(|_| self.error(section, key, expected))?;
        Ok(())
    }

    pub(super) fn read_millis(
        &mut self,
        section: &str,
        key: &str,
        field: &mut Duration,
    ) -> Result<(), SettingsError> {
        let mut millis = field.as_millis() as u64;
        self.read_value(section, key, "a number of milliseconds", &mut millis)?;
        *field = Duration::from_millis(millis);
        Ok(())
    }

    pub(super) fn read_seconds(
        &mut self,
        section: &str,
        key: &str,
        field: &mut Duration,
    ) -> Result<(), SettingsError> {
        let mut seconds = field.as_secs_f64();
        let expected = "a number of seconds";
        self.read_value(section, key, expected, &mut seconds)?;
        *field =
            Duration::try_from_secs_f64(seconds).map_err(|_| self.error(section, key, expected))?;
        Ok(())
    }

    pub(super) fn finish(self) -> Result<(), SettingsError> {
        match self.unread.keys().next() {
            None => Ok(()),
            Some((section, key)) => Err(self.error(section, key, "a known key")),
        }
    }
}
