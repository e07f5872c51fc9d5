//! Configuration changes: active jobs take over the new attributes of their queue's route.

use sagetrail_cluster_config::ConfigDocument;
use sagetrail_protocol::service::ConfigInForce;

use super::Scheduler;
use crate::ids::JobId;
use crate::job::QueueAttributes;

impl Scheduler {
    /// Adopts a configuration. Ignores it if it is not newer than the current one or does not parse.
    pub(super) fn adopt_config(&mut self, config: &ConfigInForce) {
        let current = self.config.as_ref().map(|current| current.version);
        if current.is_some_and(|version| version >= config.version) {
            return;
        }
        match ConfigDocument::parse_stored(&config.document) {
            Ok(document) => self.config = Some(document),
            Err(error) => {
                log::error!(
                    "ignoring configuration that does not parse: term={} version={} error={error}",
                    self.term,
                    config.version
                );
                return;
            }
        }
        for job_id in self.jobs.active_ids() {
            self.update_queue_attributes(job_id);
        }
        self.placement_due = true;
    }

    /// Updates a job's queue attributes from the route of its queue. Without a route of that name they stay as they
    /// are.
    fn update_queue_attributes(&mut self, job_id: JobId) {
        let Some(job) = self.jobs.get_mut(job_id) else {
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
