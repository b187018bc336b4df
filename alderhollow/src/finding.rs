//! What is wrong with a settings file or a configuration, in words for the one who wrote it.

use std::fmt;

/// One thing that is wrong, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Where it is: a line of a file, a path in a document, or the name of a key.
    pub position: String,
    /// What is wrong and what to do.
    pub message: String,
}

impl Finding {
    /// A finding at a position.
    pub fn new(position: impl Into<String>, message: impl Into<String>) -> Finding {
        Finding {
            position: position.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // A finding is one line, whatever the text that it quotes holds.
        for part in [self.position.as_str(), ": ", self.message.as_str()] {
            for character in part.chars() {
                match character {
                    '\n' | '\r' => f.write_str(" ")?,
                    other => write!(f, "{other}")?,
                }
            }
        }
        Ok(())
    }
}
