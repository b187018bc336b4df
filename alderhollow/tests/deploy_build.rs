//! The build of `deploy/system.toml`, with a `cargo` that only records how it is called.

use std::collections::BTreeSet;
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, UNIX_EPOCH};

const CALLS: &str = "calls";
/// Records its first argument, and leaves a program as `cargo build` does.
const CARGO: &str = "#!/bin/sh\necho \"$1\" >> calls\nmkdir -p target/tier\n";

fn workspace() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn script() -> String {
    fs::read_to_string(workspace().join("deploy/build-tier.sh")).expect("the script is there")
}

/// The folders of packages that the script names.
fn members() -> BTreeSet<String> {
    let script = script();
    let line = script
        .lines()
        .find_map(|line| line.strip_prefix("members="))
        .expect("a list of members");
    let names = line.trim_matches('"').split(' ');
    names.map(str::to_string).collect()
}

/// The folders of the packages of this workspace that a package depends on, and its own.
fn add_dependencies(folder: &str, found: &mut BTreeSet<String>) {
    if !found.insert(folder.to_string()) {
        return;
    }
    let manifest = workspace().join(folder).join("Cargo.toml");
    let manifest = fs::read_to_string(manifest).expect("a manifest");
    let manifest: toml::Table = manifest.parse().expect("a manifest");
    let dependencies = manifest["dependencies"].as_table().expect("a table");
    for dependency in dependencies.values() {
        let path = dependency.get("path").and_then(toml::Value::as_str);
        if let Some(path) = path.and_then(|path| path.strip_prefix("../")) {
            add_dependencies(path, found);
        }
    }
}

/// A workspace of empty packages with the script.
struct Tree {
    root: PathBuf,
}

impl Tree {
    fn new(name: &str) -> Tree {
        let root = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&root);
        let tree = Tree { root };
        tree.write("deploy/build-tier.sh", &script());
        tree.write("bin/cargo", CARGO);
        let executable = fs::Permissions::from_mode(0o755);
        fs::set_permissions(tree.root.join("bin/cargo"), executable).expect("a file");
        tree.write("Cargo.toml", "");
        tree.write("Cargo.lock", "");
        for member in members() {
            let manifest = format!("[package]\nname = \"{member}\"\n");
            tree.write(&format!("{member}/Cargo.toml"), &manifest);
            tree.write(&format!("{member}/src/lib.rs"), "");
        }
        tree
    }

    /// Writes a file that is older than any build.
    fn write(&self, path: &str, text: &str) {
        let path = self.root.join(path);
        fs::create_dir_all(path.parent().expect("a folder")).expect("a folder");
        fs::write(&path, text).expect("a file");
        let file = fs::File::options()
            .write(true)
            .open(&path)
            .expect("the file");
        file.set_modified(UNIX_EPOCH + Duration::from_secs(1))
            .expect("a time");
    }

    /// Runs the script; returns the calls of `cargo`.
    fn build(&self) -> Vec<String> {
        let calls = self.root.join(CALLS);
        let _ = fs::remove_file(&calls);
        let path = std::env::var("PATH").expect("a path");
        let bin = self.root.join("bin");
        let status = Command::new("sh")
            .arg("deploy/build-tier.sh")
            .current_dir(&self.root)
            .env("PATH", format!("{}:{path}", bin.display()))
            .status();
        assert!(status.expect("a shell").success());
        let calls = fs::read_to_string(calls).expect("cargo is called");
        calls.lines().map(str::to_string).collect()
    }
}

#[test]
fn the_script_knows_all_packages_of_the_program() {
    let mut packages = BTreeSet::new();
    add_dependencies("alderhollow", &mut packages);
    assert_eq!(members(), packages);
}

/// Guards against an older program in a build folder that was carried over and is newer than the sources.
#[test]
fn sources_that_differ_are_built_anew_however_old_their_files_are() {
    let tree = Tree::new("carried-over-build");
    assert_eq!(tree.build(), ["clean", "build"]);
    assert_eq!(tree.build(), ["build"], "nothing has changed");
    tree.write("dataplane/src/lib.rs", "// changed");
    assert_eq!(tree.build(), ["clean", "build"]);
    tree.write("storage/src/more.rs", "");
    assert_eq!(tree.build(), ["clean", "build"]);
    assert_eq!(tree.build(), ["build"], "nothing has changed");
}
