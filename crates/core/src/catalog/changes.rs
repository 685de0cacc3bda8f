//! Application of each kind of configuration change.

use super::{
    CatalogError, CatalogState, ConfigurationChange, MoveEntry, MoveEvent, MoveEventKind,
    MoveState, ServiceEntry, ServiceState, VersionEntry, FULL_SHARE_PPM,
};
use crate::clock::ClockTime;
use crate::ids::RevisionNumber;
use crate::names::{ServiceName, VersionName};
use std::collections::BTreeMap;
use std::sync::Arc;

impl CatalogState {
    pub(super) fn apply_change(
        &mut self,
        change: &ConfigurationChange,
    ) -> Result<(), CatalogError> {
        match change {
            ConfigurationChange::PutService(entry) => self.put_service(entry),
            ConfigurationChange::PutVersion { service, version } => {
                self.put_version(service, version)?;
            }
            ConfigurationChange::PutCustomer(entry) => {
                self.customers
                    .insert(entry.name.clone(), Arc::new(entry.clone()));
            }
            ConfigurationChange::StartMove {
                service,
                to,
                share_ppm,
                started,
                deadline,
            } => {
                self.start_move(service, to, *share_ppm, (*started, *deadline))?;
            }
            ConfigurationChange::StepMove {
                service,
                of,
                share_ppm,
            } => {
                self.step_move(service, *of, *share_ppm)?;
            }
            ConfigurationChange::FinishMove { service, of } => {
                self.end_move(service, Some(*of), MoveState::Finished, "")?;
            }
            ConfigurationChange::ReverseMove {
                service,
                of,
                reason,
            } => {
                self.end_move(service, *of, MoveState::Reversed, reason)?;
            }
        }
        Ok(())
    }

    fn put_service(&mut self, entry: &ServiceEntry) {
        let state = self
            .services
            .entry(entry.name.clone())
            .or_insert_with(|| ServiceState {
                entry: entry.clone(),
                versions: BTreeMap::new(),
                serving: None,
                latest_move: None,
            });
        state.entry = entry.clone();
    }

    fn put_version(
        &mut self,
        service: &ServiceName,
        version: &VersionEntry,
    ) -> Result<(), CatalogError> {
        let state = self.service_mut(service)?;
        state
            .versions
            .insert(version.name.clone(), Arc::new(version.clone()));
        state.serving.get_or_insert_with(|| version.name.clone());
        Ok(())
    }

    fn start_move(
        &mut self,
        service: &ServiceName,
        to: &VersionName,
        share_ppm: u32,
        (started, deadline): (ClockTime, ClockTime),
    ) -> Result<(), CatalogError> {
        let revision = self.revision;
        let state = self.service_mut(service)?;
        if let Some(entry) = state
            .latest_move
            .as_ref()
            .filter(|e| e.state == MoveState::Running)
        {
            return Err(CatalogError::MoveRunning(service.clone(), entry.to.clone()));
        }
        let unknown = || CatalogError::UnknownVersion(service.clone(), to.clone());
        if !state.versions.contains_key(to) {
            return Err(unknown());
        }
        let from = state.serving.clone().ok_or_else(unknown)?;
        if from == *to {
            return Err(CatalogError::AlreadyServing(service.clone(), to.clone()));
        }
        if share_ppm >= FULL_SHARE_PPM {
            return Err(CatalogError::InvalidShare);
        }
        state.latest_move = Some(MoveEntry {
            from,
            to: to.clone(),
            state: MoveState::Running,
            share_ppm,
            started,
            deadline,
            revision,
        });
        self.record_event(
            service,
            to.clone(),
            MoveEventKind::Started,
            format!("{share_ppm} ppm"),
        );
        Ok(())
    }

    fn step_move(
        &mut self,
        service: &ServiceName,
        move_revision: RevisionNumber,
        share_ppm: u32,
    ) -> Result<(), CatalogError> {
        let entry = self.running_move(service, Some(move_revision))?;
        if share_ppm <= entry.share_ppm || share_ppm >= FULL_SHARE_PPM {
            return Err(CatalogError::InvalidShare);
        }
        entry.share_ppm = share_ppm;
        let to = entry.to.clone();
        self.record_event(
            service,
            to,
            MoveEventKind::Stepped,
            format!("{share_ppm} ppm"),
        );
        Ok(())
    }

    fn end_move(
        &mut self,
        service: &ServiceName,
        move_revision: Option<RevisionNumber>,
        end_state: MoveState,
        detail: &str,
    ) -> Result<(), CatalogError> {
        let entry = self.running_move(service, move_revision)?;
        entry.state = end_state;
        let to = entry.to.clone();
        let mut event = MoveEventKind::Reversed;
        if end_state == MoveState::Finished {
            event = MoveEventKind::Finished;
            self.service_mut(service)?.serving = Some(to.clone());
        }
        self.record_event(service, to, event, detail.to_owned());
        Ok(())
    }

    fn running_move(
        &mut self,
        service: &ServiceName,
        move_revision: Option<RevisionNumber>,
    ) -> Result<&mut MoveEntry, CatalogError> {
        let not_running = CatalogError::NoMoveRunning(service.clone());
        let state = self.service_mut(service)?;
        let running = state.latest_move.as_mut().filter(|entry| {
            entry.state == MoveState::Running
                && move_revision.is_none_or(|revision| revision == entry.revision)
        });
        running.ok_or(not_running)
    }

    fn service_mut(&mut self, service: &ServiceName) -> Result<&mut ServiceState, CatalogError> {
        self.services
            .get_mut(service)
            .ok_or_else(|| CatalogError::UnknownService(service.clone()))
    }

    fn record_event(
        &mut self,
        service: &ServiceName,
        to: VersionName,
        event: MoveEventKind,
        detail: String,
    ) {
        let position = self.revision;
        self.move_events.push(MoveEvent {
            position,
            service: service.clone(),
            to,
            event,
            detail,
        });
    }
}
