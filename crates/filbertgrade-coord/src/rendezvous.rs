//! Rendezvous hashing: all processes with the same list of nodes choose the
//! same owner for a key, without exchanging messages.
//!
//! Each node gets a score for the key, and the node with the highest score owns
//! it. When a node leaves, only the keys that it owned get another owner. The
//! hash function is 64-bit xxh3, whose results are the same on every machine
//! and in every build.

use std::cmp::Reverse;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the node that owns `key`, or `None` if there are no nodes.
pub fn owner<N: AsRef<str>>(key: &str, nodes: impl IntoIterator<Item = N>) -> Option<N> {
    let seed = xxh3_64(key.as_bytes());
    nodes
        .into_iter()
        .map(|node| (score(seed, node.as_ref()), node))
        .max_by(|(a, x), (b, y)| a.cmp(b).then_with(|| y.as_ref().cmp(x.as_ref())))
        .map(|(_, node)| node)
}

/// Returns the `count` nodes with the highest scores for `key`, highest first,
/// or all nodes if there are fewer.
///
/// The first one is the [`owner`]. Nodes with equal scores are ordered by name.
pub fn top<N: AsRef<str>>(key: &str, nodes: impl IntoIterator<Item = N>, count: usize) -> Vec<N> {
    let seed = xxh3_64(key.as_bytes());
    let mut scored: Vec<(u64, N)> = nodes
        .into_iter()
        .map(|node| (score(seed, node.as_ref()), node))
        .collect();
    scored.sort_by(|(a, x), (b, y)| {
        Reverse(a)
            .cmp(&Reverse(b))
            .then_with(|| x.as_ref().cmp(y.as_ref()))
    });
    scored
        .into_iter()
        .take(count)
        .map(|(_, node)| node)
        .collect()
}

/// Returns the score of `node` under `seed`.
///
/// For ownership, the seed is the hash of the key. With other seeds, the score
/// serves as a reproducible pseudo-random number.
pub(crate) fn score(seed: u64, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), seed)
}
