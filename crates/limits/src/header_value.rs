//! Value of a header that an answer may repeat.

/// Parses the values of an answer's header, which all have to be the same. `None` is a value that
/// isn't text.
///
/// # Errors
/// That of `parse` for a value that is invalid, `not_text` for one that isn't text, and `conflicting`
/// if two values differ.
pub(crate) fn parse_single<'a, T: PartialEq, E>(
    values: impl IntoIterator<Item = Option<&'a str>>,
    parse: impl Fn(&str) -> Result<T, E>,
    not_text: E,
    conflicting: E,
) -> Result<Option<T>, E> {
    let mut stated = None;
    for value in values {
        let Some(text) = value else { return Err(not_text) };
        let next = parse(text)?;
        if stated.as_ref().is_some_and(|stated| *stated != next) {
            return Err(conflicting);
        }
        stated = Some(next);
    }
    Ok(stated)
}
