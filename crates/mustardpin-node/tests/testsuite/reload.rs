//! Changes of the settings while the node runs.

use std::{fs, path::PathBuf, sync::Arc};

use mustardpin_world::Millis;

use crate::fake::{Fleet, Script, text, wait_until};

const EXAMPLE: &str = include_str!("../../../../settings.example.yaml");

/// A settings file that is removed when it is dropped.
struct SettingsFile(PathBuf);

impl SettingsFile {
    fn new(name: &str) -> SettingsFile {
        let name = format!("mustardpin-{}-{name}.yaml", std::process::id());
        let file = SettingsFile(std::env::temp_dir().join(name));
        file.write("");
        file
    }

    fn write(&self, more: &str) {
        fs::write(&self.0, format!("{EXAMPLE}\n{more}\n")).expect("the file can be written");
    }
}

impl Drop for SettingsFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

#[test]
fn a_changed_file_is_applied_and_an_invalid_one_is_not() {
    let file = SettingsFile::new("reload");
    let script: Script = Arc::new(|_| text("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"));
    let fleet = Fleet::start_with(&[("slots", script)], |mut launch| {
        launch.settings_file = Some(file.0.clone());
        launch
    });
    let has_wait = |length: Millis| {
        let read = fleet.nodes[0].control().report(|world| world.options().queueing.wait);
        fleet.runtime.block_on(read) == Ok(length)
    };
    file.write("queueing:\n  wait: 77ms");
    wait_until(|| has_wait(Millis(77)));
    file.write("queueing:\n  wait: soon");
    std::thread::sleep(std::time::Duration::from_millis(2_500));
    assert!(has_wait(Millis(77)), "the previous settings stay in use");
    file.write("queueing:\n  wait: 99ms");
    wait_until(|| has_wait(Millis(99)));
}
