//! The example file loads, and every kind of error names the file, the key, the value and the
//! remedy.

use std::path::Path;

use mustardpin_settings::Settings;

const EXAMPLE: &str = include_str!("../../../../settings.example.yaml");

fn error(yaml: &str) -> String {
    Settings::parse(Path::new("node.yaml"), yaml).expect_err("the settings are wrong").to_string()
}

/// Returns the example file with some texts replaced.
fn example_with(replacements: &[(&str, &str)]) -> String {
    replacements.iter().fold(EXAMPLE.to_owned(), |yaml, (from, to)| {
        assert!(yaml.contains(from), "the example has no line {from:?}");
        yaml.replacen(from, to, 1)
    })
}

#[test]
fn example_loads() {
    let settings = Settings::parse(Path::new("settings.example.yaml"), EXAMPLE).unwrap();
    insta::assert_debug_snapshot!(settings);
}

/// Keys without a default: the values in their commented lines are only examples.
const KEYS_WITHOUT_DEFAULT: [&str; 4] =
    ["  reports:", "  readiness:", "  metrics:", "  fleet-ratio:"];

#[test]
fn commented_lines_of_the_example_show_the_defaults() {
    let uncommented: String = EXAMPLE
        .lines()
        .map(|line| match line.trim_start().strip_prefix('#') {
            // A key of a commented section, or a commented key of a section that is set.
            Some(rest) if line.starts_with("#   ") => rest[1..].to_owned(),
            Some(rest) if line.starts_with("  # ") => format!("  {}", rest.trim_start()),
            Some(rest) if line.ends_with(':') && !rest[1..].contains(' ') => rest[1..].to_owned(),
            _ => line.to_owned(),
        })
        .filter(|line| !KEYS_WITHOUT_DEFAULT.iter().any(|unset| line.starts_with(unset)))
        .map(|line| line + "\n")
        .collect();
    assert!(uncommented.contains("\nrouting:\n  max-hops: 3\n"), "{uncommented}");
    let all_set = Settings::parse(Path::new("settings.example.yaml"), &uncommented).unwrap();
    let defaults = Settings::parse(Path::new("settings.example.yaml"), EXAMPLE).unwrap();
    assert_eq!(all_set, defaults);
}

#[test]
fn all_problems_are_reported_at_once() {
    insta::assert_snapshot!(error(
        "data-center: north\nlog:\n  level: loud\nlimits:\n  body-size: 3\nfrobnicate: 1\n"
    ));
}

#[test]
fn each_kind_of_problem() {
    let cases = [
        ("unknown key", example_with(&[("service:", "servce:")])),
        ("not a name", example_with(&[("data-centre: north", "data-centre: the north")])),
        ("host name", example_with(&[("127.0.0.1:7000 ", "localhost:7000 ")])),
        ("port zero", example_with(&[("127.0.0.1:7000 ", "127.0.0.1:0 ")])),
        ("same address", example_with(&[("127.0.0.1:7001", "127.0.0.1:7000")])),
        ("short secret", example_with(&[("change-me-fleet-credential", "hunter2")])),
        ("misspelt secret", example_with(&[("fleet-credential:", "fleet-credentials:")])),
        (
            "section in place of a value",
            example_with(&[("service: booking-ledger", "service: {a: 1}")]),
        ),
        ("list in place of a value", example_with(&[("service: booking-ledger", "service: [a]")])),
        ("value in place of a list", example_with(&[("[127.0.0.1:7012, 127.0.0.1:7022]", "none")])),
        ("wrong list item", example_with(&[("127.0.0.1:7022]", "everyone]")])),
        ("length without unit", format!("{EXAMPLE}\nfreshness:\n  bound: 2500\n")),
        ("length out of range", format!("{EXAMPLE}\nfreshness:\n  bound: 2min\n")),
        ("watch above bound", format!("{EXAMPLE}\nfreshness:\n  bound: 1s\n  watch: 1500ms\n")),
        ("not yes or no", format!("{EXAMPLE}\nfreshness:\n  strict: maybe\n")),
        ("not a fraction", format!("{EXAMPLE}\nretry:\n  fleet-ratio: some\n")),
        ("fraction out of range", format!("{EXAMPLE}\nretry:\n  fleet-ratio: 1.5\n")),
        ("least above most", format!("{EXAMPLE}\nlimit:\n  least: 9\n  most: 8\n")),
        ("size without unit", format!("{EXAMPLE}\nlimits:\n  body-size: 4096\n")),
        ("size out of range", format!("{EXAMPLE}\nlimits:\n  body-size: 4096MiB\n")),
        ("not a count", format!("{EXAMPLE}\nlimits:\n  connections: many\n")),
        ("count out of range", format!("{EXAMPLE}\nlimits:\n  connections: 0\n")),
        ("unknown word", format!("{EXAMPLE}\nlog:\n  format: xml\n")),
    ];
    let report: String =
        cases.iter().map(|(name, yaml)| format!("# {name}\n{}\n", error(yaml))).collect();
    insta::assert_snapshot!(report);
}

#[test]
fn malformed_yaml_is_reported_with_file_and_line() {
    let error = Settings::parse(Path::new("node.yaml"), "a: [1,\nb: 2").unwrap_err();
    let source = std::error::Error::source(&error).unwrap().to_string();
    assert_eq!(error.to_string(), "settings file node.yaml is not well-formed YAML");
    assert!(source.contains("line"), "{source}");
}

#[test]
fn a_duplicate_key_is_rejected() {
    let error = Settings::parse(Path::new("node.yaml"), "service: a\nservice: b\n").unwrap_err();
    let source = std::error::Error::source(&error).unwrap().to_string();
    assert!(source.contains("service"), "{source}");
}

#[test]
fn a_missing_file_is_reported_by_name() {
    let error = Settings::load(Path::new("no-such-file.yaml")).unwrap_err();
    assert_eq!(error.to_string(), "cannot read settings file no-such-file.yaml");
}

/// Every setting that holds a number either takes these, or is named in one error.
#[test]
fn numbers_that_are_fractions_zero_huge_or_negative() {
    const NUMBERS: [&str; 4] = ["0.5", "0", "99999999999999999999", "-1"];
    let settings = [
        ("limits", "connections", ""),
        ("limits", "body-size", "KiB"),
        ("freshness", "bound", "s"),
        ("stop", "grace", "s"),
        ("queueing", "wait", "s"),
        ("retry", "fleet-ratio", ""),
        ("retry", "fleet-slack", ""),
    ];
    let mut report = String::new();
    for (section, key, unit) in settings {
        for number in NUMBERS {
            let yaml = format!("{EXAMPLE}\n{section}:\n  {key}: {number}{unit}\n");
            let verdict = match Settings::parse(Path::new("node.yaml"), &yaml) {
                Ok(_) => "accepted".to_owned(),
                Err(error) => {
                    let error = error.to_string();
                    assert_eq!(error.matches(&format!("{section}.{key}")).count(), 1, "{error}");
                    error
                }
            };
            report += &format!("{section}.{key} {number}{unit}: {verdict}\n");
        }
    }
    insta::assert_snapshot!(report);
}

/// Guards against a process that ends by itself, or hangs, when it reads a file that is nested too
/// deeply, refers to itself or holds numbers out of range.
#[test]
fn odd_files_are_errors() {
    let depth = 50_000;
    let aliases: String = (1..30)
        .map(|level| {
            let last = level - 1;
            format!("a{level}: &a{level} [*a{last}, *a{last}, *a{last}, *a{last}, *a{last}]\n")
        })
        .collect();
    let files = [
        "[".repeat(depth),
        format!("{}{}", "[".repeat(depth), "]".repeat(depth)),
        format!("name: {}{}", "{a: ".repeat(depth), "}".repeat(depth)),
        (0..3_000).map(|level| format!("{}a:\n", " ".repeat(level))).collect(),
        format!("a0: &a0 [1]\n{aliases}"),
        example_with(&[("  callers: 127.0.0.1:7000", "  callers: 127.0.0.1:99999")]),
        format!("{EXAMPLE}\ntarget:\n  lost-after: 99999999999999999999s\n"),
        format!("{EXAMPLE}\ntarget:\n  lost-after: 1e999s\n"),
    ];
    for file in files {
        let start: String = file.chars().take(40).collect();
        let parsed = Settings::parse(Path::new("node.yaml"), &file);
        assert!(parsed.is_err(), "{start}");
    }
}
