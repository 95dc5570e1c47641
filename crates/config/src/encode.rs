//! Serialization of records with fields that are absent in text while they are unset.
//!
//! The text of a record is what digests are computed over, so a new field must not
//! change the text of records that do not use it. In the binary form, which has no
//! field names, each field is always present.

use serde::{Serialize, Serializer, ser::SerializeStruct};

use crate::{Account, RouteTerms};

impl Serialize for RouteTerms {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let with_homes = !serializer.is_human_readable() || !self.homes.is_empty();
        let len = 5 + usize::from(with_homes);
        let mut fields = serializer.serialize_struct("RouteTerms", len)?;
        fields.serialize_field("timeout_ms", &self.timeout_ms)?;
        fields.serialize_field("target_ms", &self.target_ms)?;
        fields.serialize_field("max_attempts", &self.max_attempts)?;
        fields.serialize_field("rank", &self.rank)?;
        fields.serialize_field("split", &self.split)?;
        match with_homes {
            true => fields.serialize_field("homes", &self.homes)?,
            false => fields.skip_field("homes")?,
        }
        fields.end()
    }
}

impl Serialize for Account {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let with_homes = !serializer.is_human_readable() || !self.homes.is_empty();
        let len = 5 + usize::from(with_homes);
        let mut fields = serializer.serialize_struct("Account", len)?;
        fields.serialize_field("id", &self.id)?;
        fields.serialize_field("rate", &self.rate)?;
        fields.serialize_field("burst", &self.burst)?;
        fields.serialize_field("weight", &self.weight)?;
        fields.serialize_field("rank", &self.rank)?;
        match with_homes {
            true => fields.serialize_field("homes", &self.homes)?,
            false => fields.skip_field("homes")?,
        }
        fields.end()
    }
}
