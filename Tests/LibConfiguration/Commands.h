#pragma once

#include <LibConfiguration/ApplyCommand.h>
#include <LibCore/Hash.h>

#include <string>

namespace Sapphire {

/// Commands for the tests of this folder.
namespace Commands {

inline Command make(const std::string &id, CommandBody body, const std::string &operatorId = "ana")
{
    return Command { CommandId(id), OperatorId(operatorId), std::nullopt, Microseconds(1'000'000), std::move(body) };
}

inline Command customer(const std::string &id, double rate, const std::string &customer = "bodega-7")
{
    return make(id, SetCustomer { CustomerId(customer), rate, 20 });
}

inline Command withdrawal(const std::string &id, const std::string &key)
{
    return make(id, WithdrawKey { KeyId(key) });
}

inline TargetRecord target(const std::string &id)
{
    TargetRecord target;
    target.id = TargetId(id);
    target.service = ServiceId("booking");
    target.locality = { RegionId("cuyo"), AvailabilityZoneId("cuyo-a") };
    target.address = "127.0.0.1:9000";
    target.slots = 4;
    return target;
}

/// Returns a command that creates three regions, a service, a target, a client block, a customer and its keys.
inline Command initialBatch()
{
    ServiceRecord service;
    service.id = ServiceId("booking");
    CommandBatch batch;
    batch.commands.emplace_back(SetRegion { RegionId("cuyo"), { RegionId("pampa"), RegionId("norte") } });
    batch.commands.emplace_back(SetRegion { RegionId("pampa"), { RegionId("cuyo") } });
    batch.commands.emplace_back(SetRegion { RegionId("norte"), {} });
    batch.commands.emplace_back(SetService { service });
    batch.commands.emplace_back(SetTarget { target("booking-1") });
    batch.commands.emplace_back(SetClientBlock { "10.1.0.0/16", RegionId("cuyo") });
    batch.commands.emplace_back(SetCustomer { CustomerId("bodega-7"), 5, 20 });
    batch.commands.emplace_back(GrantKey { KeyId("k1"), CustomerId("bodega-7"), sha256Hex("one") });
    batch.commands.emplace_back(GrantKey { KeyId("k2"), CustomerId("bodega-7"), sha256Hex("two") });
    return make("first", std::move(batch));
}

inline Outcome<Configuration> apply(const Configuration &before, const Command &command)
{
    return capture([&] {
        return applyCommand(before, command, before.version.next());
    });
}

inline Configuration initialConfiguration()
{
    return apply({}, initialBatch()).value();
}

} // namespace Commands

} // namespace Sapphire
