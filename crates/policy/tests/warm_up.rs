//! Warming servers: their weights, and when they are withheld from tables.

mod common;
use chutegrade_policy::*;
use common::*;

#[test]
fn a_restarted_server_gets_far_less_weight_than_would_overload_it() {
    let mut fleet = Fleet::new(settings(), 8, 4);
    fleet.run(5, &healthy(8, &[]));
    let started = fleet.now;
    fleet.send(&[Event::EndpointList(
        EndpointUpdateKind::Delta,
        vec![Endpoint {
            started_at: Some(started),
            ..endpoint(3)
        }],
    )]);
    for _ in 0..16 {
        let total: f64 = (0..8).map(|id| fleet.weight(id)).sum();
        let age = (fleet.now - started).secs();
        let warm_up_share = 0.2 + 0.8 * (age + 1.0) / 16.0;
        // The capacity of the complete fleet as demand; the overload multiple is 3.
        let load = fleet.weight(3) / total * 8.0;
        assert!(
            load <= 0.6 * 3.0 * warm_up_share,
            "age {age}: load {load} warm-up share {warm_up_share}"
        );
        fleet.run(1, &healthy(8, &[]));
    }
    fleet.run(8, &healthy(8, &[]));
    assert!(fleet.weight(3) >= 3.6, "weight {}", fleet.weight(3));
}

/// Proxies that eject all failing servers would send all requests to a warming server, even at a small weight.
#[test]
fn a_warming_server_is_withheld_while_most_attempts_fail_and_proxies_eject_servers() {
    let mut ejecting = settings();
    ejecting.proxy_ejection_threshold = 3;
    let mut fleet = Fleet::new(ejecting, 8, 4);
    fleet.run(3, &healthy(8, &[3]));
    let failing: Vec<Event> = (0..8)
        .filter(|id| *id != 3)
        .map(|id| server_outcomes(id, 8.0, 7.0, 900.0))
        .collect();
    fleet.run(6, &failing);
    let started = Some(fleet.now);
    fleet.send(&[Event::EndpointList(
        EndpointUpdateKind::Delta,
        vec![Endpoint {
            started_at: started,
            ..endpoint(3)
        }],
    )]);
    fleet.run(4, &failing);
    assert_eq!(fleet.weight(3), 0.0);
    assert!((0..8).any(|id| fleet.weight(id) > 0.0));
    fleet.run(8, &healthy(8, &[]));
    assert!(
        fleet.weight(3) > 0.0,
        "it is admitted once attempts succeed"
    );
}

/// All proxies together would overload servers that have just started if no others are left.
#[test]
fn warming_servers_alone_get_no_weight_until_they_can_serve_the_complete_demand() {
    let mut fleet = Fleet::new(settings(), 8, 4);
    fleet.run(3, &healthy(8, &[]));
    let started = Some(fleet.now);
    let removed = (3..8).map(|id| Endpoint {
        lifecycle: Lifecycle::Removed,
        ..endpoint(id)
    });
    let warming = (0..3).map(|id| Endpoint {
        started_at: started,
        ..endpoint(id)
    });
    fleet.send(&[Event::EndpointList(
        EndpointUpdateKind::Delta,
        removed.chain(warming).collect(),
    )]);
    for second in 0..15 {
        let weights: f64 = (0..8).map(|id| fleet.weight(id)).sum();
        let capacity = 3.0 * 3.0 * (0.2 + 0.8 * f64::from(second) / 16.0);
        assert!(
            weights == 0.0 || capacity >= 8.0,
            "second {second}: {weights}"
        );
        fleet.run(1, &healthy(3, &[]));
    }
    fleet.run(3, &healthy(3, &[]));
    assert!(
        (0..3).all(|id| fleet.weight(id) > 0.0),
        "warm servers serve"
    );
}

/// Servers that all started simultaneously get their weight at the first tick after they are warm.
#[test]
fn warming_servers_alone_get_weight_within_a_tick_of_being_warm() {
    let mut fleet = Fleet::new(settings(), 8, 4);
    fleet.run(3, &healthy(8, &[]));
    let started = fleet.now;
    let warming = (0..2).map(|id| Endpoint {
        started_at: Some(started),
        ..endpoint(id)
    });
    let removed = (2..8).map(|id| Endpoint {
        lifecycle: Lifecycle::Removed,
        ..endpoint(id)
    });
    fleet.send(&[Event::EndpointList(
        EndpointUpdateKind::Delta,
        removed.chain(warming).collect(),
    )]);
    let warm = started + settings().slow_start_period;
    while fleet.now <= warm {
        fleet.run(1, &[]);
    }
    assert!(fleet.now - warm <= ms(1000) && (0..2).all(|id| fleet.weight(id) > 0.0));
}

#[test]
fn withdrawn_warm_servers_are_preferred_to_warming_ones_alone() {
    let mut fleet = Fleet::new(settings(), 4, 3);
    fleet.run(3, &healthy(4, &[]));
    let started = Some(fleet.now);
    fleet.send(&[Event::EndpointList(
        EndpointUpdateKind::Delta,
        vec![Endpoint {
            started_at: started,
            ..endpoint(3)
        }],
    )]);
    for id in 0..3 {
        let events: Vec<Event> = (0..4)
            .map(|other| server_outcomes(other, 8.0, if other <= id { 8.0 } else { 0.0 }, 200.0))
            .collect();
        fleet.run(5, &events);
        assert!(
            (0..3).any(|warm| fleet.weight(warm) > 0.0),
            "{} of 3 warm servers failing",
            id + 1
        );
    }
}
