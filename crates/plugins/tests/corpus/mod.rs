//! Hostile hooks that compile, also used by the tests of the supervisor.

/// Returns the source of a plug-in with this name and body.
pub fn text(name: &str, body: &str) -> String {
    format!("plugin \"{name}\" version 1 host 1\n{body}")
}

/// Bodies that give no advice: they exceed a limit or trap.
pub const STOPPED: [&str; 24] = [
    "hook turn() { for n in range(0, 1000000000000) { } }",
    "hook turn() { for n in range(0, 100000) { for m in range(0, 100000) { } } }",
    "hook turn() { for a in fleet.servers { for b in fleet.servers { for c in fleet.servers { for d in fleet.servers { } } } } }",
    "hook cap(class) { for n in range(0, 1000000) { } return 0 }",
    "hook retry(class) { for n in range(0, 1000000) { } return false }",
    "hook exclude(server) { for n in range(0, 1000000) { } exclude(\"x\", 60) }",
    "hook factor(server, class, zone) { for n in range(0, 1000000) { } return 0 }",
    "fn f(n: number) -> number { for i in range(0, 1000) { n = n + i } return n }\nfn g(n: number) -> number { for i in range(0, 1000) { n = n + f(i) } return n }\nhook turn() { let x = g(1) }",
    "fn a() { for n in range(0, 900) { } }\nfn b() { for n in range(0, 900) { a() } }\nfn c() { for n in range(0, 900) { b() } }\nhook turn() { c() }",
    "state t = \"x\"\nhook turn() { for n in range(0, 20) { t = t + t } }",
    "hook turn() { let t = \"xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\" for n in range(0, 2000) { let u = t + \"y\" } }",
    "state m = map\nhook turn() { for n in range(0, 100000) { m[text(n)] = 1 } }",
    "hook turn() { let n = 1 for i in range(0, 1000) { n = n * 1000000 } }",
    "hook turn() { let n = 1 / 0 }",
    "hook turn() { let n = 5 % 0 }",
    "hook turn() { let n = 0 / (fleet.strain * 0) }",
    "state n = 0\nhook turn() { n = 1 - 1 n = 1 / n }",
    "hook turn() { let n = 999999999999999 for i in range(0, 30) { n = n * n } }",
    "hook turn() { for n in range(-999999999999999, 999999999999999) { note(\"x\") } }",
    "hook turn() { for s in fleet.servers { for n in range(0, 100000) { if starts(s.name, \"s\") { } } } }",
    "let s = [\"a\", \"b\", \"c\"]\nhook turn() { for n in range(0, 1000000) { if \"z\" in s { } } }",
    "hook turn() { let t = \"\" for n in range(0, 1000) { t = t + text(random()) } }",
    "state w = mean(1)\nhook turn() { for n in range(0, 1000000) { w = 999999999999999 } }",
    "hook turn() { for z in fleet.zones { for c in fleet.classes { for n in range(0, 9999999) { } } } }",
];

/// Bodies that run without a fault and give the worst advice that is possible.
pub const ADVISED: [&str; 12] = [
    "hook factor(server, class, zone) { return 0 }",
    "hook factor(server, class, zone) { return -999999999999999 }",
    "hook factor(server, class, zone) { return 999999999999999 }",
    "steers \"refund-order\"\nhook factor(server, class, zone) { if class.name == \"refund-order\" { return 0 } return 1 }",
    "hook factor(server, class, zone) { if server.zone == zone { return 0 } return 1 }",
    "hook factor(server, class, zone) { return fleet.turn % 2 }",
    "hook factor(server, class, zone) { return random() }",
    "hook cap(class) { return fleet.turn % 2 }",
    "hook cap(class) { return -1 }",
    "hook retry(class) { return true }",
    "hook exclude(server) { exclude(\"\", 999999999999999) }",
    "hook exclude(server) { exclude(\"all of them\", 3600) exclude(\"again\", -5) exclude(\"x\", 60) }",
];
