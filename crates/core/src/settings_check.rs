//! Reading and validation of settings, with errors that name the file, the line and
//! the remedy.

use crate::settings::NodeSettings;
use miette::{Diagnostic, NamedSource, SourceSpan};
use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;
use thiserror::Error;

const PEER_KEY_DIGITS: usize = 64;

/// Why settings were not accepted.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("the settings file {file} can't be read")]
    Unreadable {
        /// The file's name.
        file: String,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// The text is not valid JSON, or a key or value is invalid.
    #[error("{file}:{line}: {message}")]
    Malformed {
        /// The file's name.
        file: String,
        /// The line number, starting at 1.
        line: usize,
        /// The fault, and which value is valid.
        message: String,
        /// The complete text.
        #[source_code]
        text: Arc<NamedSource<String>>,
        /// The position in the text.
        #[label("here")]
        span: SourceSpan,
    },
}

impl NodeSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or [`NodeSettings::parse`] fails.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_core::NodeSettings;
    /// use std::path::Path;
    ///
    /// assert!(NodeSettings::read(Path::new("missing.json")).is_err());
    /// ```
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => NodeSettings::parse(&file, &text),
            Err(source) => Err(SettingsError::Unreadable { file, source }),
        }
    }

    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Fails on malformed JSON, unknown keys, invalid units and invalid values.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: NodeSettings = serde_json::from_str(text).map_err(|error| {
            let offset = byte_offset(text, error.line(), error.column());
            malformed_error(file, text, offset, error.to_string())
        })?;
        match settings.find_invalid_value() {
            None => Ok(settings),
            Some((key, message)) => {
                let offset = text.find(&format!("\"{key}\"")).unwrap_or(0);
                Err(malformed_error(
                    file,
                    text,
                    offset,
                    format!("`{key}`: {message}"),
                ))
            }
        }
    }

    fn find_invalid_value(&self) -> Option<(&'static str, String)> {
        let key = &self.peer_key;
        if key.len() != PEER_KEY_DIGITS || !key.chars().all(|c| c.is_ascii_hexdigit()) {
            return Some((
                "peer_key",
                format!("must be {PEER_KEY_DIGITS} hexadecimal digits"),
            ));
        }
        if self.name.as_str().is_empty() {
            return Some(("name", "must not be empty".into()));
        }
        if self.zone.as_str().is_empty() {
            return Some(("zone", "must not be empty".into()));
        }
        if self.resume.shortest_silence > self.resume.longest_silence {
            return Some((
                "shortest_silence",
                "must not exceed `longest_silence`".into(),
            ));
        }
        if self.platform.timeout.as_millis() == 0 {
            return Some(("timeout", "must be longer than `0ms`".into()));
        }
        if self.platform.poll.as_millis() == 0 {
            return Some(("poll", "must be longer than `0ms`".into()));
        }
        if self.resume.race_percent > 100 {
            return Some(("race_percent", "must be a number from 0 to 100".into()));
        }
        if self.limits.in_progress == 0 {
            return Some(("in_progress", "must be greater than 0".into()));
        }
        None
    }
}

fn malformed_error(file: &str, text: &str, offset: usize, message: String) -> SettingsError {
    let line = text[..offset.min(text.len())].matches('\n').count() + 1;
    SettingsError::Malformed {
        file: file.to_owned(),
        line,
        message,
        text: Arc::new(NamedSource::new(file, text.to_owned())),
        span: SourceSpan::from(offset.min(text.len())),
    }
}

fn byte_offset(text: &str, line: usize, column: usize) -> usize {
    let start: usize = text
        .split_inclusive('\n')
        .take(line.saturating_sub(1))
        .map(str::len)
        .sum();
    let offset = (start + column.saturating_sub(1)).min(text.len());
    (0..=offset)
        .rev()
        .find(|&index| text.is_char_boundary(index))
        .unwrap_or(0)
}
