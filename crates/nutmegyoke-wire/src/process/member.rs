//! Members of the fleet, as sent between processes.

use capnp::struct_list;
use nutmegyoke_core::process::endpoint::{Holding, Phase};
use nutmegyoke_core::process::{Endpoint, Member, Vm};
use nutmegyoke_core::version::{Adapter, Model};

use crate::connection::convert::{length, parse, set_texts, text, texts};
use crate::connection::link_capnp::{endpoint, member};

/// Reads a member.
///
/// # Errors
///
/// The message is malformed.
pub fn read(reader: member::Reader<'_>) -> capnp::Result<Member> {
    let vm = reader.get_vm()?;
    Ok(Member {
        vm: Vm {
            name: text(vm.get_name())?.to_owned(),
            incarnation: vm.get_incarnation(),
        },
        role: parse(reader.get_role())?,
        data_centre: text(reader.get_data_centre())?.into(),
        address: parse(reader.get_address())?,
        endpoints: read_endpoints(reader.get_endpoints()?)?,
        configuration: reader.get_configuration(),
    })
}

/// Writes a member.
pub fn write(member: &Member, mut builder: member::Builder<'_>) {
    let mut vm = builder.reborrow().init_vm();
    vm.set_name(&member.vm.name);
    vm.set_incarnation(member.vm.incarnation);
    builder.set_role(member.role.to_string());
    builder.set_data_centre(member.data_centre.as_str());
    builder.set_address(member.address.to_string());
    builder.set_configuration(member.configuration);
    let list = builder.init_endpoints(length(member.endpoints.len()));
    write_endpoints(&member.endpoints, list);
}

/// Reads a list of endpoints.
///
/// # Errors
///
/// The message is malformed.
pub fn read_endpoints(
    list: struct_list::Reader<'_, endpoint::Owned>,
) -> capnp::Result<Vec<Endpoint>> {
    list.iter().map(read_endpoint).collect()
}

/// Writes a list of endpoints.
pub fn write_endpoints(
    endpoints: &[Endpoint],
    mut list: struct_list::Builder<'_, endpoint::Owned>,
) {
    for (index, endpoint) in (0..).zip(endpoints) {
        write_endpoint(endpoint, list.reborrow().get(index));
    }
}

fn read_endpoint(reader: endpoint::Reader<'_>) -> capnp::Result<Endpoint> {
    let holding = match reader.which()? {
        endpoint::Engine(group) => Holding::Engine {
            models: texts(group.get_models())?,
            adapters: texts(group.get_adapters())?,
        },
        endpoint::Service(name) => Holding::Service {
            service: text(name)?.into(),
        },
    };
    Ok(Endpoint {
        name: text(reader.get_name())?.to_owned(),
        holding,
        slots: reader.get_slots(),
        phase: if reader.get_draining() {
            Phase::Draining
        } else {
            Phase::Ready
        },
    })
}

fn write_endpoint(endpoint: &Endpoint, mut builder: endpoint::Builder<'_>) {
    builder.set_name(&endpoint.name);
    builder.set_slots(endpoint.slots);
    builder.set_draining(endpoint.phase == Phase::Draining);
    match &endpoint.holding {
        Holding::Engine { models, adapters } => {
            let mut group = builder.init_engine();
            let list = group.reborrow().init_models(length(models.len()));
            set_texts(list, models.iter().map(Model::as_str));
            let list = group.init_adapters(length(adapters.len()));
            set_texts(list, adapters.iter().map(Adapter::as_str));
        }
        Holding::Service { service } => builder.set_service(service.as_str()),
    }
}
