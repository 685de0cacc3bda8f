//! Typed names, stored as shared immutable strings.

use faststr::FastStr;
use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::fmt;

macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// Clones share the text.
        #[derive(
            Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(FastStr);

        impl $name {
            /// Creates a name from text.
            pub fn new(text: impl Into<FastStr>) -> Self {
                $name(text.into())
            }

            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(FastStr::new(text))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

shared_name!(
    /// The name of a service that customers call.
    ServiceName
);
shared_name!(
    /// The name of a version of a service.
    VersionName
);
shared_name!(
    /// The name of an upstream: a model engine or a plain application.
    UpstreamName
);
shared_name!(
    /// The name of a customer.
    CustomerName
);
shared_name!(
    /// The name of a VM.
    VmName
);
shared_name!(
    /// The name of an availability zone.
    ZoneName
);
