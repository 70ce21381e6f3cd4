//! Liveness checks: messages without any other change, which the proxies of possibly dead streams have to acknowledge.

use crate::interface::{Action, ProxyId};

use super::orders::{Orders, ORDINARY_BUDGET};
use super::proxies::Proxies;

/// Number of lines of a check in addition to the header, which includes the acknowledgement request.
const CHECK_LINES: f64 = 0.0;

/// Gives each proxy that is due for a check a message, unless the round has one for it. A check that does not fit the
/// channel's budget waits for a later round.
pub(super) fn send_liveness_checks(proxies: &mut Proxies, orders: &mut Orders) {
    let due: Vec<ProxyId> = proxies
        .iter()
        .filter(|(_, proxy)| proxy.is_check_due)
        .map(|(id, _)| *id)
        .collect();
    for id in due {
        if !orders.reaches_all(&[id]) {
            if !orders.fits(proxies, &[id], CHECK_LINES, &ORDINARY_BUDGET) {
                continue;
            }
            orders.push_to(&[id], CHECK_LINES, Action::CheckLiveness(id));
        }
        if let Some(proxy) = proxies.get_mut(id) {
            proxy.is_check_due = false;
        }
    }
}
