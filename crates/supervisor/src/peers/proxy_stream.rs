//! Proxies' streams, on which acknowledgements and demand reports are received and orders are sent.

mod liveness;

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use chutegrade_engine::{Micros, Report, StreamId};
use chutegrade_records::{pb, Kind};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

use crate::peers::connection::PeerConnection;
use crate::peers::malformed_counter::MalformedCounter;
use crate::protocol::decode::{Message, ProxyHello};
use crate::protocol::disconnect::{Disconnect, DisconnectReason};
use crate::protocol::encode::{encode_order, PROBE_REPLY};
use crate::protocol::line_reader::{send, LineReader};
use crate::protocol::malformed::MalformedMessage;
use crate::protocol::peer_kind::PeerKind;
use crate::shared::clock::{to_micros, Clock};
use crate::shared::engine_handle::EngineHandle;
use crate::shared::event_recorder::EventRecorder;
use crate::shared::stream_registry::{RegisteredStream, StreamRegistry, WriteSignal};

pub use liveness::stream_idle_timeout;
use liveness::StreamLiveness;

/// Dependencies and parameters of all streams.
pub struct ProxyStreamContext {
    /// Receives reports and provides orders.
    pub engine: EngineHandle,
    /// Numbers streams and wakes their writers.
    pub streams: Rc<StreamRegistry>,
    /// Records streams that join and leave.
    pub recorder: EventRecorder,
    /// Time source of timeouts and records.
    pub clock: Clock,
    /// Minimum time after which a stream is closed because an expected message is overdue.
    pub idle_timeout: Duration,
}

/// A stream that the engine has accepted.
struct ProxyStream<'a> {
    context: &'a ProxyStreamContext,
    id: StreamId,
    proxy: u32,
    zone: String,
    signal: Rc<WriteSignal>,
    opened_at: Micros,
    liveness: StreamLiveness,
}

/// Serves a stream after its `hello` message.
///
/// # Errors
///
/// Always; the error is the disconnect reason.
pub async fn serve(
    context: &ProxyStreamContext,
    mut connection: PeerConnection,
    hello: ProxyHello,
) -> Result<Infallible, Disconnect> {
    let stream = ProxyStream::join(context, hello)?;
    let Err(disconnect) = tokio::select! {
        end = stream.receive_reports(&mut connection.reader) => end,
        end = stream.send_orders(&mut connection.writer) => end,
        () = stream.signal.replaced() => Err(DisconnectReason::Replaced.into()),
    };
    stream.leave(&disconnect);
    Err(disconnect)
}

impl<'a> ProxyStream<'a> {
    /// Registers a stream, which replaces an older one of the same proxy.
    fn join(context: &'a ProxyStreamContext, hello: ProxyHello) -> Result<Self, Disconnect> {
        let RegisteredStream { id, signal } = context.streams.open();
        let older = context.engine.borrow_mut().stream_of(hello.proxy);
        let opened_at = context.clock.now();
        let opened = Report::StreamOpened {
            stream: id,
            proxy: hello.proxy,
            zone: hello.zone.clone(),
            request_rate: hello.request_rate,
            has_no_table: hello.has_no_table,
        };
        if let Err(rejected) = context.engine.try_report(opened) {
            context.streams.close(id);
            return Err(DisconnectReason::UnknownPeer.with_detail(rejected));
        }
        if let Some(older) = older {
            context.streams.notify_replaced(older);
        }
        context
            .recorder
            .record(Kind::StreamJoined(pb::StreamJoined {
                proxy: hello.proxy,
                zone: hello.zone.clone(),
                rate: hello.request_rate,
                new: hello.has_no_table,
            }));
        Ok(ProxyStream {
            context,
            id,
            proxy: hello.proxy,
            zone: hello.zone,
            signal,
            opened_at,
            liveness: StreamLiveness::new(context.clock.now(), context.idle_timeout),
        })
    }

    /// Removes the stream from the registry, and records and reports its end.
    fn leave(self, disconnect: &Disconnect) {
        let context = self.context;
        context.streams.close(self.id);
        let ended = if disconnect.reason.closed_locally() {
            Report::StreamClosed(self.id)
        } else {
            Report::StreamLost(self.id)
        };
        self.record_end(disconnect.reason);
        // The engine has already dropped a replaced stream, and rejects the report of its end.
        let _ = context.engine.try_report(ended);
    }

    /// Records the end of the stream; an idle timeout is dated back by its minimum, to about when the stream became idle.
    fn record_end(self, reason: DisconnectReason) {
        let observed_at = self.context.clock.now();
        let ended_at = if reason == DisconnectReason::IdleTimeout {
            observed_at - to_micros(self.context.idle_timeout)
        } else {
            observed_at
        };
        let lasted_ms = u64::try_from((ended_at - self.opened_at).0 / 1000).unwrap_or_default();
        let left = Kind::StreamLeft(pb::StreamLeft {
            proxy: self.proxy,
            zone: self.zone,
            reason: reason.code().to_string(),
            lasted_ms,
        });
        self.context.recorder.record_at(ended_at, observed_at, left);
    }

    /// Receives and handles messages of the proxy, without waiting for writes to it.
    async fn receive_reports(
        &self,
        reader: &mut LineReader<OwnedReadHalf>,
    ) -> Result<Infallible, Disconnect> {
        let mut malformed = MalformedCounter::new(self.context.engine.clone());
        loop {
            let wait = self.liveness.until_next_check(self.context.clock.now());
            let received = timeout(wait, reader.next_message()).await;
            let now = self.context.clock.now();
            let Ok(received) = received else {
                self.check_liveness(now)?;
                continue;
            };
            let message = received?;
            self.liveness.record_message(now);
            if message.is_acknowledgement() {
                self.liveness.record_answer(now);
            } else {
                // Other messages do not reset the timeout: a proxy that reports but applies no order would keep old tables.
                self.check_liveness(now)?;
            }
            let handled = self.handle_message(message);
            malformed.record_result(handled)?;
        }
    }

    /// Closes a stream on which a message is overdue, and requests a check of one on which it is late.
    fn check_liveness(&self, now: Micros) -> Result<(), Disconnect> {
        let queue_delay = || self.context.engine.borrow_mut().fleet_status().queue_delay;
        if self.liveness.is_silent(now) {
            return Err(DisconnectReason::IdleTimeout.with_detail("no demand reports"));
        }
        if self.liveness.is_acknowledgement_overdue(now, queue_delay) {
            return Err(DisconnectReason::IdleTimeout.with_detail("no acknowledgement"));
        }
        if self.liveness.is_check_due(now, queue_delay) {
            self.liveness.record_check(now);
            self.context
                .engine
                .report(Report::LivenessCheckDue(self.id));
        }
        Ok(())
    }

    fn handle_message(&self, message: Message) -> Result<(), MalformedMessage> {
        match message {
            Message::Acknowledgement {
                proxy,
                sequence,
                elapsed,
            } if proxy == self.proxy => {
                self.liveness.record_acknowledgement(sequence);
                self.context.engine.report(Report::Acknowledged {
                    stream: self.id,
                    sequence,
                    elapsed,
                });
                Ok(())
            }
            Message::Report(report) if self.is_own_demand(&report) => {
                self.liveness.record_demand(self.context.clock.now());
                self.context.engine.report(report);
                Ok(())
            }
            Message::Probe => {
                self.signal.request_probe_reply();
                Ok(())
            }
            Message::Unknown => Ok(()),
            Message::Malformed(error) => Err(error),
            Message::Acknowledgement { .. }
            | Message::Report(_)
            | Message::CollectorHello { .. }
            | Message::ProxyHello(_) => Err(MalformedMessage::Unexpected(PeerKind::Proxy)),
        }
    }

    fn is_own_demand(&self, report: &Report) -> bool {
        matches!(report, Report::ProxyDemand { proxy, .. } if *proxy == self.proxy)
    }

    /// Writes orders, one message at a time; orders that become pending during a write are merged into the next message.
    async fn send_orders(&self, writer: &mut OwnedWriteHalf) -> Result<Infallible, Disconnect> {
        loop {
            self.signal.write_pending().await;
            if self.signal.take_probe() {
                send(writer, PROBE_REPLY).await?;
            }
            self.send_pending_orders(writer).await?;
        }
    }

    async fn send_pending_orders(&self, writer: &mut OwnedWriteHalf) -> Result<(), Disconnect> {
        loop {
            let order = self.context.engine.borrow_mut().take_order(self.id);
            let Some(order) = order else { return Ok(()) };
            if let Some(sequence) = order.acknowledge {
                self.liveness
                    .record_order(sequence, self.context.clock.now());
            }
            send(writer, encode_order(&order).as_bytes()).await?;
        }
    }
}
