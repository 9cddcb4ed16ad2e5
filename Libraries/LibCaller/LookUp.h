#pragma once

#include <LibConfiguration/ConfigurationSource.h>
#include <LibConfiguration/Roster.h>
#include <LibCore/Clock.h>
#include <LibLimit/CustomerLimiter.h>
#include <LibRequest/RequestLedger.h>
#include <LibSteering/ClientBlocks.h>
#include <LibSteering/LookUpRanking.h>

#include <memory>
#include <mutex>

namespace Sapphire {

/// Answers look-ups, by which callers find out which VMs to use, from this VM's local state.
class LookUp
{
public:
    struct Parts
    {
        const ConfigurationSource &configuration;
        const Roster &roster;
        const CustomerLimiter &limiter;
        const RequestLedger &ledger;
        const Clock &clock;
    };

    struct Settings
    {
        VmIncarnation process;
        Locality locality;
        Milliseconds timeToLive { 5'000 };
        std::size_t vmCount { 3 };
        std::size_t alternativeCount { 3 };
    };

    struct Answer
    {
        std::vector<AlternativeVm> vms;
        std::vector<AlternativeVm> alternatives; ///< In other availability zones or regions than the first.
        Milliseconds timeToLive;
        std::string requestIdPrefix; ///< For ids that only the first VM may run.
        std::optional<RegionId> callerRegion;
    };

    LookUp(Parts parts, Settings settings);

    /// Ranks the VMs for a caller. The customer is empty for callers without a key; the address is IPv4 in text form.
    Answer answer(const CustomerId &customer, const std::string &callerAddress) const;
    /// Returns other VMs that a refused caller can use instead.
    std::vector<AlternativeVm> alternatives(const CustomerId &customer) const;

private:
    std::vector<LookUpCandidate> candidates(const std::vector<RosterVm> &vms, const CustomerId &customer) const;
    std::optional<RegionId> regionOf(const std::string &callerAddress) const;

    Parts m_parts;
    Settings m_settings;
    mutable std::mutex m_mutex;
    mutable RandomSource m_random;
    /// Index of the configuration's client blocks, rebuilt when the configuration changes.
    mutable ClientBlocks m_blocks;
    mutable ConfigurationVersion m_blocksVersion;
};

} // namespace Sapphire
