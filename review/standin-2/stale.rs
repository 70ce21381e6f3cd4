//! Case 5: a supervisor is killed and starts again with the configuration that it had while discovery is down.
mod rig;
use rig::{entry_of, figure, has_trouble, small_rates, small_servers, small_site, speed, unix_ms, Record, Server, World};

fn main() {
    let record = Record::new(&std::env::args().nth(1).expect("path of the record"));
    let servers = small_servers();
    let rates = small_rates(&servers, 0.45);
    let mut world = World::new(record.clone(), small_site(15, 2.0), servers, &rates, figure("SEED", 1.0) as u64);
    world.start_supervisor();
    // One server of each zone is replaced: the new one starts, the old one drains and is gone 3 s later.
    let replaced = [0, 5, 10];
    world.run_until(5.0);
    for old in replaced {
        let server = Server::start(&format!("t-{old:02}"), old / 5, 2.0, speed(old), unix_ms());
        let entry = entry_of(&world.site, &server, "up");
        world.servers.insert(server.name.clone(), server);
        world.discovery.change(vec![entry]);
        world.set_status(&format!("s-{old:02}"), "draining");
    }
    world.run_until(8.0);
    for old in replaced {
        world.set_status(&format!("s-{old:02}"), "removed");
    }
    world.run_until(16.0);
    world.kill_supervisor();
    if has_trouble() {
        let until = record.now() + 1.0 + figure("DOWN", 6.0);
        record.say(&format!("discovery says nothing until {until:.1}"));
        world.discovery.state.0.lock().unwrap().silent_until = until;
    }
    world.run_until(17.0);
    world.keeps_config = true;
    world.start_supervisor();
    world.run_until(32.0);
    world.finish("drain")
}
