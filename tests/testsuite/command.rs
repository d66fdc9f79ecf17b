//! Help texts, error messages and exit codes of the command, without a fleet.

use std::{fmt::Write as _, process::Command};

use crate::process::{output, program};

fn run(arguments: &[&str]) -> String {
    let mut command = Command::new(program("mustardpin"));
    let output = output(command.args(arguments).env_remove("MUSTARDPIN_OPERATOR_CREDENTIAL"));
    let mut text = format!("$ mustardpin {}\n", arguments.join(" "));
    for stream in [&output.stdout, &output.stderr] {
        text += &String::from_utf8_lossy(stream);
    }
    writeln!(text, "exit code {:?}\n", output.status.code()).expect("writing to a string succeeds");
    text
}

#[test]
fn help_of_every_command() {
    let commands = ["node", "check", "defaults", "exceptions", "keys", "status"];
    let texts = commands.iter().map(|command| run(&[command, "--help"]));
    let text: String = std::iter::once(run(&["--help"])).chain(texts).collect();
    insta::assert_snapshot!(text);
}

#[test]
fn errors_and_exit_codes() {
    let unreachable_node = ["--admin", "127.0.0.1:9", "--settings", "settings.example.yaml"];
    let with_access = |words: &[&str]| run(&[words, &unreachable_node].concat());
    let text: String = [
        run(&["fly"]),
        run(&["node"]),
        run(&["node", "--settings", "no-such-file.yaml"]),
        run(&["check", "--settings", "tests/testsuite/command/wrong.yaml"]),
        run(&["check", "--settings", "settings.example.yaml"]),
        run(&["status"]),
        run(&["status", "--admin", "somewhere"]),
        run(&["status", "--admin", "127.0.0.1:9"]),
        with_access(&["exceptions", "add", "easter", "team-rate", "team=garages"]),
        with_access(&[
            "exceptions",
            "add",
            "easter",
            "--reason",
            "MOT rush",
            "team-rate",
            "team=a",
        ]),
        with_access(&["exceptions", "add", "easter", "--reason", "MOT rush", "holiday"]),
        with_access(&[
            "exceptions",
            "add",
            "easter",
            "--reason",
            "why",
            "importance",
            "team=a",
            "route=b",
            "importance=huge",
        ]),
        with_access(&["defaults", "set", "team", "garages", "rate"]),
        with_access(&["defaults", "forget"]),
    ]
    .concat();
    insta::assert_snapshot!(text);
}
