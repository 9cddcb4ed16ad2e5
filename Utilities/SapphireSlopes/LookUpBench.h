#pragma once

#include <Fakes/FakeConfigurationSource.h>
#include <LibCaller/LookUp.h>
#include <LibCore/BootClock.h>
#include <LibRequest/RequestLedger.h>
#include <SapphireSlopes/DiscardingTables.h>
#include <SapphireSlopes/NoLoans.h>

namespace Sapphire {

/// The look-up of one VM with its real limiter and request ledger. The platform, the configuration source and other VMs
/// are replaced.
class LookUpBench
{
public:
    LookUpBench(const VmIncarnation &process, const Locality &locality, const Roster &roster, const Clock &rosterClock);

    /// Sets a configuration with one customer and the given number of client blocks.
    void setBlocks(std::size_t blocks);
    /// Sets a new version of the configuration with the same blocks.
    void change();
    /// Looks up VMs for a caller of the customer. Returns whether any were named.
    bool lookUp() const;

private:
    FakeConfigurationSource m_configuration;
    DiscardingTables m_tables;
    ClaimTable m_claims { m_tables };
    BootClock m_clock;
    ClaimJournal m_journal { m_claims, m_clock };
    RequestLedger m_ledger;
    NoLoans m_loans;
    CustomerLimiter m_limiter;
    LookUp m_lookUp;
};

} // namespace Sapphire
