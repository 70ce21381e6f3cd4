//! Proxies' streams: marks and usage in, orders out.

use std::cell::Cell;
use std::convert::Infallible;
use std::time::Duration;

use chutegrade_engine::{Micros, Report, StreamId};
use chutegrade_records::{pb, Kind};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

use crate::protocol::disconnect::{End, Ending};
use crate::protocol::lines::{send, Lines};
use crate::protocol::messages::{self, Fault, Hello, Message, Run};
use crate::server::hub::{micros, Bell, Hub};

/// Report periods after which a quiet stream is taken for gone: live ones, of proxies that stood still for 2 s too,
/// were never quiet for over 1.7 periods, and ending one that lives takes its proxy off its newest tables. Where few requests
/// come to each proxy they are quiet for longer: then so many times the longest pause on the stream.
const SILENT_PERIODS: u32 = 10;
/// The least such time, where reports are gathered more often.
const SILENT_LEAST: Duration = Duration::from_secs(5);

/// What tells that a stream should bring something.
#[derive(Default)]
struct Expected {
    /// When it last brought usage, and the longest time that it had none before.
    usage: Cell<Option<(Micros, Micros)>>,
    /// The newest mark that was written and is not answered, and since when one is awaited.
    answer: Cell<Option<(u16, Micros)>>,
}

impl Expected {
    /// Usage has come, on a stream that began then.
    fn used(&self, now: Micros, begun: Micros) {
        let (last, longest) = self.usage.get().unwrap_or((begun, Micros(0)));
        self.usage.set(Some((now, longest.max(now - last))));
    }

    /// Whether usage should have come by now. Danger: a proxy to which few requests come has none in most periods, and would
    /// lose its stream for it.
    fn usage_is_late(&self, now: Micros, silence: Duration) -> bool {
        let due =
            |longest: Micros| micros(silence).max(Micros(longest.0 * i64::from(SILENT_PERIODS)));
        self.usage
            .get()
            .is_some_and(|(last, longest)| now - last >= due(longest))
    }

    /// A mark has been written.
    fn wrote(&self, mark: u16, now: Micros) {
        let since = self.answer.get().map_or(now, |(_, since)| since);
        self.answer.set(Some((mark, since)));
    }

    /// A mark is answered. Danger: the answer to an older one says nothing of a newer one, which is awaited from here on.
    fn answered(&self, mark: u16, now: Micros) {
        self.answer.set(
            self.answer
                .get()
                .filter(|(newest, _)| *newest != mark)
                .map(|(newest, _)| (newest, now)),
        );
    }

    /// Whether a mark should have been answered by now: it reaches the proxy after all that waits in the channel. Danger: one
    /// with little to do, whose table waits behind those of many others, would lose its stream before it had any.
    fn answer_is_late(&self, hub: &Hub, silence: Duration) -> bool {
        let waited = self.answer.get().map(|(_, since)| hub.clock.now() - since);
        let waited = waited.filter(|waited| *waited >= micros(silence));
        waited.is_some_and(|waited| {
            waited >= micros(silence) + hub.engine().fleet_status().queue_delay
        })
    }
}

/// How long a proxy that is due to say something may be quiet.
pub fn silence(report_period: Duration) -> Duration {
    (report_period * SILENT_PERIODS).max(SILENT_LEAST)
}

/// Serves a stream from its `hello` on.
pub async fn serve(
    hub: &Hub,
    mut lines: Lines<OwnedReadHalf>,
    mut write: OwnedWriteHalf,
    Hello { id, site, rps, new }: Hello,
    silence: Duration,
) -> Result<Infallible, End> {
    let (stream, bell) = hub.open_stream();
    let older = hub.engine().stream_of(id);
    let begun = hub.clock.now();
    let zone = site.clone();
    let joined = Report::StreamOpened {
        stream,
        proxy: id,
        zone: site,
        request_rate: rps,
        has_no_table: new,
    };
    if let Err(unknown) = hub.try_report(joined) {
        hub.close_stream(stream);
        return Err(Ending::Unknown.because(unknown));
    }
    if let Some(older) = older {
        hub.replace(older);
    }
    hub.note(Kind::StreamJoined(pb::StreamJoined {
        proxy: id,
        zone: zone.clone(),
        rate: rps,
        new,
    }));
    let expected = Expected::default();
    let end = tokio::select! {
        end = reports(hub, &mut lines, (stream, id), &bell, &expected, silence) => end,
        end = orders(hub, &mut write, stream, &bell, &expected) => end,
        () = bell.replaced() => Err(Ending::Replaced.into()),
    };
    hub.close_stream(stream);
    note_end(hub, (id, zone), begun, &end, silence);
    // A stream whose place a newer one has taken has left already: its late end changes nothing.
    let ours = matches!(&end, Err(end) if end.reason.is_ours());
    let _ = hub.try_report(if ours {
        Report::StreamClosed(stream)
    } else {
        Report::StreamLost(stream)
    });
    end
}

/// Notes the end of a stream; one that fell silent did so when it was last heard.
fn note_end(
    hub: &Hub,
    (proxy, zone): (u32, String),
    begun: Micros,
    end: &Result<Infallible, End>,
    silence: Duration,
) {
    let Err(end) = end else { return };
    let learned = hub.clock.now();
    let at = if end.reason == Ending::Silent {
        learned - micros(silence)
    } else {
        learned
    };
    let lasted_ms = u64::try_from((at - begun).0 / 1000).unwrap_or_default();
    let left = pb::StreamLeft {
        proxy,
        zone,
        reason: end.reason.code().to_string(),
        lasted_ms,
    };
    hub.note_at(at, learned, Kind::StreamLeft(left));
}

/// Takes in what the proxy says; never waits for what is written to it.
async fn reports(
    hub: &Hub,
    lines: &mut Lines<OwnedReadHalf>,
    (stream, id): (StreamId, u32),
    bell: &Bell,
    expected: &Expected,
    silence: Duration,
) -> Result<Infallible, End> {
    let (mut run, begun) = (Run::default(), hub.clock.now());
    loop {
        let message = timeout(silence, lines.message()).await;
        if message.is_err() && expected.usage_is_late(hub.clock.now(), silence) {
            return Err(Ending::Silent.because("no usage"));
        }
        // Whatever else it says. Danger: one that goes on with usage but takes no order keeps its old tables for good.
        if !matches!(message, Ok(Ok(Message::Ack { .. }))) && expected.answer_is_late(hub, silence)
        {
            return Err(Ending::Silent.because("no answer to a mark"));
        }
        let Ok(message) = message else { continue };
        let fault = match message? {
            Message::Ack { id: by, seq, ms } if by == id => {
                expected.answered(seq, hub.clock.now());
                hub.report(Report::Acknowledged {
                    stream,
                    sequence: seq,
                    elapsed: ms,
                });
                None
            }
            Message::Told(report) if matches!(report, Report::ProxyDemand { proxy, .. } if proxy == id) =>
            {
                expected.used(hub.clock.now(), begun);
                hub.report(report);
                None
            }
            Message::Other => None,
            Message::Probe => {
                bell.ask();
                None
            }
            Message::Spoilt(fault) => Some(fault),
            _ => Some(Fault::Stray("stream")),
        };
        hub.skip(&mut run, fault)?;
    }
}

/// Writes what is ordered, a message at a time; what is ordered meanwhile becomes one later message.
async fn orders(
    hub: &Hub,
    write: &mut OwnedWriteHalf,
    stream: StreamId,
    bell: &Bell,
    expected: &Expected,
) -> Result<Infallible, End> {
    loop {
        if bell.rung().await {
            send(write, messages::ALIVE).await?;
        }
        loop {
            let order = hub.engine().take_order(stream);
            let Some(order) = order else { break };
            let text = messages::order(&order);
            order
                .acknowledge
                .into_iter()
                .for_each(|mark| expected.wrote(mark, hub.clock.now()));
            send(write, text.as_bytes()).await?;
        }
    }
}
