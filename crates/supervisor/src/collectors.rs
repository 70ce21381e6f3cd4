//! Collectors: reports on a zone's servers and on usage. Nothing is written to them but answers to `probe`.

use std::cell::Cell;
use std::convert::Infallible;
use std::time::Duration;

use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

use crate::ending::{End, Ending};
use crate::hub::Hub;
use crate::lines::{send, Lines};
use crate::wire::{self, Fault, Message, Run};

/// A collector that has brought nothing for so long is gone; one without news merely dials again.
const SILENT_MOST: Duration = Duration::from_secs(30);

/// The collectors that are connected.
pub struct Collectors {
    most: usize,
    connected: Cell<usize>,
}

impl Collectors {
    /// At most so many at a time.
    pub fn new(most: usize) -> Self {
        Collectors { most, connected: Cell::new(0) }
    }

    /// Serves a collector from its `agent` on.
    pub async fn serve(
        &self,
        hub: &Hub,
        mut lines: Lines<OwnedReadHalf>,
        mut write: OwnedWriteHalf,
    ) -> Result<Infallible, End> {
        if self.connected.get() >= self.most {
            return Err(Ending::Crowded.into());
        }
        self.connected.set(self.connected.get() + 1);
        let end = reports(hub, &mut lines, &mut write).await;
        self.connected.set(self.connected.get().saturating_sub(1));
        end
    }
}

async fn reports(
    hub: &Hub,
    lines: &mut Lines<OwnedReadHalf>,
    write: &mut OwnedWriteHalf,
) -> Result<Infallible, End> {
    let mut run = Run::default();
    loop {
        let message = timeout(SILENT_MOST, lines.message()).await;
        let fault = match message.unwrap_or(Err(Ending::Silent.into()))? {
            Message::Told(report) => {
                hub.report(report);
                None
            }
            Message::Probe => {
                send(write, wire::ALIVE).await?;
                None
            }
            Message::Other => None,
            Message::Spoilt(fault) => Some(fault),
            _ => Some(Fault::Stray("collector")),
        };
        hub.skip(&mut run, fault)?;
    }
}
