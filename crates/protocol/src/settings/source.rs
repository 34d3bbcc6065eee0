//! The keys of an INI file, read one by one.

use super::SettingsError;
use ini::Ini;
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

/// Keys not yet read; what is left at the end is unknown.
pub(super) struct Source {
    file: String,
    left: BTreeMap<(String, String), String>,
}

impl Source {
    pub(super) fn new(file: &str, text: &str) -> Result<Source, SettingsError> {
        let ini = Ini::load_from_str(text).map_err(|e| SettingsError {
            file: file.into(),
            section: String::new(),
            key: format!("line {}", e.line),
            expected: format!("INI ({})", e.msg),
        })?;
        let mut left = BTreeMap::new();
        for (section, properties) in &ini {
            for (key, value) in properties.iter() {
                let section = section.unwrap_or_default().to_owned();
                left.insert((section, key.to_owned()), value.to_owned());
            }
        }
        Ok(Source { file: file.into(), left })
    }

    pub(super) fn take(&mut self, section: &str, key: &str) -> Option<String> {
        self.left.remove(&(section.to_owned(), key.to_owned()))
    }

    pub(super) fn fault(&self, section: &str, key: &str, expected: &str) -> SettingsError {
        SettingsError {
            file: self.file.clone(),
            section: section.into(),
            key: key.into(),
            expected: expected.into(),
        }
    }

    pub(super) fn text(&mut self, section: &str, key: &str, into: &mut String) {
        if let Some(value) = self.take(section, key) {
            *into = value;
        }
    }

    pub(super) fn value<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        expected: &str,
        into: &mut T,
    ) -> Result<(), SettingsError> {
        let Some(value) = self.take(section, key) else {
            return Ok(());
        };
        *into = value.trim().parse().map_err(|_| self.fault(section, key, expected))?;
        Ok(())
    }

    pub(super) fn option<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        expected: &str,
        into: &mut Option<T>,
    ) -> Result<(), SettingsError> {
        let Some(value) = self.take(section, key) else {
            return Ok(());
        };
        *into = Some(value.trim().parse().map_err(|_| self.fault(section, key, expected))?);
        Ok(())
    }

    pub(super) fn list<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        expected: &str,
        into: &mut Vec<T>,
    ) -> Result<(), SettingsError> {
        let Some(value) = self.take(section, key) else {
            return Ok(());
        };
        let parts = value.split(',').map(str::trim).filter(|part| !part.is_empty());
        let parsed: Result<Vec<T>, _> = parts.map(str::parse).collect();
        *into = parsed.map_err(|_| self.fault(section, key, expected))?;
        Ok(())
    }

    pub(super) fn millis(
        &mut self,
        section: &str,
        key: &str,
        into: &mut Duration,
    ) -> Result<(), SettingsError> {
        let mut millis = into.as_millis() as u64;
        self.value(section, key, "a number of milliseconds", &mut millis)?;
        *into = Duration::from_millis(millis);
        Ok(())
    }

    pub(super) fn seconds(
        &mut self,
        section: &str,
        key: &str,
        into: &mut Duration,
    ) -> Result<(), SettingsError> {
        let mut seconds = into.as_secs_f64();
        let expected = "a number of seconds";
        self.value(section, key, expected, &mut seconds)?;
        *into =
            Duration::try_from_secs_f64(seconds).map_err(|_| self.fault(section, key, expected))?;
        Ok(())
    }

    pub(super) fn finish(self) -> Result<(), SettingsError> {
        match self.left.keys().next() {
            None => Ok(()),
            Some((section, key)) => Err(self.fault(section, key, "a key that is known here")),
        }
    }
}
