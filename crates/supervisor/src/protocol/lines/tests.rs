use proptest::prelude::*;

use super::*;

/// Everything that comes of bytes that arrive in these pieces.
fn read(pieces: Vec<Vec<u8>>, most: usize) -> (Vec<String>, Ending) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let (mut write, read) = tokio::io::duplex(16);
        let writer = async move {
            for piece in pieces {
                if write.write_all(&piece).await.is_err() {
                    break;
                }
            }
        };
        let reader = async {
            let mut lines = Lines::new(read, most);
            let mut seen = Vec::new();
            loop {
                match lines.next().await {
                    Ok(line) => seen.push(line),
                    Err(ending) => break (seen, ending),
                }
            }
        };
        tokio::join!(writer, reader).1
    })
}

#[test]
fn lines_end_in_either_way_and_have_a_limit() {
    let (lines, ending) = read(
        vec![b"one\r\ntwo\n\r\nthr".to_vec(), b"ee\r\n".to_vec()],
        100,
    );
    assert_eq!(
        (lines, ending),
        (
            vec!["one".into(), "two".into(), "".into(), "three".into()],
            Ending::Closed
        )
    );
    assert_eq!(
        read(vec![b"ok\nhalf a li".to_vec()], 100),
        (vec!["ok".into()], Ending::CutShort)
    );
    assert_eq!(read(vec![vec![b'x'; 101]], 100), (vec![], Ending::TooLong));
    assert_eq!(read(vec![vec![b'x'; 5000]], 100), (vec![], Ending::TooLong));
    assert_eq!(
        read(vec![b"ok\n\xff\xfe\n".to_vec()], 100),
        (vec!["ok".into()], Ending::Unreadable)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// However a text is cut into pieces on the way, the same lines come out.
    #[test]
    fn pieces_do_not_matter(lines in proptest::collection::vec("[a-z =]{0,40}", 1..8), cut in 1..9usize) {
        let text = lines.iter().map(|line| format!("{line}\r\n")).collect::<String>();
        let pieces = text.as_bytes().chunks(cut).map(<[u8]>::to_vec).collect();
        prop_assert_eq!(read(pieces, 100), (lines, Ending::Closed));
    }
}
