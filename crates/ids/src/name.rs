//! Names of VMs, zones, services, accounts and keys.
//!
//! The text of a name is reference-counted, so that a clone does not copy it.

use std::{borrow::Borrow, fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// Maximum length of a name in bytes.
const MAX_NAME_BYTES: usize = 100;

/// Error for a text that is not a valid name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NameError {
    text: String,
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is not a name; use 1 to {MAX_NAME_BYTES} of the characters a-z, A-Z, 0-9, `.`, `_` and `-`",
            self.text.escape_debug()
        )
    }
}

impl std::error::Error for NameError {}

/// Checks the length and the characters of a name.
fn check_name(text: &str) -> Result<(), NameError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
    match text.len() {
        1..=MAX_NAME_BYTES if text.bytes().all(allowed) => Ok(()),
        _ => Err(NameError {
            text: text.chars().take(MAX_NAME_BYTES).collect(),
        }),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(Deserialize, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name_type!(
    /// Name of a VM.
    VmId
);
name_type!(
    /// Name of an availability zone.
    ZoneId
);
name_type!(
    /// Name of a rack within an availability zone.
    RackId
);
name_type!(
    /// Name of a region.
    RegionId
);
name_type!(
    /// Name of a backend server.
    ServerId
);
name_type!(
    /// Name of a service, which is a pool of backend servers.
    ServiceId
);
name_type!(
    /// Name of a client account.
    AccountId
);
name_type!(
    /// Name of a caller's key, not the secret key itself.
    KeyId
);
