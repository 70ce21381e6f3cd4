//! Encoding of the decision module's actions.

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use chutegrade_policy::{Action, ClassSet, DecisionEvent, Micros, Retry, ServerId, TableId};

use super::error::CodecError;
use super::vocabulary::{ALL_PROXIES_TABLE, EMPTY_PAYLOAD, US_PER_MS};

/// Encodes an action as a line, without a line break.
///
/// # Errors
///
/// The wire protocol has no line for the action, or a number in the action is negative or not finite.
pub fn encode_action(action: &Action) -> Result<String, CodecError> {
    match action {
        Action::SetWeight {
            table,
            server,
            weight,
        } => set_weight(*table, *server, *weight),
        Action::ClearTable(table) => Ok(format!("wipe\tmapId={}", table.0)),
        Action::AssignTable {
            proxy,
            table,
            classes,
        } => Ok(format!(
            "point\tclientLb={}\tmapId={}\tclassBits={}",
            proxy.0, table.0, classes.0
        )),
        Action::SetSuspended { server, suspended } => {
            let active = u8::from(*suspended);
            Ok(format!("suspend\tserver={}\tactive={active}", server.0))
        }
        Action::SetAdmission {
            table,
            classes,
            level,
            retry,
        } => set_admission(*table, *classes, *level, *retry),
        Action::RequestAcknowledgement {
            sequence,
            all_proxies,
        } => {
            let active = u8::from(*all_proxies);
            Ok(format!("ask_receipt\tgen={sequence}\tactive={active}"))
        }
        Action::HealthCheck(server) => Ok(format!("ping\tserver={}", server.0)),
        Action::SubscribeEndpoints(watch) => Ok(format!("subscribe\tactive={}", u8::from(*watch))),
        Action::FetchEndpoints => Ok("list_all".to_string()),
        Action::SetTimer { id, delay } => Ok(set_timer(*id, *delay)),
        Action::SendToPeer { peer, data } => Ok(send_to_peer(*peer, data)),
        Action::DropServerState(_) | Action::Reconcile(_) | Action::CheckLiveness(_) => Err(
            CodecError::UnencodableAction(format!("the protocol has no line for {action:?}")),
        ),
        Action::Emit(event) => Ok(emit(event)),
    }
}

fn set_weight(table: TableId, server: ServerId, weight: f64) -> Result<String, CodecError> {
    let weight = non_negative(weight)?;
    Ok(format!(
        "endpoint\tmapId={}\tserver={}\tweight={weight}",
        table.0, server.0
    ))
}

fn set_admission(
    table: Option<TableId>,
    classes: ClassSet,
    level: f64,
    retry: Retry,
) -> Result<String, CodecError> {
    let level = non_negative(level)?;
    let table = table.map_or(ALL_PROXIES_TABLE, |table| table.0);
    let retry = retry as u8;
    Ok(format!(
        "allow\tallowance={level}\tclassBits={}\tmapId={table}\tsecondTry={retry}",
        classes.0
    ))
}

fn set_timer(id: u32, delay: Micros) -> String {
    let delay_ms = delay.0.max(0) as f64 / US_PER_MS;
    format!("arm\thandle={id}\tfromNowMs={delay_ms}")
}

fn send_to_peer(peer: Option<u32>, data: &[u8]) -> String {
    let recipient = peer.map_or("all".to_string(), |peer| peer.to_string());
    let contents = if data.is_empty() {
        EMPTY_PAYLOAD.to_string()
    } else {
        STANDARD.encode(data)
    };
    format!("notify\trecipient={recipient}\tcontents={contents}")
}

fn emit(event: &DecisionEvent) -> String {
    let record = chutegrade_engine::decision_record(
        event,
        |server| server.0.to_string(),
        |zone| zone.0.to_string(),
    );
    let text = chutegrade_records::text::line(&record);
    format!("write_log\twhat={text}")
}

fn non_negative(value: f64) -> Result<f64, CodecError> {
    if value.is_finite() && value >= 0.0 {
        Ok(value)
    } else {
        Err(CodecError::UnencodableAction(value.to_string()))
    }
}
