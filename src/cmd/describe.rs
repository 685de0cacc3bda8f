//! `describe`: prints the configuration and the revision of each VM.

use super::operator::{print, run, with_operator_args};
use crate::exit::{CommandError, CommandResult};
use clap::{ArgMatches, Command};
use serde::Serialize;
use skylarkshed_operator::schema::{DescribeReply, DescribeRequest};

#[derive(Serialize)]
struct VmLine {
    vm: String,
    zone: String,
    revision: u64,
}

#[derive(Serialize)]
struct Description {
    revision: u64,
    vms: Vec<VmLine>,
    configuration: serde_json::Value,
}

/// Returns the command line definition of `describe`.
pub(crate) fn make_subcommand() -> Command {
    let command = Command::new("describe").about("Prints the configuration and the VMs' revisions");
    with_operator_args(command)
}

/// Requests the description from one VM and prints it.
pub(crate) fn execute(matches: &ArgMatches) -> CommandResult {
    let request = DescribeRequest::default();
    let reply = run(
        matches,
        |client| async move { client.describe(request).await },
    )?;
    let description = to_description(reply)?;
    print(matches, &description, || to_text(&description));
    Ok(())
}

fn to_description(reply: DescribeReply) -> Result<Description, CommandError> {
    let vms = reply.vms.into_iter().map(|vm| VmLine {
        vm: vm.vm.to_string(),
        zone: vm.zone.to_string(),
        revision: vm.revision,
    });
    let configuration = serde_json::from_str(&reply.configuration);
    Ok(Description {
        revision: reply.revision,
        vms: vms.collect(),
        configuration: configuration.map_err(CommandError::Description)?,
    })
}

fn to_text(description: &Description) -> String {
    let mut lines = vec![format!("revision {}", description.revision)];
    let vms = description.vms.iter();
    lines.extend(vms.map(|vm| format!("{} in {}: revision {}", vm.vm, vm.zone, vm.revision)));
    let configuration = serde_json::to_string_pretty(&description.configuration);
    lines.push(configuration.unwrap_or_default());
    lines.join("\n")
}
