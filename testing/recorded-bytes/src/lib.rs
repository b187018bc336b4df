//! Compatibility fixtures: encoded values as an earlier build of the program wrote them.
//!
//! A fixture file holds one value a line: a name, a space, and the value's bytes in hexadecimal digits. A test builds
//! the same value with the types of today and calls [`RecordedBytes::check`], which fails if the value encodes to
//! other bytes or if the recorded bytes decode to another value. So a type, field or variant may be renamed, but
//! nothing that another process or a later start of the program reads may change.
//!
//! With the environment variable `RECORD_FIXTURES` set, the file is written instead of compared. Do this for a new
//! message only, and look at the difference: lines that exist must not change.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::path::{Path, PathBuf};

/// Environment variable under which fixtures are written instead of compared.
const RECORD: &str = "RECORD_FIXTURES";

/// The values of one fixture file.
pub struct RecordedBytes {
    path: PathBuf,
    recorded: BTreeMap<String, Vec<u8>>,
    checked: BTreeMap<String, Vec<u8>>,
}

impl RecordedBytes {
    /// Reads a fixture file.
    ///
    /// # Panics
    /// The file can't be read, or one of its lines is not a name and hexadecimal digits.
    pub fn open(path: impl AsRef<Path>) -> RecordedBytes {
        let path = path.as_ref().to_path_buf();
        let is_new = is_recording() && !path.exists();
        let recorded = if is_new { BTreeMap::new() } else { read(&path) };
        RecordedBytes {
            path,
            recorded,
            checked: BTreeMap::new(),
        }
    }

    /// Checks that `value` encodes to the bytes recorded under `name`, and that those decode to `value`.
    ///
    /// # Panics
    /// They don't, or nothing is recorded under this name.
    pub fn check<T: PartialEq + Debug>(
        &mut self,
        name: &str,
        value: &T,
        encode: impl Fn(&T) -> Vec<u8>,
        decode: impl Fn(&[u8]) -> Option<T>,
    ) {
        let encoded = encode(value);
        if !is_recording() {
            assert_eq!(
                hex(&encoded),
                hex(self.bytes(name)),
                "`{name}` encodes to other bytes than recorded"
            );
            let decoded = decode(self.bytes(name));
            assert_eq!(
                decoded.as_ref(),
                Some(value),
                "`{name}` decodes to another value than recorded"
            );
        }
        let former = self.checked.insert(name.to_string(), encoded);
        assert!(former.is_none(), "`{name}` is checked twice");
    }

    /// The bytes recorded under a name.
    ///
    /// # Panics
    /// Nothing is recorded under this name.
    pub fn bytes(&self, name: &str) -> &[u8] {
        match self.recorded.get(name) {
            Some(bytes) => bytes,
            None => panic!("{} has no line `{name}`", self.path.display()),
        }
    }

    /// Checks that no recorded value was left out, or writes the file.
    ///
    /// # Panics
    /// A recorded value was not checked, or the file can't be written.
    pub fn finish(self) {
        if is_recording() {
            let lines = self
                .checked
                .iter()
                .map(|(name, bytes)| format!("{name} {}\n", hex(bytes)));
            std::fs::write(&self.path, lines.collect::<String>())
                .expect("the fixture file can be written");
            return;
        }
        let left_out: Vec<&String> = self
            .recorded
            .keys()
            .filter(|name| !self.checked.contains_key(*name))
            .collect();
        assert!(
            left_out.is_empty(),
            "{}: not checked: {left_out:?}",
            self.path.display()
        );
    }
}

/// Whether fixtures are to be written instead of compared.
pub fn is_recording() -> bool {
    std::env::var_os(RECORD).is_some()
}

fn read(path: &Path) -> BTreeMap<String, Vec<u8>> {
    let text = std::fs::read_to_string(path)
        .unwrap_or_else(|error| panic!("{} can't be read: {error}", path.display()));
    text.lines()
        .map(|line| parse(line).unwrap_or_else(|| panic!("not a recorded value: {line}")))
        .collect()
}

fn parse(line: &str) -> Option<(String, Vec<u8>)> {
    let (name, digits) = line.split_once(' ')?;
    let digit_pairs = digits.as_bytes().chunks(2);
    let bytes =
        digit_pairs.map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok());
    Some((name.to_string(), bytes.collect::<Option<Vec<u8>>>()?))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
