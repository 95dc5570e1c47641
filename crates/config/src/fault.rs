//! Configuration errors and faults in documents.

use std::fmt;

use ids::Revision;

use crate::StateDigest;

/// A fault in a document, with its location and how to correct it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DocFault {
    /// Name of the file or published value.
    pub file: String,
    /// Line number from 1, or 0 if it is unknown.
    pub line: usize,
    /// Path of the field within the document, such as `routes[3].service`.
    pub field: String,
    /// What is wrong and how to correct it.
    pub message: String,
}

impl fmt::Display for DocFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        match self.field.as_str() {
            "" | "." => write!(f, "{}", self.message),
            field => write!(f, "{field}: {}", self.message),
        }
    }
}

impl std::error::Error for DocFault {}

/// Why a published configuration is refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigError {
    /// A text is not a digest.
    BadDigest(String),
    /// A document can't be parsed.
    Document(DocFault),
    /// A value exceeds the platform's size limit.
    TooLarge {
        /// Name of the value.
        name: String,
        /// Size of the value in bytes.
        bytes: usize,
    },
    /// A part does not have the digest that the manifest gives for it.
    PartMismatch {
        /// Name of the part.
        name: String,
    },
    /// The records of a revision do not have the announced state digest.
    StateMismatch {
        /// Revision of the records.
        revision: Revision,
        /// Announced digest.
        expected: StateDigest,
        /// Computed digest.
        found: StateDigest,
    },
    /// A revision is not newer than the current one.
    NotNewer {
        /// Revision that was refused.
        offered: Revision,
        /// Current revision.
        current: Revision,
    },
    /// A delta does not start from the current revision.
    Gap {
        /// Revision that the delta starts from.
        previous: Revision,
        /// Current revision.
        current: Revision,
    },
    /// A record has an invalid field or refers to a record that does not exist.
    Record {
        /// Identity of the record, such as `account radio-one`.
        record: String,
        /// What is wrong and how to correct it.
        message: String,
    },
    /// The format version of a published value is not supported.
    Format {
        /// Version of the value.
        found: u32,
    },
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadDigest(text) => write!(
                f,
                "`{text}` is not a digest of 32 hexadecimal digits; make one with `dogwoodshore digest`"
            ),
            Self::Document(fault) => fault.fmt(f),
            Self::TooLarge { name, bytes } => write!(
                f,
                "value {name} has {bytes} bytes, over the limit of {}; publish only values that `dogwoodshore pack` wrote",
                crate::MAX_VALUE_BYTES
            ),
            Self::PartMismatch { name } => write!(
                f,
                "part {name} does not have the digest in the manifest; publish parts before their manifest"
            ),
            Self::StateMismatch {
                revision,
                expected,
                found,
            } => write!(
                f,
                "revision {revision} should have state digest {expected} but has {found}; publish all values of one `dogwoodshore pack` run"
            ),
            Self::NotNewer { offered, current } => write!(
                f,
                "revision {offered} is not newer than the current revision {current}; run `dogwoodshore pack` with the published set as OLD to get a higher one"
            ),
            Self::Gap { previous, current } => write!(
                f,
                "delta starts from revision {previous} but the current revision is {current}; the parts are read instead"
            ),
            Self::Record { record, message } => write!(f, "{record}: {message}"),
            Self::Format { found } => write!(
                f,
                "format version {found} is not supported; run `dogwoodshore pack` of the version that the daemons run"
            ),
        }
    }
}

impl std::error::Error for ConfigError {}
