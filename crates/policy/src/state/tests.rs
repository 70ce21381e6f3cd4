use super::*;

/// Danger: a spoilt answer frees what still waits, and the queue behind it grows unseen.
#[test]
fn a_mark_that_was_not_written_to_a_proxy_confirms_nothing() {
    let mut channel = Channel::default();
    let lines = |of: &[u32]| {
        of.iter()
            .map(|id| (ProxyId(*id), 4.0))
            .collect::<BTreeMap<_, _>>()
    };
    channel.send(Micros(1), 1, lines(&[1, 2]));
    channel.send(Micros(2), 2, lines(&[2]));
    channel.confirmed(Micros(3), ProxyId(1), 2, Micros(1));
    channel.confirmed(Micros(3), ProxyId(2), 77, Micros(1));
    assert_eq!((channel.waiting(), channel.confirmed), (12.0, Micros(0)));
    channel.confirmed(Micros(4), ProxyId(2), 2, Micros(1));
    assert_eq!((channel.waiting(), channel.confirmed), (0.0, Micros(4)));
}
