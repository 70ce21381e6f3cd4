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
fn content_that_is_too_long_is_rejected() {
    let mut out = Vec::new();
    assert!(!put(&mut out, &vec![0; MAX_CONTENT_BYTES + 1]));
    assert!(out.is_empty());
}

/// A file of frame headers without valid frames must not block a report for hours.
#[test]
fn the_search_in_a_file_of_only_magic_numbers_ends() {
    let mut bytes = Vec::new();
    for _ in 0..200_000 {
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&(MAX_CONTENT_BYTES as u32 / 2).to_le_bytes());
    }
    let started_at = std::time::Instant::now();
    assert_eq!(Pieces::new(&bytes, 0).count(), 1);
    assert!(started_at.elapsed().as_secs() < 20);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A file that is truncated at any byte yields exactly the frames before the cut; the rest counts as torn.
    #[test]
    fn a_truncated_file_keeps_all_frames_before_the_cut(
        contents in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..40), 1..12),
        cut in any::<prop::sample::Index>(),
    ) {
        let (bytes, ends) = framed(&contents);
        let cut = cut.index(bytes.len() + 1);
        let complete = ends.iter().filter(|end| **end <= cut).count();
        prop_assert_eq!(whole(&bytes[..cut]), contents[..complete].to_vec());
        let torn: usize = Pieces::new(&bytes[..cut], 0)
            .map(|piece| if let Piece::Torn { bytes, .. } = piece { bytes } else { 0 })
            .sum();
        prop_assert_eq!(torn, cut - complete.checked_sub(1).map_or(0, |last| ends[last]));
    }

    /// A flipped bit loses only the frame that contains it.
    #[test]
    fn a_flipped_bit_loses_one_frame(
        contents in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..40), 1..12),
        position in any::<prop::sample::Index>(),
        bit in 0..8u8,
    ) {
        let (mut bytes, ends) = framed(&contents);
        let position = position.index(bytes.len());
        bytes[position] ^= 1 << bit;
        let damaged = ends.iter().filter(|end| **end <= position).count();
        let mut remaining = contents.clone();
        remaining.remove(damaged);
        prop_assert_eq!(whole(&bytes), remaining);
        let covered_bytes: usize = Pieces::new(&bytes, 0).map(|piece| match piece {
            Piece::Whole { content, .. } => HEADER_BYTES + content.len(),
            Piece::Damaged { bytes, .. } | Piece::Torn { bytes, .. } => bytes,
        }).sum();
        prop_assert_eq!(covered_bytes, bytes.len(), "every byte is in one piece");
    }

    /// The pieces of arbitrary bytes cover each byte once, in order.
    #[test]
    fn arbitrary_bytes_are_read_without_gaps(bytes in proptest::collection::vec(any::<u8>(), 0..400), from in 0..3usize) {
        let mut next = from.min(bytes.len());
        for piece in Pieces::new(&bytes, from) {
            let (at, length) = match piece {
                Piece::Whole { at, content } => (at, HEADER_BYTES + content.len()),
                Piece::Damaged { at, bytes } | Piece::Torn { at, bytes } => (at, bytes),
            };
            prop_assert_eq!(at, next);
            next = at + length;
        }
        prop_assert!(next == bytes.len() || from >= bytes.len());
    }
}
