use super::*;

/// Otherwise a corrupt acknowledgement would count queued lines as sent, and the queue would grow unnoticed.
#[test]
fn an_acknowledgement_with_a_sequence_number_not_written_to_the_proxy_is_ignored() {
    let mut channel = Channel::default();
    let lines = |proxies: &[u32]| {
        proxies
            .iter()
            .map(|id| (ProxyId(*id), 4.0))
            .collect::<BTreeMap<_, _>>()
    };
    channel.record_round(Micros(1), 1, lines(&[1, 2]));
    channel.record_round(Micros(2), 2, lines(&[2]));
    channel.acknowledge(Micros(3), ProxyId(1), 2, Micros(1));
    channel.acknowledge(Micros(3), ProxyId(2), 77, Micros(1));
    assert_eq!(
        (channel.queued_lines(), channel.last_acknowledged_at),
        (12.0, Micros(0))
    );
    channel.acknowledge(Micros(4), ProxyId(2), 2, Micros(1));
    assert_eq!(
        (channel.queued_lines(), channel.last_acknowledged_at),
        (0.0, Micros(4))
    );
}
