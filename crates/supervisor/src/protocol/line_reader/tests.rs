use proptest::prelude::*;

use super::*;

/// Returns all lines of a byte stream that arrives in these pieces, and why it ended.
fn read(pieces: Vec<Vec<u8>>, max_line_bytes: usize) -> (Vec<String>, DisconnectReason) {
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
            let mut reader = LineReader::new(read, max_line_bytes);
            let mut lines = Vec::new();
            loop {
                match reader.next_line().await {
                    Ok(line) => lines.push(line),
                    Err(reason) => break (lines, reason),
                }
            }
        };
        tokio::join!(writer, reader).1
    })
}

#[test]
fn lines_end_in_crlf_or_lf_and_have_a_limit() {
    let (lines, reason) = read(
        vec![b"one\r\ntwo\n\r\nthr".to_vec(), b"ee\r\n".to_vec()],
        100,
    );
    assert_eq!(
        (lines, reason),
        (
            vec!["one".into(), "two".into(), "".into(), "three".into()],
            DisconnectReason::Closed
        )
    );
    assert_eq!(
        read(vec![b"ok\nhalf a li".to_vec()], 100),
        (vec!["ok".into()], DisconnectReason::Truncated)
    );
    assert_eq!(
        read(vec![vec![b'x'; 101]], 100),
        (vec![], DisconnectReason::TooLong)
    );
    assert_eq!(
        read(vec![vec![b'x'; 5000]], 100),
        (vec![], DisconnectReason::TooLong)
    );
    assert_eq!(
        read(vec![b"ok\n\xff\xfe\n".to_vec()], 100),
        (vec!["ok".into()], DisconnectReason::Malformed)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn lines_do_not_depend_on_how_their_bytes_are_split(lines in proptest::collection::vec("[a-z =]{0,40}", 1..8), cut in 1..9usize) {
        let text = lines.iter().map(|line| format!("{line}\r\n")).collect::<String>();
        let pieces = text.as_bytes().chunks(cut).map(<[u8]>::to_vec).collect();
        prop_assert_eq!(read(pieces, 100), (lines, DisconnectReason::Closed));
    }
}
