//! Request classes: what overload control needs to know of each, and the order in which their service is reduced.

/// Shortest latency objective that counts when value per time is computed, in seconds.
const MIN_LATENCY_OBJECTIVE_SECONDS: f64 = 1e-3;

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The name, unique among the classes.
    pub name: String,
    /// The value of a response that arrives in time.
    pub priority_weight: f64,
    /// Responses within this time count as in time, in seconds; it also stands for the work of a request.
    pub latency_objective_seconds: f64,
    /// The client gives up after this time, in seconds.
    pub deadline_seconds: f64,
    /// The effect of running a request twice.
    pub idempotency: Idempotency,
}

impl Class {
    /// The value of a response for each second of work; classes of low value are shed first.
    pub fn value(&self) -> f64 {
        let work_seconds = self
            .latency_objective_seconds
            .max(MIN_LATENCY_OBJECTIVE_SECONDS);
        self.priority_weight / work_seconds
    }
}

/// The effect of running a request twice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// The second run changes nothing.
    Idempotent,
    /// All servers drop duplicates, by an idempotency key, for this long after the first attempt was sent, in seconds. 0
    /// where only some servers do.
    Keyed(f64),
    /// The effect would happen twice.
    NotIdempotent,
}

/// The positions of the classes in the order in which their service is reduced: the lowest value per time first.
pub fn lowest_priority_first(classes: &[Class]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..classes.len()).collect();
    order.sort_by(|a, b| {
        let by_value = classes[*a].value().total_cmp(&classes[*b].value());
        by_value.then(a.cmp(b))
    });
    order
}
