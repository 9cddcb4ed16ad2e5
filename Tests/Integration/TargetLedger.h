#pragma once

#include <Integration/IntegrationFixture.h>

#include <map>
#include <string>
#include <vector>

namespace Sapphire {

/// One request that a target of the stand-in ran.
struct LedgerEntry
{
    std::string target;
    std::string id;
    std::string path;
    std::string customer;
    TimePoint startedAt;
    bool isFinished { false };
};

/// Reads everything that the targets ran.
inline std::vector<LedgerEntry> readLedger(Deployment &deployment)
{
    std::vector<LedgerEntry> entries;
    std::uint64_t after = 0;
    while (true) {
        const auto object = parseObject(expect([&] {
            return deployment.targetControl("/control/ledger?after=" + std::to_string(after) + "&limit=5000");
        }));
        const Poco::JSON::Array::Ptr list = object->getArray("entries");
        if (list->size() == 0) {
            return entries;
        }
        for (unsigned i = 0; i < list->size(); ++i) {
            const Poco::JSON::Object::Ptr entry = list->getObject(i);
            after = entry->getValue<std::uint64_t>("number");
            entries.push_back({ entry->getValue<std::string>("target"), entry->getValue<std::string>("id"),
                                entry->getValue<std::string>("path"), entry->getValue<std::string>("customer"),
                                TimePoint(Microseconds(entry->getValue<std::int64_t>("start"))),
                                entry->getValue<bool>("finished") });
        }
    }
}

/// Returns the requests with an id, by id.
inline std::map<std::string, std::vector<LedgerEntry>> ledgerById(Deployment &deployment)
{
    std::map<std::string, std::vector<LedgerEntry>> byId;
    for (LedgerEntry &entry : readLedger(deployment)) {
        if (!entry.id.empty()) {
            byId[entry.id].push_back(std::move(entry));
        }
    }
    return byId;
}

} // namespace Sapphire
