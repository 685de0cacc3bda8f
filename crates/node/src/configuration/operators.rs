//! The gRPC service for operators.

use crate::configuration::sync_task::commit;
use crate::state::{ChangeError, NodeShared};
use skylarkshed_core::{
    CatalogState, ClockTime, ConfigurationChange, CustomerEntry, KeyHash, MoveEvent, MoveEventKind,
    RevisionNumber, RouteEntry, ServiceEntry, ServiceKind, UpstreamEntry, VersionEntry,
};
use skylarkshed_operator::schema::{
    ChangeReply, DescribeReply, DescribeRequest, News, Operator, PutCustomerRequest,
    PutServiceRequest, PutVersionRequest, ReverseMoveRequest, StartMoveRequest, Upstream,
    VmRevision, WatchReply, WatchRequest,
};
use skylarkshed_policy::first_share_ppm;
use std::sync::Arc;
use volo_grpc::{Code, Request, Response, Status};

const MAX_NAME_BYTES: usize = 64;
const MAX_WATCH_TIME: ClockTime = ClockTime::from_millis(30_000);
const WATCH_INTERVAL: ClockTime = ClockTime::from_millis(50);
const MAX_MOVE_TIME: ClockTime = ClockTime::from_millis(30 * 24 * 3_600_000);

/// Implements the gRPC service for operators.
#[derive(Clone)]
pub(crate) struct OperatorService {
    pub(crate) shared: Arc<NodeShared>,
}

impl Operator for OperatorService {
    async fn put_service(
        &self,
        request: Request<PutServiceRequest>,
    ) -> Result<Response<ChangeReply>, Status> {
        let request = request.into_inner();
        check_name("name", &request.name).map_err(invalid_argument)?;
        let kind = match request.kind.inner() {
            0 => ServiceKind::Model,
            1 => ServiceKind::Plain,
            other => return Err(invalid_argument(format!("unknown service kind {other}"))),
        };
        let routes = request.routes.iter().map(|route| RouteEntry {
            name: route.name.to_string(),
            idempotent: route.idempotent,
        });
        let entry = ServiceEntry {
            name: request.name.as_str().into(),
            kind,
            routes: routes.collect(),
        };
        for route in &entry.routes {
            check_name("route", &route.name).map_err(invalid_argument)?;
        }
        self.commit_change(&request.change_id, ConfigurationChange::PutService(entry))
            .await
    }

    async fn put_version(
        &self,
        request: Request<PutVersionRequest>,
    ) -> Result<Response<ChangeReply>, Status> {
        let request = request.into_inner();
        check_name("name", &request.name).map_err(invalid_argument)?;
        let upstreams: Result<Vec<_>, String> =
            request.upstreams.iter().map(to_upstream_entry).collect();
        let version = VersionEntry {
            name: request.name.as_str().into(),
            adapter: request.adapter.to_string(),
            upstreams: upstreams.map_err(invalid_argument)?,
        };
        let service = request.service.as_str().into();
        let change = ConfigurationChange::PutVersion { service, version };
        self.commit_change(&request.change_id, change).await
    }

    async fn put_customer(
        &self,
        request: Request<PutCustomerRequest>,
    ) -> Result<Response<ChangeReply>, Status> {
        let request = request.into_inner();
        check_name("name", &request.name).map_err(invalid_argument)?;
        if request.keys.iter().any(|key| key.is_empty()) {
            return Err(invalid_argument("a key must not be empty".to_owned()));
        }
        let entry = CustomerEntry {
            name: request.name.as_str().into(),
            keys: request.keys.iter().map(|key| KeyHash::of(key)).collect(),
            services: request
                .services
                .iter()
                .map(|name| name.as_str().into())
                .collect(),
            weight: request.weight.max(1),
            requests_per_s: request.requests_per_s,
            concurrency: request.concurrency,
        };
        self.commit_change(&request.change_id, ConfigurationChange::PutCustomer(entry))
            .await
    }

    async fn start_move(
        &self,
        request: Request<StartMoveRequest>,
    ) -> Result<Response<ChangeReply>, Status> {
        let request = request.into_inner();
        let within = ClockTime::from_millis(request.within_ms);
        if within == ClockTime::ZERO || within > MAX_MOVE_TIME {
            return Err(invalid_argument(
                "`within_ms` must be from 1 ms to 30 days".to_owned(),
            ));
        }
        let started = ClockTime::wall_clock_now();
        let change = ConfigurationChange::StartMove {
            service: request.service.as_str().into(),
            to: request.to_version.as_str().into(),
            share_ppm: self.first_share(&request.service),
            started,
            deadline: started + within,
        };
        self.commit_change(&request.change_id, change).await
    }

    async fn reverse_move(
        &self,
        request: Request<ReverseMoveRequest>,
    ) -> Result<Response<ChangeReply>, Status> {
        let request = request.into_inner();
        let change = ConfigurationChange::ReverseMove {
            service: request.service.as_str().into(),
            of: None,
            reason: "an operator asked for it".to_owned(),
        };
        self.commit_change(&request.change_id, change).await
    }

    async fn describe(
        &self,
        _request: Request<DescribeRequest>,
    ) -> Result<Response<DescribeReply>, Status> {
        let current = self.shared.configuration.current();
        let configuration = describe(&current);
        let vms = self.vm_revisions(current.revision);
        let revision = current.revision.0;
        Ok(Response::new(DescribeReply {
            revision,
            configuration: configuration.into(),
            vms,
        }))
    }

    async fn watch(&self, request: Request<WatchRequest>) -> Result<Response<WatchReply>, Status> {
        let request = request.into_inner();
        let after = RevisionNumber(request.after);
        let wait = ClockTime::from_millis(request.wait_ms).min(MAX_WATCH_TIME);
        let end = self.shared.clock.now() + wait;
        loop {
            let current = self.shared.configuration.current();
            let news: Vec<News> = current
                .move_events
                .iter()
                .filter(|item| item.position > after)
                .map(to_wire_event)
                .collect();
            if !news.is_empty() || self.shared.clock.now() >= end {
                return Ok(Response::new(WatchReply { news }));
            }
            tokio::time::sleep(WATCH_INTERVAL.to_duration()).await;
        }
    }
}

impl OperatorService {
    async fn commit_change(
        &self,
        change_id: &str,
        change: ConfigurationChange,
    ) -> Result<Response<ChangeReply>, Status> {
        check_name("change_id", change_id).map_err(invalid_argument)?;
        let revision = commit(&self.shared, change_id, change).await;
        let revision = revision.map_err(|error| to_status(&error))?;
        Ok(Response::new(ChangeReply {
            revision: revision.0,
        }))
    }

    /// Returns the initial traffic share of a move, from the number of upstreams of the
    /// version that serves now.
    fn first_share(&self, service: &str) -> u32 {
        let catalog = self.shared.configuration.current();
        let state = catalog.services.get(service);
        let serving = state.and_then(|state| state.versions.get(state.serving.as_ref()?));
        first_share_ppm(serving.map_or(1, |version| version.upstreams.len()))
    }

    fn vm_revisions(&self, own: RevisionNumber) -> Vec<VmRevision> {
        let membership = self.shared.membership.lock().expect("not poisoned");
        let own_record = (membership.own(), own);
        let records = std::iter::once(own_record).chain(membership.present());
        let vms = records.map(|(record, revision)| VmRevision {
            vm: record.name.to_string().into(),
            zone: record.zone.to_string().into(),
            revision: revision.0,
        });
        vms.collect()
    }
}

fn describe(current: &CatalogState) -> String {
    let mut value = serde_json::to_value(current).expect("the configuration is plain data");
    if let Some(customers) = value["customers"].as_object_mut() {
        for customer in customers.values_mut() {
            customer["keys"] = serde_json::Value::from("hidden");
        }
    }
    value.to_string()
}

fn to_upstream_entry(upstream: &Upstream) -> Result<Arc<UpstreamEntry>, String> {
    check_name("upstream", &upstream.name)?;
    check_name("zone", &upstream.zone)?;
    let address = upstream.address.parse();
    let address =
        address.map_err(|_| format!("`{}` is not an IP address with a port", upstream.address))?;
    Ok(Arc::new(UpstreamEntry {
        name: upstream.name.as_str().into(),
        address,
        zone: upstream.zone.as_str().into(),
        checks_fencing: upstream.checks_fencing,
    }))
}

fn to_wire_event(item: &MoveEvent) -> News {
    let event = match item.event {
        MoveEventKind::Started => "started",
        MoveEventKind::Stepped => "stepped",
        MoveEventKind::Finished => "finished",
        MoveEventKind::Reversed => "reversed",
    };
    News {
        position: item.position.0,
        service: item.service.to_string().into(),
        to_version: item.to.to_string().into(),
        event: event.into(),
        detail: item.detail.clone().into(),
    }
}

fn check_name(field: &str, name: &str) -> Result<(), String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    let has_valid_length = !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    if has_valid_length && name.chars().all(is_allowed) {
        return Ok(());
    }
    Err(format!(
        "`{field}` must have 1 to 64 letters, digits, dots, dashes or underscores"
    ))
}

fn invalid_argument(message: String) -> Status {
    Status::new(Code::InvalidArgument, message)
}

fn to_status(error: &ChangeError) -> Status {
    let code = match error {
        ChangeError::Invalid(_) => Code::FailedPrecondition,
        ChangeError::Conflict(_) => Code::Aborted,
        ChangeError::ReusedId(_) => Code::AlreadyExists,
        ChangeError::Platform(_) => Code::Unavailable,
        ChangeError::BadRow(_) => Code::DataLoss,
    };
    Status::new(code, error.to_string())
}
