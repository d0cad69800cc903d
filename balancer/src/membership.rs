//! Applies lists of backends to the node's state: which backends there are in each zone, and which of them
//! are the node's subset.

use std::collections::BTreeSet;

use crate::api::{BackendId, BackendState, ListScope, Member, Weights};
use crate::policy::tuning::MIN_LOAD_LIMIT;
use crate::random::{ID_MULTIPLIER, hash_mix};
use crate::state::{Backend, Balancer, Health};

impl Balancer {
    /// Applies a list. The subset of each zone is the `subset_size` backends in service with the lowest
    /// ranks.
    pub(crate) fn apply_membership(&mut self, scope: ListScope, members: Vec<Member>, subset_size: usize) {
        if scope != ListScope::Changes {
            self.remove_unlisted(&members);
        }
        if self.settings.weights == Weights::Live {
            self.learn_idle_weights(&members);
        }
        for member in members {
            self.apply_member(member);
        }
        let is_kept =
            |backend: &Backend| backend.member.state != BackendState::Removed || backend.in_flight > 0;
        self.backends.retain(|_, backend| is_kept(backend));
        self.index_backends();
        self.select_subsets(subset_size);
        // The initial window admits `MIN_LOAD_LIMIT` requests, which overload no backend, for each backend in
        // this node's even share of the home zone.
        let home = self.settings.home.0 as usize;
        let initial_size = MIN_LOAD_LIMIT * self.zones[home].in_service / self.nodes_per_zone();
        self.zones[home].window.raise_initial_size(initial_size);
        self.update_probe_candidates();
    }

    fn remove_unlisted(&mut self, members: &[Member]) {
        let listed: BTreeSet<BackendId> = members.iter().map(|member| member.backend).collect();
        for backend in self.backends.values_mut() {
            if !listed.contains(&backend.member.backend) {
                backend.member.state = BackendState::Removed;
            }
        }
    }

    fn learn_idle_weights(&mut self, members: &[Member]) {
        for member in members.iter().filter(|member| member.weight.is_finite()) {
            let idle_weight = self.idle_weights.entry(member.machine_kind).or_insert(0.0);
            *idle_weight = idle_weight.max(member.weight);
        }
    }

    fn apply_member(&mut self, mut member: Member) {
        let is_live = self.settings.weights == Weights::Live;
        let listed_weight = member.weight;
        if is_live {
            member.weight = self.idle_weights.get(&member.machine_kind).copied().unwrap_or(1.0);
        }
        let backend = self.backends.entry(member.backend).or_insert_with(|| Backend::new(member));
        if backend.member.online_since != member.online_since {
            // The backend has restarted: estimates of the previous process are discarded, but attempts that
            // were sent to that process are still in flight.
            let in_flight = backend.in_flight;
            *backend = Backend { in_flight, ..Backend::new(member) };
        }
        backend.member = member;
        backend.subset_rank = hash_mix(self.seed ^ u64::from(member.backend.0).wrapping_mul(ID_MULTIPLIER));
        backend.listed_load =
            (is_live && listed_weight > 0.0).then(|| (member.weight / listed_weight - 1.0).max(0.0));
    }

    /// Rebuilds the index by zone and the counts over all backends.
    fn index_backends(&mut self) {
        self.zone_backends.iter_mut().for_each(Vec::clear);
        for (&id, backend) in &self.backends {
            if let Some(zone_backends) = self.zone_backends.get_mut(backend.member.zone.0 as usize) {
                zone_backends.push(id);
            }
        }
        self.cached_zone_utilisation.iter().for_each(|utilisation| utilisation.set(None));
        self.in_service_count = self.backends.values().filter(|backend| backend.is_in_service()).count();
        let is_ejected = |backend: &&Backend| backend.health != Health::Healthy;
        self.ejected_count = self.backends.values().filter(is_ejected).count();
    }

    fn select_subsets(&mut self, subset_size: usize) {
        let zones = self.zones.iter_mut().zip(&self.zone_backends).zip(&mut self.zone_subsets);
        for ((view, members), subset) in zones {
            let backend = |id: &BackendId| self.backends.get(id);
            let in_service = members.iter().filter_map(backend).filter(|backend| backend.is_in_service());
            let mut ranks: Vec<u64> = in_service.map(|backend| backend.subset_rank).collect();
            view.in_service = ranks.len() as f64;
            view.subset_cutoff = match subset_size.checked_sub(1).filter(|&last| last < ranks.len()) {
                Some(last) => *ranks.select_nth_unstable(last).1,
                None => u64::MAX,
            };
            let is_in_subset =
                |id: &&BackendId| backend(id).is_some_and(|b| b.subset_rank <= view.subset_cutoff);
            subset.clear();
            subset.extend(members.iter().filter(is_in_subset));
        }
    }
}
