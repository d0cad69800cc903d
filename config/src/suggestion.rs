//! Suggestions for misspelled words.

/// Minimum similarity of a suggestion, from 0 to 1 (normalized Damerau-Levenshtein similarity).
const MIN_SIMILARITY: f64 = 0.5;

/// The known word that is most similar to `word`; `None` if none reaches [`MIN_SIMILARITY`].
pub(crate) fn closest<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let scored = known.map(|known| (strsim::normalized_damerau_levenshtein(word, known), known));
    let similar = scored.filter(|(similarity, _)| *similarity >= MIN_SIMILARITY);
    similar.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, known)| known)
}
