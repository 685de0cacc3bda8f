//! Rendezvous hashing (Thaler and Ravishankar, 1998): every VM determines on its
//! own which of several candidates is responsible for a subject.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns the hash of a value as its rank; the highest rank goes first.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::hash_rank;
///
/// assert_eq!(hash_rank("request-1"), hash_rank("request-1".to_owned()));
/// ```
pub fn hash_rank(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Reports whether `own` is among the `count` highest-ranked candidates for a
/// subject.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::is_top_ranked;
///
/// let candidates = ["vm-1", "vm-2", "vm-3"];
/// let is_first = |own: &&&str| {
///     let others = candidates.iter().filter(|other| *other != *own);
///     is_top_ranked(*own, others, &"engine-1", 1)
/// };
/// assert_eq!(candidates.iter().filter(is_first).count(), 1);
/// ```
pub fn is_top_ranked<'a, C: Hash + 'a, S: Hash>(
    own: &C,
    others: impl Iterator<Item = &'a C>,
    subject: &S,
    count: usize,
) -> bool {
    let own_rank = hash_rank((own, subject));
    others
        .filter(|other| hash_rank((*other, subject)) > own_rank)
        .count()
        < count
}
