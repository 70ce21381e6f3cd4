//! Case 4: a supervisor that has never had a list starts while discovery is down.
mod rig;
use rig::{figure, has_trouble, small_rates, small_servers, small_site, Record, World};

fn main() {
    let record = Record::new(&std::env::args().nth(1).expect("path of the record"));
    let servers = small_servers();
    let rates = small_rates(&servers, 0.5);
    let mut world = World::new(record.clone(), small_site(15, 3.0), servers, &rates, figure("SEED", 1.0) as u64);
    world.has_known = false;
    // The proxies run with their standing tables before the supervisor starts.
    if has_trouble() {
        let until = record.now() + figure("DOWN", 13.0);
        record.say(&format!("discovery says nothing until {until:.1}"));
        world.discovery.state.0.lock().unwrap().silent_until = until;
    }
    world.start_supervisor();
    world.run_until(18.0);
    world.finish("lines")
}
