use clap::CommandFactory;

use super::*;

#[test]
fn the_command_line_definition_is_valid() {
    Cli::command().debug_assert();
}

#[test]
fn without_a_command_it_serves() {
    let cli = Cli::parse_from(["chutegrade", "--operator", "/x"]);
    assert!(cli.command.is_none() && cli.serve.operator == Some(PathBuf::from("/x")));
    assert!(matches!(
        Cli::parse_from(["chutegrade", "serve"]).command,
        Some(Command::Serve(_))
    ));
}
