//! JSON with comments, with the line of each fault.

use ids::FastSet;
use jsonc_parser::{
    ParseOptions,
    ast::{ObjectPropName, Value},
    common::Ranged,
};
use serde::de::DeserializeOwned;
use serde_path_to_error::{Path, Segment};

use crate::DocFault;

/// Options: comments and trailing commas, otherwise strict JSON.
fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
        ..ParseOptions::default()
    }
}

/// Line, from 1, of a byte offset.
fn line_at(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    1 + text.as_bytes()[..end]
        .iter()
        .filter(|b| **b == b'\n')
        .count()
}

/// Reads a document, from `file` for messages.
///
/// # Errors
///
/// The first fault, with line, field and what was expected there.
pub fn parse_document<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, DocFault> {
    let parsed = jsonc_parser::parse_to_serde_value::<serde_json::Value>(text, &parse_options());
    let value = parsed.map_err(|error| DocFault {
        file: file.to_owned(),
        line: line_at(text, error.range().start),
        field: String::new(),
        message: format!("{}; correct the JSON here", error.kind()),
    })?;
    if let Some((name, offset)) = repeated_name(text) {
        return Err(DocFault {
            file: file.to_owned(),
            line: line_at(text, offset),
            field: name,
            message: "stands twice in one object; remove one".to_owned(),
        });
    }
    serde_path_to_error::deserialize(value).map_err(|error| DocFault {
        file: file.to_owned(),
        line: line_of(text, &steps_of(error.path())),
        field: error.path().to_string(),
        message: error.inner().to_string(),
    })
}

/// The first property that stands twice in its object, with its byte offset.
///
/// The parser takes the last one without a word.
fn repeated_name(text: &str) -> Option<(String, usize)> {
    let collect = jsonc_parser::CollectOptions::default();
    let parsed = jsonc_parser::parse_to_ast(text, &collect, &parse_options());
    repeated_in(&parsed.ok()?.value?)
}

/// The first property of a value that stands twice.
fn repeated_in(value: &Value<'_>) -> Option<(String, usize)> {
    match value {
        Value::Object(object) => {
            let mut seen = FastSet::default();
            object.properties.iter().find_map(|prop| {
                let name = prop_name(prop);
                match seen.insert(name) {
                    true => repeated_in(&prop.value),
                    false => Some((name.to_owned(), prop.range().start)),
                }
            })
        }
        Value::Array(array) => array.elements.iter().find_map(repeated_in),
        _ => None,
    }
}

/// Name of a property.
fn prop_name<'a>(prop: &'a jsonc_parser::ast::ObjectProp<'_>) -> &'a str {
    match &prop.name {
        ObjectPropName::String(text) => &text.value,
        ObjectPropName::Word(word) => word.value,
    }
}

/// A step from a JSON value into a part of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    /// Into the property of that name.
    Name(String),
    /// Into the element at that place.
    Index(usize),
}

/// The steps of a path of `serde_path_to_error`.
fn steps_of(path: &Path) -> Vec<Step> {
    let step = |segment: &Segment| match segment {
        Segment::Seq { index } => Some(Step::Index(*index)),
        Segment::Map { key } => Some(Step::Name(key.clone())),
        _ => None,
    };
    path.iter().filter_map(step).collect()
}

/// Line of the value that `steps` lead to, or of the last one that exists.
pub(crate) fn line_of(text: &str, steps: &[Step]) -> usize {
    let collect = jsonc_parser::CollectOptions::default();
    let parsed = jsonc_parser::parse_to_ast(text, &collect, &parse_options());
    let root = parsed.ok().and_then(|result| result.value);
    match root {
        Some(root) => line_at(text, offset_of(&root, steps)),
        None => 0,
    }
}

/// Byte offset of the value that `steps` lead to.
fn offset_of(value: &Value<'_>, steps: &[Step]) -> usize {
    let here = value.range().start;
    let Some((first, rest)) = steps.split_first() else {
        return here;
    };
    match (value, first) {
        (Value::Object(object), Step::Name(name)) => {
            let named = |prop: &&jsonc_parser::ast::ObjectProp<'_>| prop_name(prop) == name;
            match object.properties.iter().find(named) {
                Some(prop) if rest.is_empty() => prop.range().start,
                Some(prop) => offset_of(&prop.value, rest),
                None => here,
            }
        }
        (Value::Array(array), Step::Index(index)) => match array.elements.get(*index) {
            Some(element) => offset_of(element, rest),
            None => here,
        },
        _ => here,
    }
}
