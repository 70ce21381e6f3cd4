//! Collectors: reports on a zone's servers and on usage. Nothing is written to them but answers to `probe`.

use std::cell::RefCell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

use crate::peers::listener::Places;
use crate::protocol::disconnect::{End, Ending};
use crate::protocol::lines::{send, Lines};
use crate::protocol::messages::{self, Fault, Message, Run};
use crate::server::hub::Hub;

/// A collector that has brought nothing for so long is gone; one without news merely dials again.
const SILENT_MOST: Duration = Duration::from_secs(30);

/// Collectors of a zone at a time: one serves it, the others fell silent and dial again.
pub const PER_ZONE: usize = 4;

/// The collectors that are connected, by zone. When a zone has too many the oldest goes, which is the likeliest to have
/// fallen silent.
#[derive(Default)]
pub struct Collectors {
    zones: RefCell<HashMap<String, Rc<Places>>>,
}

impl Collectors {
    /// Serves a collector of a known zone from its `agent` on.
    pub async fn serve(
        &self,
        hub: &Hub,
        mut lines: Lines<OwnedReadHalf>,
        mut write: OwnedWriteHalf,
        site: String,
    ) -> Result<Infallible, End> {
        let places = self
            .zones
            .borrow_mut()
            .entry(site)
            .or_insert_with(|| Rc::new(Places::new(PER_ZONE)))
            .clone();
        let place = places.take();
        tokio::select! {
            end = reports(hub, &mut lines, &mut write) => end,
            () = place.needed() => Err(Ending::Crowded.into()),
        }
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
                send(write, messages::ALIVE).await?;
                None
            }
            Message::Other => None,
            Message::Spoilt(fault) => Some(fault),
            _ => Some(Fault::Stray("collector")),
        };
        hub.skip(&mut run, fault)?;
    }
}
