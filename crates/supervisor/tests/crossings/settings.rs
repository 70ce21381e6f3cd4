//! Reloads and restarts.

use chutegrade_emulators::{config, Proxy};
use serde_json::json;

use crate::applies_picks;
use crate::common::{fleet, joined, program};

/// A reload of keys that take effect only at a start logs this and changes nothing.
#[tokio::test]
async fn a_reload_of_settings_requires_a_restart() {
    let (discovery, servers) = fleet().await;
    let mut configuration = config(&discovery, Some(discovery.list()), 1024);
    let supervisor = program().start(&configuration).await;
    let mut proxy = joined(&supervisor, 0).await;
    configuration["settings"]["classes"][0]["name"] = json!("other");
    configuration["settings"]["zones"] = json!(["c"]);
    configuration["settings"]["familyInfo"]["proxies"] = json!(1);
    supervisor.reload(&configuration.to_string()).await;
    supervisor
        .expect_log_lines(1, &["reloaded", "restart_for=\"settings\""])
        .await;
    discovery.set("s-1", servers[0].address, "draining");
    applies_picks(&mut proxy, &["s-2", "s-3"]).await;
    Proxy::join(&supervisor, 7, true)
        .await
        .apply_until("a table", |proxy| !proxy.picks("order").is_empty())
        .await;
}

/// A run that is killed or terminated leaves no files that the next one could read.
#[tokio::test]
async fn a_run_leaves_no_files() {
    let scratch = tempfile::tempdir().expect("a directory");
    let (discovery, _servers) = fleet().await;
    let program = program().with_working_directory(scratch.path());
    for is_killed in [false, true] {
        let mut supervisor = program
            .start(&config(&discovery, Some(discovery.list()), 1024))
            .await;
        joined(&supervisor, 0).await;
        if is_killed {
            supervisor.kill().await;
        } else {
            assert_eq!(supervisor.terminate().await, Some(0));
        }
        assert_eq!(
            std::fs::read_dir(scratch.path())
                .expect("a directory")
                .count(),
            0
        );
    }
}
