//! Counters, gauges and histograms whose labels have few values, all known in advance.
//!
//! A metric that could not be registered (its name is invalid or taken twice) records nothing and is logged as an error;
//! the process goes on.

use prometheus::core::Collector;
use prometheus::{HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};
use std::marker::PhantomData;
use std::time::Duration;

/// Name and help text of a metric.
#[derive(Debug, Clone, Copy)]
pub struct Description {
    /// Its name, with the unit as suffix.
    pub name: &'static str,
    /// What it counts or measures.
    pub help: &'static str,
}

/// Upper bounds of the buckets of durations, in seconds.
const SECONDS_BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// A label: an enum of its values. To be made by the macro `label!` beside it.
pub trait Label: Copy + 'static {
    /// Its name.
    const NAME: &'static str;
    /// All its values, in the order of their indices.
    const ALL: &'static [Self];
    /// The value as text.
    fn value(self) -> &'static str;
    /// Its place in [`Label::ALL`].
    fn index(self) -> usize;
}

/// Defines an enum that is a [`Label`], with the text of each value.
macro_rules! label {
    ($(#[$attribute:meta])* $label:ident named $name:literal {
        $($(#[$value_attribute:meta])* $value:ident => $text:literal,)+
    }) => {
        $(#[$attribute])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum $label {
            $($(#[$value_attribute])* $value,)+
        }

        impl $crate::metrics::family::Label for $label {
            const NAME: &'static str = $name;
            const ALL: &'static [$label] = &[$($label::$value),+];

            fn value(self) -> &'static str {
                match self {
                    $($label::$value => $text),+
                }
            }

            fn index(self) -> usize {
                self as usize
            }
        }
    };
}
pub(crate) use label;

/// A count that only rises.
pub struct Counter(Option<IntCounter>);

impl Counter {
    /// Counts one.
    pub fn increment(&self) {
        self.add(1);
    }

    /// Counts so many.
    pub fn add(&self, count: u64) {
        if let Some(counter) = &self.0 {
            counter.inc_by(count);
        }
    }

    /// The count so far.
    pub fn get(&self) -> u64 {
        self.0.as_ref().map_or(0, IntCounter::get)
    }
}

/// Counters by the values of one label.
pub struct CounterFamily<L> {
    counters: Vec<Counter>,
    label: PhantomData<L>,
}

impl<L: Label> CounterFamily<L> {
    /// The counter of one value.
    pub fn of(&self, value: L) -> &Counter {
        &self.counters[value.index()]
    }
}

/// Counters by the values of two labels.
pub struct CounterGrid<A, B> {
    counters: Vec<Counter>,
    labels: PhantomData<(A, B)>,
}

impl<A: Label, B: Label> CounterGrid<A, B> {
    /// The counter of a pair of values.
    pub fn of(&self, first: A, second: B) -> &Counter {
        &self.counters[first.index() * B::ALL.len() + second.index()]
    }

    /// The sum over the second label.
    pub fn sum(&self, first: A) -> u64 {
        B::ALL
            .iter()
            .map(|second| self.of(first, *second).get())
            .sum()
    }
}

/// A value that rises and falls.
pub struct Gauge(Option<IntGauge>);

impl Gauge {
    /// Sets the value.
    pub fn set(&self, value: u64) {
        if let Some(gauge) = &self.0 {
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        }
    }

    /// Sets the value to 1 or 0.
    pub fn set_flag(&self, value: bool) {
        self.set(u64::from(value));
    }
}

/// A distribution of durations.
pub struct Durations(Option<prometheus::Histogram>);

impl Durations {
    /// Takes a duration in.
    pub fn observe(&self, duration: Duration) {
        if let Some(histogram) = &self.0 {
            histogram.observe(duration.as_secs_f64());
        }
    }
}

/// Makes metrics and puts them into a registry.
pub struct Registrar<'a> {
    registry: &'a Registry,
}

impl Registrar<'_> {
    /// A registrar for this registry.
    pub fn new(registry: &Registry) -> Registrar<'_> {
        Registrar { registry }
    }

    /// A counter without labels.
    pub fn counter(&self, described: &Description) -> Counter {
        Counter(self.register(described, IntCounter::new(described.name, described.help)))
    }

    /// Counters by one label.
    pub fn counters<L: Label>(&self, described: &Description) -> CounterFamily<L> {
        let family = self.counter_vector(described, &[L::NAME]);
        let counter = |value: &L| counter_of(family.as_ref(), &[value.value()]);
        CounterFamily {
            counters: L::ALL.iter().map(counter).collect(),
            label: PhantomData,
        }
    }

    /// Counters by two labels.
    pub fn counter_grid<A: Label, B: Label>(&self, described: &Description) -> CounterGrid<A, B> {
        let family = self.counter_vector(described, &[A::NAME, B::NAME]);
        let pairs = A::ALL
            .iter()
            .flat_map(|first| B::ALL.iter().map(|second| (*first, *second)));
        let counter =
            |(first, second): (A, B)| counter_of(family.as_ref(), &[first.value(), second.value()]);
        CounterGrid {
            counters: pairs.map(counter).collect(),
            labels: PhantomData,
        }
    }

    /// A gauge without labels.
    pub fn gauge(&self, described: &Description) -> Gauge {
        Gauge(self.register(described, IntGauge::new(described.name, described.help)))
    }

    /// A histogram of durations, without labels.
    pub fn durations(&self, described: &Description) -> Durations {
        let options =
            HistogramOpts::new(described.name, described.help).buckets(SECONDS_BUCKETS.to_vec());
        Durations(self.register(described, prometheus::Histogram::with_opts(options)))
    }

    fn counter_vector(&self, described: &Description, labels: &[&str]) -> Option<IntCounterVec> {
        let options = Opts::new(described.name, described.help);
        self.register(described, IntCounterVec::new(options, labels))
    }

    fn register<M: Collector + Clone + 'static>(
        &self,
        described: &Description,
        metric: prometheus::Result<M>,
    ) -> Option<M> {
        let registered = metric.and_then(|metric| {
            self.registry.register(Box::new(metric.clone()))?;
            Ok(metric)
        });
        registered
            .inspect_err(|error| {
                log::error!("the metric {} can't be registered: {error}", described.name);
            })
            .ok()
    }
}

fn counter_of(family: Option<&IntCounterVec>, values: &[&str]) -> Counter {
    Counter(family.and_then(|family| family.get_metric_with_label_values(values).ok()))
}
