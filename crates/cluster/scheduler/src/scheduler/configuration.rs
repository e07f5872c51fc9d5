//! The configuration in force: jobs follow their queue's route.

use sagetrail_cluster_config::ConfigDocument;
use sagetrail_protocol::service::ConfigInForce;

use super::Scheduler;
use crate::ids::JobId;
use crate::job::QueueAttributes;

impl Scheduler {
    /// Adopts a newer configuration; one that is not newer, or does not parse, changes nothing.
    pub(super) fn adopt_config(&mut self, config: &ConfigInForce) {
        let current = self.config.as_ref().map(|current| current.version);
        if current.is_some_and(|version| version >= config.version) {
            return;
        }
        match ConfigDocument::parse_stored(&config.document) {
            Ok(document) => self.config = Some(document),
            Err(error) => {
                log::error!(
                    "configuration does not parse: term={} version={} error={error}",
                    self.term,
                    config.version
                );
                return;
            }
        }
        for id in self.jobs.active_ids() {
            self.follow_route(id);
        }
        self.placement_due = true;
    }

    /// A job takes over what its queue's route says now; without a route it keeps what it has.
    fn follow_route(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let config = self.config.as_ref();
        let Some(route) = config.and_then(|config| config.route_named(&job.attributes.queue.name))
        else {
            return;
        };
        let queue = QueueAttributes::from(route);
        if queue == job.attributes.queue {
            return;
        }
        job.attributes.queue = queue;
        for step in job.all_steps() {
            self.refresh_step(step);
        }
    }
}
