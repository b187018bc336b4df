//! Which peer sets a gateway is bound by. While a peer set changes there are two, and whoever is to hold leadership has to
//! win a majority of each, so that any two winners have a peer set in common, and in it a gateway that granted both.

use crate::hash::mix;
use crate::peers::PeerId;
use serde::{Deserialize, Serialize};

/// Changes that a gateway remembers to hold others to.
const REMEMBERED: usize = 8;

/// One peer set.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct KnownPeerSet {
    /// Stands for its names.
    pub digest: u64,
    /// Its names, sorted; `None` for one that this gateway was told of and whose names it has not read itself.
    pub names: Option<Vec<PeerId>>,
}

impl KnownPeerSet {
    /// A peer set of these names.
    pub fn of(mut names: Vec<PeerId>) -> KnownPeerSet {
        names.sort_unstable();
        names.dedup();
        let digest = names.iter().fold(0, |sum, id| mix(sum, u64::from(*id)));
        KnownPeerSet {
            digest,
            names: Some(names),
        }
    }
}

/// What a datagram says of its sender's peer sets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigurationReport {
    /// The one that its file names.
    pub now: u64,
    /// The one that it leaves, while it still has to win that too.
    pub base: Option<u64>,
    /// The one that was left last: nobody can win by it alone any more.
    pub retired: Option<u64>,
    /// How many changes are over, as far as it knows.
    pub changes: u32,
    /// It has taken part in a epoch since it began: its peer sets are in use.
    pub seasoned: bool,
}

impl ConfigurationReport {
    fn counts(&self, digest: u64) -> bool {
        self.now == digest || self.base == Some(digest)
    }

    /// The peer set that whoever tells this is bound by for the longest time.
    fn oldest(&self) -> u64 {
        self.base.unwrap_or(self.now)
    }
}

/// A gateway that has granted to one that counted both peer sets grants to none that counts the first alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Bar {
    old: u64,
    must: u64,
    /// Changes that were over then: whoever has seen more may count the old one again, if it came back since.
    changes: u32,
}

/// Why peer sets keep a gateway from granting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ConfigurationMismatch {
    /// The two have no peer set in common.
    Other,
    /// A change of the peer set is not over, and whoever asks does not count the one that is left.
    Changing,
    /// A change has gone too far for a candidate of the old peer set alone.
    Left,
}

/// The peer sets of one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PeerConfiguration {
    /// The one that the file names.
    file: KnownPeerSet,
    /// The one that is to be won, now and in the end: the file's, unless that is behind.
    now: KnownPeerSet,
    base: Option<KnownPeerSet>,
    retired: Option<u64>,
    changes: u32,
    bars: Vec<Bar>,
    seasoned: bool,
}

impl PeerConfiguration {
    /// Those of a gateway that starts from nothing.
    pub fn new(names: Vec<PeerId>) -> PeerConfiguration {
        let now = KnownPeerSet::of(names);
        PeerConfiguration {
            file: now.clone(),
            now,
            base: None,
            retired: None,
            changes: 0,
            bars: Vec::new(),
            seasoned: false,
        }
    }

    /// What others are told.
    pub fn told(&self) -> ConfigurationReport {
        let base = self.base.as_ref().map(|base| base.digest);
        let PeerConfiguration {
            retired,
            changes,
            seasoned,
            ..
        } = *self;
        ConfigurationReport {
            now: self.now.digest,
            base,
            retired,
            changes,
            seasoned,
        }
    }

    /// Each peer set in which a majority has to be won.
    pub fn each(&self) -> impl Iterator<Item = &KnownPeerSet> {
        self.base.iter().chain([&self.now])
    }

    /// Everybody who has a say, sorted, and those whom the file names.
    pub fn names(&self) -> Vec<PeerId> {
        let bound = self.each().chain([&self.file]);
        let mut names: Vec<PeerId> = bound
            .filter_map(|bound| bound.names.as_deref())
            .flatten()
            .copied()
            .collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Whether the file names this one.
    pub fn has_now(&self, name: PeerId) -> bool {
        self.now
            .names
            .as_ref()
            .is_some_and(|names| names.binary_search(&name).is_ok())
    }

    /// Whether these names are a majority of each peer set. Where names are not known nobody is.
    pub fn are_won_by(&self, has: impl Fn(PeerId) -> bool) -> bool {
        self.each().all(|bound| {
            let won = |names: &Vec<PeerId>| {
                names.iter().filter(|name| has(**name)).count() > names.len() / 2
            };
            bound.names.as_ref().is_some_and(won)
        })
    }

    /// A change of the peer set is on its way.
    pub fn is_changing(&self) -> bool {
        self.base.is_some()
    }

    /// It has taken part in a epoch since it began.
    pub fn is_seasoned(&self) -> bool {
        self.seasoned
    }

    /// It takes part in a epoch.
    pub fn season(&mut self) {
        self.seasoned = true;
    }

    /// The file names another peer set. The one that is in use stays one to be won until that is over everywhere: by this
    /// a change may be taken back, or replaced, at any time.
    pub fn set(&mut self, names: Vec<PeerId>) {
        let next = KnownPeerSet::of(names);
        let base = self.base.take().unwrap_or_else(|| self.now.clone());
        self.base = (base.digest != next.digest).then_some(base);
        (self.file, self.now) = (next.clone(), next);
    }

    /// The leadership was won by a majority of each: by the old peer set alone nobody can win any more, and this gateway need
    /// not either.
    pub fn won(&mut self) {
        if let Some(base) = self.base.take() {
            self.retired = Some(base.digest);
            self.changes = self.changes.saturating_add(1);
        }
        self.seasoned = true;
    }

    /// Another gateway tells its peer sets. By one that was retired nobody is bound any more.
    pub fn hear(&mut self, theirs: ConfigurationReport) {
        let next = theirs.oldest();
        let names = |digest: u64| {
            self.file
                .names
                .clone()
                .filter(|_| digest == self.file.digest)
        };
        let follows = |digest: u64| KnownPeerSet {
            digest,
            names: names(digest),
        };
        if let Some(retired) = theirs.retired {
            if self
                .base
                .as_ref()
                .is_some_and(|base| base.digest == retired)
            {
                self.base = (next != self.now.digest).then(|| follows(next));
                self.retired = theirs.retired;
            } else if self.base.is_none()
                && self.now.digest == retired
                && theirs.changes > self.changes
            {
                // The file of this gateway is behind: it is bound by what the others use, whose names it has not read.
                self.now = follows(next);
                self.retired = theirs.retired;
            }
        }
        if self.told().oldest() == next {
            self.changes = self.changes.max(theirs.changes);
        }
    }

    /// Whether this gateway may grant to one with such peer sets.
    ///
    /// # Errors
    /// What is in the way.
    pub fn admits(&self, theirs: ConfigurationReport) -> Result<(), ConfigurationMismatch> {
        let barred = |bar: &Bar| {
            theirs.counts(bar.old) && !theirs.counts(bar.must) && theirs.changes <= bar.changes
        };
        if self.bars.iter().any(barred) {
            return Err(ConfigurationMismatch::Left);
        }
        match &self.base {
            Some(base) if theirs.counts(base.digest) => Ok(()),
            Some(_) if theirs.counts(self.now.digest) => Err(ConfigurationMismatch::Changing),
            None if theirs.counts(self.now.digest) => Ok(()),
            _ => Err(ConfigurationMismatch::Other),
        }
    }

    /// A grant was given to one with such peer sets: from now on this gateway holds others to the change too.
    pub fn granted(&mut self, theirs: ConfigurationReport) {
        let Some(old) = theirs.base else { return };
        let bar = Bar {
            old,
            must: theirs.now,
            changes: theirs.changes,
        };
        if !self.bars.contains(&bar) {
            self.bars.push(bar);
            if self.bars.len() > REMEMBERED {
                self.bars.remove(0);
            }
        }
    }

    /// Whether another gateway's peer sets are in use where this one's are not, or not yet alone: one that has just begun
    /// waits for the change.
    pub fn is_elsewhere(&self, theirs: ConfigurationReport) -> bool {
        theirs.seasoned && !self.seasoned && theirs.oldest() != self.told().oldest()
    }
}
