//! The start with an invalid configuration, and the shutdown at SIGTERM.

use chutegrade_emulators::{config, Discovery, Peer};
use serde_json::json;

use crate::common::{joined, program, serving};

#[tokio::test]
async fn sigterm_logs_one_line_for_each_connection() {
    let (_discovery, _servers, mut supervisor) = serving().await;
    let mut proxy = joined(&supervisor, 0).await;
    let mut collector = Peer::connect(supervisor.address).await;
    collector.send("agent site=b").await;
    collector.send("probe").await;
    assert_eq!(collector.line().await.as_deref(), Some("alive"));
    assert_eq!(supervisor.terminate().await, Some(0));
    proxy.peer.wait_for_close().await;
    supervisor
        .expect_log_lines(1, &["peer=\"proxy\"", "reason=stopping"])
        .await;
    supervisor
        .expect_log_lines(1, &["peer=\"collector\"", "reason=stopping"])
        .await;
}

#[tokio::test]
async fn an_invalid_configuration_fails_with_one_log_line() {
    let discovery = Discovery::start().await;
    let complete = config(&discovery, None, 1024);
    let mut no_settings = complete.clone();
    no_settings["settings"] = json!([]);
    let mut no_address = complete.clone();
    no_address["listen"] = json!("somewhere");
    for invalid in [no_settings, no_address, json!("nothing")] {
        let (code, log) = program().run_until_exit(&invalid).await;
        assert_eq!(code, Some(1));
        assert_eq!(log.lines().count(), 1, "{log}");
        assert!(log.contains("cannot run"), "{log}");
    }
}
