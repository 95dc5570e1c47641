//! Parser for JSON with comments that reports the line of each fault.

use ids::FastSet;
use jsonc_parser::{
    ParseOptions,
    ast::{ObjectPropName, Value},
    common::Ranged,
};
use serde::de::DeserializeOwned;
use serde_path_to_error::{Path, Segment};

use crate::DocFault;

/// Parser options that allow comments and trailing commas, otherwise strict
/// JSON.
fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
        ..ParseOptions::default()
    }
}

/// Returns the line number, from 1, of a byte offset.
fn line_at(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    1 + text.as_bytes()[..end]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
}

/// Parses a document; `file` is its name in error messages.
///
/// # Errors
///
/// Returns the first fault, with its line, its field and what was expected
/// there.
pub fn parse_document<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, DocFault> {
    let parsed = jsonc_parser::parse_to_serde_value::<serde_json::Value>(text, &parse_options());
    let value = parsed.map_err(|error| DocFault {
        file: file.to_owned(),
        line: line_at(text, error.range().start),
        field: String::new(),
        message: format!("{}; correct the JSON here", error.kind()),
    })?;
    if let Some((name, offset)) = find_duplicate(text) {
        return Err(DocFault {
            file: file.to_owned(),
            line: line_at(text, offset),
            field: name,
            message: "stands twice in one object; remove one".to_owned(),
        });
    }
    serde_path_to_error::deserialize(value).map_err(|error| DocFault {
        file: file.to_owned(),
        line: line_of(text, &segments_of(error.path())),
        field: error.path().to_string(),
        message: error.inner().to_string(),
    })
}

/// Finds the first duplicate property of an object, and returns its name and
/// byte offset.
///
/// The parser itself doesn't report duplicates: it keeps the last one.
fn find_duplicate(text: &str) -> Option<(String, usize)> {
    let collect = jsonc_parser::CollectOptions::default();
    let parsed = jsonc_parser::parse_to_ast(text, &collect, &parse_options());
    duplicate_in(&parsed.ok()?.value?)
}

/// Finds the first duplicate property within a value.
fn duplicate_in(value: &Value<'_>) -> Option<(String, usize)> {
    match value {
        Value::Object(object) => {
            let mut seen = FastSet::default();
            object.properties.iter().find_map(|prop| {
                let name = prop_name(prop);
                match seen.insert(name) {
                    true => duplicate_in(&prop.value),
                    false => Some((name.to_owned(), prop.range().start)),
                }
            })
        }
        Value::Array(array) => array.elements.iter().find_map(duplicate_in),
        _ => None,
    }
}

/// Returns the name of a property.
fn prop_name<'a>(prop: &'a jsonc_parser::ast::ObjectProp<'_>) -> &'a str {
    match &prop.name {
        ObjectPropName::String(text) => &text.value,
        ObjectPropName::Word(word) => word.value,
    }
}

/// One segment of the path to a JSON value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum PathSegment {
    /// Property of an object, by name.
    Property(String),
    /// Element of an array, by index.
    Index(usize),
}

/// Converts a path of `serde_path_to_error` to segments.
fn segments_of(path: &Path) -> Vec<PathSegment> {
    let convert = |segment: &Segment| match segment {
        Segment::Seq { index } => Some(PathSegment::Index(*index)),
        Segment::Map { key } => Some(PathSegment::Property(key.clone())),
        _ => None,
    };
    path.iter().filter_map(convert).collect()
}

/// Returns the line of the value at `path`, or of its closest existing
/// ancestor; 0 if the text can't be parsed.
pub(crate) fn line_of(text: &str, path: &[PathSegment]) -> usize {
    let collect = jsonc_parser::CollectOptions::default();
    let parsed = jsonc_parser::parse_to_ast(text, &collect, &parse_options());
    let root = parsed.ok().and_then(|result| result.value);
    match root {
        Some(root) => line_at(text, offset_of(&root, path)),
        None => 0,
    }
}

/// Returns the byte offset of the value at `path` within `value`, or of its
/// closest existing ancestor.
fn offset_of(value: &Value<'_>, path: &[PathSegment]) -> usize {
    let start = value.range().start;
    let Some((first, rest)) = path.split_first() else {
        return start;
    };
    match (value, first) {
        (Value::Object(object), PathSegment::Property(name)) => {
            let same_name = |prop: &&jsonc_parser::ast::ObjectProp<'_>| prop_name(prop) == name;
            match object.properties.iter().find(same_name) {
                Some(prop) if rest.is_empty() => prop.range().start,
                Some(prop) => offset_of(&prop.value, rest),
                None => start,
            }
        }
        (Value::Array(array), PathSegment::Index(index)) => match array.elements.get(*index) {
            Some(element) => offset_of(element, rest),
            None => start,
        },
        _ => start,
    }
}
