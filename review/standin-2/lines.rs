//! Case 4: nine of fifteen servers are replaced within 7 s on an overloaded day, all five of one zone among them.
mod rig;
use rig::{entry_of, figure, has_trouble, small_rates, small_servers, small_site, speed, unix_ms, Record, Server, World};

fn main() {
    let record = Record::new(&std::env::args().nth(1).expect("path of the record"));
    let servers = small_servers();
    let rates = small_rates(&servers, figure("LOAD", 1.1));
    let mut world = World::new(record.clone(), small_site(15, 3.0), servers, &rates, figure("SEED", 1.0) as u64);
    world.start_supervisor();
    // The release begins while the levels move at nearly each tick, as they do for much of an overloaded day.
    world.run_until(18.0);
    while record.now() < 75.0 && world.messages_of_late(0) < figure("FULL", 18.0) as usize {
        world.step();
    }
    record.say(&format!("the release begins, after {} messages in 10 s", world.messages_of_late(0)));
    // All of zone a, then four of zone b. The new servers have been started 60 s ago and are warm; each is listed right
    // after the old one's drain.
    let warmed = unix_ms() - 60_000.0;
    let (begin, pace) = (record.now(), 0.8);
    for (step, old) in [0, 1, 2, 3, 4, 5, 6, 7, 8].into_iter().enumerate() {
        world.run_until(begin + pace * step as f64);
        if !has_trouble() {
            continue;
        }
        world.set_status(&format!("s-{old:02}"), "draining");
        world.run_until(begin + pace * step as f64 + 0.2);
        let server = Server::start(&format!("t-{old:02}"), old / 5, 2.0, speed(old), warmed);
        let entry = entry_of(&world.site, &server, "up");
        world.servers.insert(server.name.clone(), server);
        world.discovery.change(vec![entry]);
    }
    world.run_until(begin + 22.0);
    world.finish("lines")
}
