//! The peer sets in which a leader needs a majority. During a change of the configuration there are two, as in joint
//! consensus (Raft, section 6).
//!
//! Invariant: any two leaders have a required peer set in common, and in it a voter that voted for both.

use crate::hash::mix;
use crate::peers::PeerId;
use serde::{Deserialize, Serialize};

/// Maximum number of configuration changes that a voter remembers.
const MAX_OBSERVED_CHANGES: usize = 8;

/// A peer set, by digest and possibly by names.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct KnownPeerSet {
    /// Digest of the names.
    pub digest: u64,
    /// The names, sorted; `None` if the gateway knows only the digest from another gateway.
    pub names: Option<Vec<PeerId>>,
}

impl KnownPeerSet {
    /// The peer set with these names.
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

/// The peer sets of a datagram's sender, by digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigurationReport {
    /// The current peer set.
    pub current: u64,
    /// The previous peer set, while a change is in progress and both need a majority.
    pub previous: Option<u64>,
    /// The peer set that the last completed change replaced: no leader can be elected by it alone any more.
    pub retired: Option<u64>,
    /// Number of completed changes that the sender knows of.
    pub completed_changes: u32,
    /// The sender has taken part in an epoch since its start, so its peer sets are in use.
    pub in_use: bool,
}

impl ConfigurationReport {
    fn requires(&self, digest: u64) -> bool {
        self.current == digest || self.previous == Some(digest)
    }

    /// The older one of the sender's required peer sets.
    fn oldest(&self) -> u64 {
        self.previous.unwrap_or(self.current)
    }
}

/// A change under which this gateway voted: it rejects candidates that require only the old peer set from then on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ObservedChange {
    old: u64,
    new: u64,
    /// Number of completed changes at that time. A candidate that knows more may require the old set again, as another
    /// change may have restored it.
    completed_changes: u32,
}

/// Mismatch of peer sets for which a voter rejects a candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ConfigurationMismatch {
    /// Candidate and voter have no required peer set in common.
    NoCommonPeerSet,
    /// A change is in progress at the voter, and the candidate does not require the previous peer set.
    ChangeInProgress,
    /// The voter has voted under a change, and the candidate requires only the old peer set.
    PeerSetRetired,
}

/// The peer sets of one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PeerConfiguration {
    /// The configured peer set.
    configured: KnownPeerSet,
    /// The current peer set: the configured one, unless the configuration is outdated.
    current: KnownPeerSet,
    previous: Option<KnownPeerSet>,
    retired: Option<u64>,
    completed_changes: u32,
    observed_changes: Vec<ObservedChange>,
    in_use: bool,
}

impl PeerConfiguration {
    /// The peer sets of a gateway that starts without state.
    pub fn new(names: Vec<PeerId>) -> PeerConfiguration {
        let current = KnownPeerSet::of(names);
        PeerConfiguration {
            configured: current.clone(),
            current,
            previous: None,
            retired: None,
            completed_changes: 0,
            observed_changes: Vec::new(),
            in_use: false,
        }
    }

    /// The report that datagrams carry.
    pub fn report(&self) -> ConfigurationReport {
        let previous = self.previous.as_ref().map(|previous| previous.digest);
        let PeerConfiguration {
            retired,
            completed_changes,
            in_use,
            ..
        } = *self;
        ConfigurationReport {
            current: self.current.digest,
            previous,
            retired,
            completed_changes,
            in_use,
        }
    }

    /// The peer sets in which a leader needs a majority.
    pub fn required(&self) -> impl Iterator<Item = &KnownPeerSet> {
        self.previous.iter().chain([&self.current])
    }

    /// All names of the required and of the configured peer sets, sorted.
    pub fn names(&self) -> Vec<PeerId> {
        let peer_set = self.required().chain([&self.configured]);
        let mut names: Vec<PeerId> = peer_set
            .filter_map(|peer_set| peer_set.names.as_deref())
            .flatten()
            .copied()
            .collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Whether the current peer set has this name.
    pub fn has_current(&self, name: PeerId) -> bool {
        self.current
            .names
            .as_ref()
            .is_some_and(|names| names.binary_search(&name).is_ok())
    }

    /// Whether the names for which `has` is true are a majority of each required peer set. A peer set without known names has
    /// none.
    pub fn is_majority(&self, has: impl Fn(PeerId) -> bool) -> bool {
        self.required().all(|peer_set| {
            let is_majority = |names: &Vec<PeerId>| {
                names.iter().filter(|name| has(**name)).count() > names.len() / 2
            };
            peer_set.names.as_ref().is_some_and(is_majority)
        })
    }

    /// Whether a change of the peer set is in progress.
    pub fn is_changing(&self) -> bool {
        self.previous.is_some()
    }

    /// Whether this gateway has taken part in an epoch since its start.
    pub fn is_in_use(&self) -> bool {
        self.in_use
    }

    /// Records that this gateway takes part in an epoch.
    pub fn set_in_use(&mut self) {
        self.in_use = true;
    }

    /// Starts a change to these names. The peer set in use stays required until a leader is elected by both, so a change can
    /// be reverted or replaced at any time.
    pub fn set(&mut self, names: Vec<PeerId>) {
        let next = KnownPeerSet::of(names);
        let previous = self.previous.take().unwrap_or_else(|| self.current.clone());
        self.previous = (previous.digest != next.digest).then_some(previous);
        (self.configured, self.current) = (next.clone(), next);
    }

    /// Completes a change: this gateway was elected by a majority of each required peer set, so nobody can be elected by the
    /// previous one alone.
    pub fn on_elected(&mut self) {
        if let Some(previous) = self.previous.take() {
            self.retired = Some(previous.digest);
            self.completed_changes = self.completed_changes.saturating_add(1);
        }
        self.in_use = true;
    }

    /// Handles another gateway's report. A peer set that it reports as retired is no longer required here.
    pub fn on_report(&mut self, theirs: ConfigurationReport) {
        let next = theirs.oldest();
        let configured_names = |digest: u64| {
            self.configured
                .names
                .clone()
                .filter(|_| digest == self.configured.digest)
        };
        let peer_set_with = |digest: u64| KnownPeerSet {
            digest,
            names: configured_names(digest),
        };
        if let Some(retired) = theirs.retired {
            if self
                .previous
                .as_ref()
                .is_some_and(|previous| previous.digest == retired)
            {
                self.previous = (next != self.current.digest).then(|| peer_set_with(next));
                self.retired = theirs.retired;
            } else if self.previous.is_none()
                && self.current.digest == retired
                && theirs.completed_changes > self.completed_changes
            {
                // The configuration of this gateway is outdated: the others' peer set is required, of which it knows only the
                // digest.
                self.current = peer_set_with(next);
                self.retired = theirs.retired;
            }
        }
        if self.report().oldest() == next {
            self.completed_changes = self.completed_changes.max(theirs.completed_changes);
        }
    }

    /// Checks whether this gateway may vote for a candidate with these peer sets.
    ///
    /// # Errors
    /// The mismatch.
    pub fn admits(&self, theirs: ConfigurationReport) -> Result<(), ConfigurationMismatch> {
        let violates = |change: &ObservedChange| {
            theirs.requires(change.old)
                && !theirs.requires(change.new)
                && theirs.completed_changes <= change.completed_changes
        };
        if self.observed_changes.iter().any(violates) {
            return Err(ConfigurationMismatch::PeerSetRetired);
        }
        match &self.previous {
            Some(previous) if theirs.requires(previous.digest) => Ok(()),
            Some(_) if theirs.requires(self.current.digest) => {
                Err(ConfigurationMismatch::ChangeInProgress)
            }
            None if theirs.requires(self.current.digest) => Ok(()),
            _ => Err(ConfigurationMismatch::NoCommonPeerSet),
        }
    }

    /// Records a vote for a candidate with these peer sets: other candidates have to require the change too.
    pub fn on_vote(&mut self, theirs: ConfigurationReport) {
        let Some(old) = theirs.previous else { return };
        let change = ObservedChange {
            old,
            new: theirs.current,
            completed_changes: theirs.completed_changes,
        };
        if !self.observed_changes.contains(&change) {
            self.observed_changes.push(change);
            if self.observed_changes.len() > MAX_OBSERVED_CHANGES {
                self.observed_changes.remove(0);
            }
        }
    }

    /// Whether this gateway has to wait for a change: another gateway's peer sets are in use and differ from those here,
    /// which are not in use yet.
    pub fn must_wait_for(&self, theirs: ConfigurationReport) -> bool {
        theirs.in_use && !self.in_use && theirs.oldest() != self.report().oldest()
    }
}
