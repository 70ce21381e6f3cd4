use proptest::prelude::*;

use super::*;

fn framed(contents: &[Vec<u8>]) -> (Vec<u8>, Vec<usize>) {
    let (mut bytes, mut ends) = (Vec::new(), Vec::new());
    for content in contents {
        assert!(put(&mut bytes, content));
        ends.push(bytes.len());
    }
    (bytes, ends)
}

fn whole(bytes: &[u8]) -> Vec<Vec<u8>> {
    let pieces = Pieces::new(bytes, 0);
    let content = |piece| {
        if let Piece::Whole { content, .. } = piece {
            Some(content.to_vec())
        } else {
            None
        }
    };
    pieces.filter_map(content).collect()
}

#[test]
fn a_content_that_is_too_long_is_not_taken() {
    let mut out = Vec::new();
    assert!(!put(&mut out, &vec![0; CONTENT_MOST + 1]));
    assert!(out.is_empty());
}

/// Danger: a file made to be slow keeps a report from ever opening.
#[test]
fn a_file_of_marks_alone_is_given_up_in_time() {
    let mut bytes = Vec::new();
    for _ in 0..200_000 {
        bytes.extend_from_slice(&MARK);
        bytes.extend_from_slice(&(CONTENT_MOST as u32 / 2).to_le_bytes());
    }
    let begun = std::time::Instant::now();
    assert_eq!(Pieces::new(&bytes, 0).count(), 1);
    assert!(begun.elapsed().as_secs() < 20);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Cut at any byte: all frames before the cut, none invented, and the tail is said to be torn.
    #[test]
    fn a_cut_keeps_all_before_it(
        contents in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..40), 1..12),
        cut in any::<prop::sample::Index>(),
    ) {
        let (bytes, ends) = framed(&contents);
        let cut = cut.index(bytes.len() + 1);
        let kept = ends.iter().filter(|end| **end <= cut).count();
        prop_assert_eq!(whole(&bytes[..cut]), contents[..kept].to_vec());
        let torn: usize = Pieces::new(&bytes[..cut], 0)
            .map(|piece| if let Piece::Torn { bytes, .. } = piece { bytes } else { 0 })
            .sum();
        prop_assert_eq!(torn, cut - kept.checked_sub(1).map_or(0, |last| ends[last]));
    }

    /// A flipped bit costs the frame it hits, and no other.
    #[test]
    fn a_flipped_bit_costs_one_frame(
        contents in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..40), 1..12),
        place in any::<prop::sample::Index>(),
        bit in 0..8u8,
    ) {
        let (mut bytes, ends) = framed(&contents);
        let place = place.index(bytes.len());
        bytes[place] ^= 1 << bit;
        let hit = ends.iter().filter(|end| **end <= place).count();
        let mut left = contents.clone();
        left.remove(hit);
        prop_assert_eq!(whole(&bytes), left);
        let all: usize = Pieces::new(&bytes, 0).map(|piece| match piece {
            Piece::Whole { content, .. } => HEAD + content.len(),
            Piece::Damaged { bytes, .. } | Piece::Torn { bytes, .. } => bytes,
        }).sum();
        prop_assert_eq!(all, bytes.len(), "every byte is in one piece");
    }

    /// Whatever the bytes are: pieces cover them once, in order.
    #[test]
    fn any_bytes_are_read(bytes in proptest::collection::vec(any::<u8>(), 0..400), from in 0..3usize) {
        let mut next = from.min(bytes.len());
        for piece in Pieces::new(&bytes, from) {
            let (at, length) = match piece {
                Piece::Whole { at, content } => (at, HEAD + content.len()),
                Piece::Damaged { at, bytes } | Piece::Torn { at, bytes } => (at, bytes),
            };
            prop_assert_eq!(at, next);
            next = at + length;
        }
        prop_assert!(next == bytes.len() || from >= bytes.len());
    }
}
