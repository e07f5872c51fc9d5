//! The start of the processes of a fleet.

use crate::fleet::{Fleet, Process};
use crate::journal::{factory, Journal};
use rand::Rng;
use sagetrail_agent::{AgentNode, AgentSettings};
use sagetrail_control_plane::{CoreNode, CoreSettings};
use sagetrail_gateway::{GatewayNode, GatewaySettings};
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::node::{DiskImage, Outbox};
use sagetrail_protocol::NodeId;
use std::sync::{Arc, Mutex};

impl Fleet {
    pub(crate) fn start_core(&mut self, node: NodeId, seeds: &[NodeId]) {
        let settings = CoreSettings {
            node,
            incarnation: self.random.random::<u64>() | 1,
            seeds: seeds.to_vec(),
            bootstrap: true,
            bounds: Bounds::default(),
            tolerated_machines: (seeds.len() as u32 - 1) / 2,
            seed: self.random.random(),
        };
        let service = factory(Arc::new(Mutex::new(Journal::default())));
        let mut outbox = Outbox::default();
        let process = CoreNode::new(
            settings,
            DiskImage::default(),
            service,
            self.clock(),
            &mut outbox,
        );
        self.add_process(node, Process::Core(Box::new(process)), outbox);
    }

    pub(crate) fn start_gateway(&mut self, node: NodeId, seeds: &[NodeId]) {
        let (incarnation, seed) = (self.random.random::<u64>() | 1, self.random.random());
        let settings = GatewaySettings {
            node,
            incarnation,
            seeds: seeds.to_vec(),
            bounds: Bounds::default(),
            seed,
        };
        let mut outbox = Outbox::default();
        let process = GatewayNode::new(settings, self.clock(), &mut outbox);
        self.add_process(node, Process::Gateway(Box::new(process)), outbox);
    }

    pub(crate) fn start_agent(&mut self, node: NodeId, seeds: &[NodeId]) {
        let settings = AgentSettings {
            node,
            incarnation: self.random.random::<u64>() | 1,
            seeds: seeds.to_vec(),
            bounds: Bounds::default(),
            heartbeat_ms: 1_500,
            runner_address: None,
            seed: self.random.random(),
        };
        let mut outbox = Outbox::default();
        let process = AgentNode::new(settings, self.clock(), &mut outbox);
        self.add_process(node, Process::Agent(Box::new(process)), outbox);
    }
}
