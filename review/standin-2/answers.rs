//! Case 6: some answers to marks arrive spoilt, and nine of fifteen servers are replaced while the supervisor ends healthy
//! streams for it.
mod rig;
use rig::{entry_of, figure, has_trouble, small_rates, small_servers, small_site, speed, unix_ms, Record, Server, World};

fn main() {
    let record = Record::new(&std::env::args().nth(1).expect("path of the record"));
    let servers = small_servers();
    let rates = small_rates(&servers, figure("LOAD", 0.5));
    let mut site = small_site(15, 2.0);
    site.delay = (0.1, 0.76);
    site.redial = (2.0, 2.3);
    let mut world = World::new(record.clone(), site, servers, &rates, figure("SEED", 1.0) as u64);
    if has_trouble() {
        for proxy in &mut world.proxies {
            proxy.spoil = figure("SPOIL", 0.3);
        }
    }
    world.start_supervisor();
    // The release begins when the supervisor has just ended the stream of a proxy with much traffic.
    world.run_until(8.0);
    let latest = if has_trouble() { 80.0 } else { 20.0 };
    while record.now() < latest && world.ended_of_late() == 0 {
        world.step();
    }
    record.say("the release begins");
    for old in [0, 1, 2, 5, 6, 7, 10, 11, 12] {
        world.set_status(&format!("s-{old:02}"), "draining");
        let server = Server::start(&format!("t-{old:02}"), old / 5, 2.0, speed(old), unix_ms());
        let entry = entry_of(&world.site, &server, "up");
        world.servers.insert(server.name.clone(), server);
        world.discovery.change(vec![entry]);
    }
    let end = record.now() + 10.0;
    world.run_until(end);
    world.finish("drain")
}
