//! What a trial found, printed as it goes.

/// The findings so far.
#[derive(Default)]
pub(crate) struct Report {
    failures: usize,
}

impl Report {
    /// Notes that something was as it should be.
    pub(crate) fn good(&mut self, text: impl AsRef<str>) {
        println!("ok      {}", text.as_ref());
    }

    /// Notes that something was not.
    pub(crate) fn failed(&mut self, text: impl AsRef<str>) {
        self.failures += 1;
        println!("FAILED  {}", text.as_ref());
    }

    /// Notes either.
    pub(crate) fn check(&mut self, is_good: bool, text: impl AsRef<str>) {
        match is_good {
            true => self.good(text),
            false => self.failed(text),
        }
    }

    /// Whether nothing failed.
    pub(crate) fn is_good(&self) -> bool {
        self.failures == 0
    }
}
