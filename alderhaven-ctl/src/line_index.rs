//! Finds the line of a field in a YAML text, for error messages about its value.

/// Gets the line, counted from 1, of the deepest segment of `field` that the text contains.
///
/// `field` is a path such as `parameters.title`. The search follows the indentation of block
/// mappings; for a path into a flow mapping (`{…}`) it yields the line of that mapping.
#[must_use]
pub fn field_line(text: &str, field: &str) -> Option<usize> {
    let lines: Vec<&str> = text.lines().collect();
    let mut found = None;
    let mut start = 0;
    let mut parent_indent = None;
    for segment in field.split('.') {
        let Some((line, indent)) = find_key(&lines, start, parent_indent, segment) else {
            break;
        };
        found = Some(line + 1);
        start = line + 1;
        parent_indent = Some(indent);
    }
    found
}

/// Finds `key` among the children of the mapping that begins at line `start`, and returns its line,
/// counted from 0, and its indentation.
fn find_key(
    lines: &[&str],
    start: usize,
    parent_indent: Option<usize>,
    key: &str,
) -> Option<(usize, usize)> {
    let mut child_indent = None;
    for (line, text) in lines.iter().enumerate().skip(start) {
        let content = text.trim_start();
        if content.is_empty() || content.starts_with('#') {
            continue;
        }
        let indent = text.len() - content.len();
        if parent_indent.is_some_and(|parent| indent <= parent) {
            return None;
        }
        // Lines indented deeper than the first child belong to nested mappings.
        let is_child = indent == *child_indent.get_or_insert(indent);
        if is_child && mapping_key(content) == Some(key) {
            return Some((line, indent));
        }
    }
    None
}

fn mapping_key(content: &str) -> Option<&str> {
    let (key, _) = content.split_once(':')?;
    Some(key.trim().trim_matches(['"', '\'']))
}
