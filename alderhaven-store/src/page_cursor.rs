//! Position in a list that a store returns in pages, each of which continues after a name.

use std::collections::BTreeSet;

use crate::object_store::{StoreError, StoreResult};
use crate::url_text;

/// Maximum length in bytes of a name from which a list continues. Encoded, it takes up to three times as
/// much of a request line, and servers accept some kilobytes.
const MAX_CURSOR_BYTES: usize = 1 << 10;

/// Maximum length in bytes of a name in an error.
const MAX_NAME_IN_ERROR: usize = 64;

/// The least name that is not empty. Stores take an empty position for a missing one.
const LEAST_NAME: &[u8] = b"\0";

/// The greatest character, which follows all others in the order of names.
const GREATEST_CHARACTER: &str = "\u{10ffff}";

/// Position in a paged list. It makes sure that the list ends.
#[derive(Debug, Default)]
pub struct PageCursor {
    position: Option<Vec<u8>>,
    earlier_positions: BTreeSet<Vec<u8>>,
}

impl PageCursor {
    /// Returns the position as a value in a query; `None` before the first page.
    #[must_use]
    pub fn query_value(&self) -> Option<String> {
        self.position.as_deref().map(url_text::encode_query_value)
    }

    /// Returns true before the first page.
    #[must_use]
    pub const fn is_at_start(&self) -> bool {
        self.position.is_none()
    }

    /// Continues after a page whose last name is `last_name`.
    ///
    /// # Errors
    /// `Unknown` if the page names no entry, or if the list was at this position before: a store that
    /// repeats a page would repeat it without end.
    pub fn advance(&mut self, last_name: Option<&[u8]>) -> StoreResult<()> {
        let Some(last_name) = last_name else {
            let position = self.position.as_deref().unwrap_or_default();
            return Err(StoreError::unknown(format!(
                "the page after `{}` names no entry from which its list continues",
                shorten(position)
            )));
        };
        let position = position_after(last_name);
        if !self.earlier_positions.insert(position.clone()) {
            return Err(StoreError::unknown(format!(
                "the pages of a list don't advance beyond the entry `{}`",
                shorten(last_name)
            )));
        }
        self.position = Some(position);
        Ok(())
    }
}

/// Returns the position that follows a name. Behind a name that is too long for a request, it skips the
/// names that begin alike, which name no usable object either.
fn position_after(name: &[u8]) -> Vec<u8> {
    if name.is_empty() {
        return LEAST_NAME.to_vec();
    }
    if name.len() <= MAX_CURSOR_BYTES {
        return name.to_vec();
    }
    let mut end = MAX_CURSOR_BYTES;
    while !is_character_start(name[end]) && end > 0 {
        end -= 1;
    }
    [&name[..end], GREATEST_CHARACTER.as_bytes()].concat()
}

/// Returns true if a byte of UTF-8 text begins a character.
const fn is_character_start(byte: u8) -> bool {
    byte & 0xc0 != 0x80
}

fn shorten(name: &[u8]) -> String {
    let end = name.len().min(MAX_NAME_IN_ERROR);
    String::from_utf8_lossy(&name[..end]).into_owned()
}
