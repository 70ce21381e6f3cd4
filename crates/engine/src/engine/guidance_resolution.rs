//! Conversion of advice and limits from names to ids. Entries with unknown names are ignored.

use chutegrade_policy::{
    Advice, ClassRetry, ClassSet, ClassShare, Limits, ServerExclusion, WeightFactor,
};

use super::Engine;
use crate::guidance::{
    NamedClassRetry, NamedClassShare, NamedExclusion, NamedWeightFactor, OverloadLimits,
    PluginAdvice,
};

impl Engine {
    /// Resolves the names in the advice of plug-ins to ids.
    pub(super) fn resolve_advice(&self, advice: &PluginAdvice) -> Advice {
        let factors = advice.factors.iter();
        let excluded = advice.excluded.iter();
        Advice {
            factors: factors
                .filter_map(|factor| self.resolve_factor(factor))
                .collect(),
            caps: self.resolve_shares(&advice.caps),
            no_retry: self.resolve_class_set(&advice.no_retry),
            excluded: excluded
                .filter_map(|exclusion| self.resolve_exclusion(exclusion))
                .collect(),
            separate_tables: self.resolve_class_set(&advice.separate_tables),
            expires_at: advice.expires_at,
        }
    }

    /// Resolves the names in the limits of the overload manager to ids.
    pub(super) fn resolve_limits(&self, limits: &OverloadLimits) -> Limits {
        let retries = limits.retries.iter();
        Limits {
            min_shed_share: limits.min_shed_share,
            shed_shares: limits.shed_shares,
            admitted: self.resolve_shares(&limits.admitted),
            retries: retries
                .filter_map(|retry| self.resolve_retry(retry))
                .collect(),
            expires_at: limits.expires_at,
        }
    }

    fn resolve_class_set(&self, names: &[String]) -> ClassSet {
        let classes = names.iter().filter_map(|name| self.names.class(name));
        classes.fold(ClassSet::default(), |set, class| {
            set.with(usize::from(class.0))
        })
    }

    fn resolve_factor(&self, factor: &NamedWeightFactor) -> Option<WeightFactor> {
        let class = match &factor.class {
            Some(name) => Some(self.names.class(name)?),
            None => None,
        };
        Some(WeightFactor {
            server: self.names.server(&factor.server)?,
            zone: self.resolve_zone(&factor.zone).ok()?,
            class,
            factor: factor.factor,
        })
    }

    fn resolve_exclusion(&self, exclusion: &NamedExclusion) -> Option<ServerExclusion> {
        Some(ServerExclusion {
            server: self.names.server(&exclusion.server)?,
            until: exclusion.until,
        })
    }

    fn resolve_shares(&self, shares: &[NamedClassShare]) -> Vec<ClassShare> {
        let resolved = shares.iter().filter_map(|named| {
            let class = self.names.class(&named.class)?;
            let share = named.share;
            Some(ClassShare { class, share })
        });
        resolved.collect()
    }

    fn resolve_retry(&self, named: &NamedClassRetry) -> Option<ClassRetry> {
        Some(ClassRetry {
            class: self.names.class(&named.class)?,
            retry: named.retry,
        })
    }
}
