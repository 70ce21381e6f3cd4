//! Request classes as overload control uses them, and the order in which their service is reduced.

/// Lower bound of the latency objective when the value per second is computed, in seconds.
const MIN_LATENCY_OBJECTIVE_SECONDS: f64 = 1e-3;

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The name, unique among the classes.
    pub name: String,
    /// The value of a response that arrives in time.
    pub priority_weight: f64,
    /// Time within which a response counts as in time, in seconds; also the assumed work of a request.
    pub latency_objective_seconds: f64,
    /// Time after which the client gives up, in seconds.
    pub deadline_seconds: f64,
    /// The effect of executing a request twice.
    pub idempotency: Idempotency,
}

impl Class {
    /// Returns the value of a response per second of work; classes of low value are shed first.
    pub fn value(&self) -> f64 {
        let work_seconds = self
            .latency_objective_seconds
            .max(MIN_LATENCY_OBJECTIVE_SECONDS);
        self.priority_weight / work_seconds
    }
}

/// The effect of executing a request twice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// The second execution has no effect.
    Idempotent,
    /// All servers reject duplicates by an idempotency key for this time after the first attempt was sent, in seconds;
    /// 0 if only some servers do.
    Keyed(f64),
    /// The second execution repeats the effect.
    NotIdempotent,
}

/// Returns the positions of the classes in the order in which their service is reduced: the lowest value per second of
/// work first.
pub fn lowest_priority_first(classes: &[Class]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..classes.len()).collect();
    order.sort_by(|a, b| {
        let by_value = classes[*a].value().total_cmp(&classes[*b].value());
        by_value.then(a.cmp(b))
    });
    order
}
