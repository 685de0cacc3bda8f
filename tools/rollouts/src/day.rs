//! Day files with one rollout.

use std::error::Error;
use std::path::{Path, PathBuf};

/// What is wrong with the new version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum VersionKind {
    /// Nothing.
    Good,
    /// The bench's fault with this name.
    Bad(String),
}

impl VersionKind {
    pub(crate) fn parse(name: &str) -> Self {
        match name {
            "good" => VersionKind::Good,
            name => VersionKind::Bad(name.to_owned()),
        }
    }

    pub(crate) fn name(&self) -> &str {
        match self {
            VersionKind::Good => "good",
            VersionKind::Bad(name) => name,
        }
    }

    fn entry(&self) -> String {
        match self {
            VersionKind::Good => "kind = \"rollout_good\"".to_owned(),
            VersionKind::Bad(name) => format!("kind = \"rollout_bad\", how = \"{name}\""),
        }
    }
}

/// A site file and its service of engines.
#[derive(Debug)]
pub(crate) struct Deployment {
    pub(crate) name: String,
    pub(crate) site_path: PathBuf,
    service: String,
}

impl Deployment {
    /// Reads a site file; its first service with a model is the one that is rolled out.
    pub(crate) fn read(site_path: &Path) -> Result<Self, Box<dyn Error>> {
        let site: toml::Table = std::fs::read_to_string(site_path)?.parse()?;
        let services = site.get("services").and_then(toml::Value::as_array);
        let mut services = services.into_iter().flatten();
        let service = services.find(|service| service.get("model").is_some());
        let text = |value: Option<&toml::Value>| {
            let text = value.and_then(toml::Value::as_str);
            text.map(str::to_owned)
                .ok_or_else(|| format!("no name in {}", site_path.display()))
        };
        Ok(Deployment {
            name: text(site.get("name"))?,
            site_path: site_path.to_owned(),
            service: text(service.and_then(|service| service.get("name")))?,
        })
    }

    /// Returns the text of a day of 40 s; the rollout begins after 4 s and has 15 s.
    pub(crate) fn render_day(&self, kind: Option<&VersionKind>) -> String {
        let name = kind.map_or("none", VersionKind::name);
        let entry = kind.map(|kind| {
            format!(
                "  {{ at = 4.0, {}, share = 0.5, gap_s = 3.0, for_s = 15.0, service = \"{}\" }},\n",
                kind.entry(),
                self.service
            )
        });
        let entry = entry.unwrap_or_default();
        format!("name = \"rollout-{name}\"\nlength_s = 40.0\nplan = [\n{entry}]\nfaults = [\n]\n")
    }
}
