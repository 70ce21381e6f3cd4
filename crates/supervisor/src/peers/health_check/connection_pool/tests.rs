use chutegrade_engine::HealthCheckOutcome;

use super::*;
use crate::peers::health_check::tests::checker;

/// The addresses of removed servers must not accumulate as servers are replaced over months.
#[test]
fn servers_that_are_not_checked_any_more_are_removed() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let checker = checker();
        let gone = |port: u16| {
            (
                SocketAddr::from(([127, 0, 0, 1], port)),
                Instant::now() - 2 * UNREACHABLE_RETENTION,
            )
        };
        let unreachable = &checker.pool.unreachable;
        unreachable.borrow_mut().extend((1..=20).map(gone));
        assert_eq!(
            checker.outcome_at("127.0.0.1:21").await.0,
            HealthCheckOutcome::Unreachable
        );
        assert_eq!(
            unreachable
                .borrow()
                .keys()
                .map(SocketAddr::port)
                .collect::<Vec<_>>(),
            [21]
        );
    });
}
