//! Command line options of the form `--name value`.

use std::collections::HashMap;

/// The options of a subcommand.
pub struct Options(HashMap<String, String>);

impl Options {
    pub fn parse(words: &[String]) -> Options {
        let pairs = words.chunks(2).filter_map(|pair| {
            let name = pair[0].strip_prefix("--")?;
            Some((name.to_owned(), pair.get(1)?.clone()))
        });
        Options(pairs.collect())
    }

    pub fn text(&self, name: &str) -> String {
        self.0.get(name).cloned().unwrap_or_default()
    }

    pub fn number(&self, name: &str) -> u64 {
        self.text(name).parse().unwrap_or(0)
    }
}
