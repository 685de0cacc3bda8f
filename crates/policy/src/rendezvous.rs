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

/// Returns the rank of a candidate with a weight; the highest rank goes first.
///
/// A candidate goes first for a share of the subjects in proportion to its weight
/// (weighted rendezvous hashing, Schindelhauer and Schomaker, 2005).
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::weighted_rank;
///
/// let is_first = |subject: &u32| weighted_rank(("a", subject), 9) > weighted_rank(("b", subject), 1);
/// let share = (0..1_000).filter(is_first).count();
/// assert!((850..950).contains(&share), "{share}");
/// ```
pub fn weighted_rank(value: impl Hash, weight: u64) -> u64 {
    const MANTISSA_BITS: u32 = 53;
    let hash = hash_rank(value) >> (u64::BITS - MANTISSA_BITS);
    // Strictly between 0 and 1, so that the logarithm is finite and negative.
    let uniform = (hash as f64 + 0.5) / (1_u64 << MANTISSA_BITS) as f64;
    let score = weight.max(1) as f64 / -uniform.ln();
    // The bits of positive floating-point numbers have the order of the numbers.
    score.to_bits()
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
    index_in_ranking(own, others, subject) < count
}

/// Returns how many of the other candidates are ranked above this one for a subject.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::index_in_ranking;
///
/// let candidates = ["vm-1", "vm-2", "vm-3"];
/// let index = |own: &&str| {
///     let others = candidates.iter().filter(|other| *other != own);
///     index_in_ranking(own, others, &"engine-1")
/// };
/// let mut indexes: Vec<usize> = candidates.iter().map(index).collect();
/// indexes.sort();
/// assert_eq!(indexes, [0, 1, 2]);
/// ```
pub fn index_in_ranking<'a, C: Hash + 'a, S: Hash>(
    own: &C,
    others: impl Iterator<Item = &'a C>,
    subject: &S,
) -> usize {
    let own_rank = hash_rank((own, subject));
    others
        .filter(|other| hash_rank((*other, subject)) > own_rank)
        .count()
}
