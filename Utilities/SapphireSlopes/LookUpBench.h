#pragma once

#include <Fakes/FakeConfigurationSource.h>
#include <LibCaller/LookUp.h>
#include <LibCore/BootClock.h>
#include <LibRequest/RequestLedger.h>
#include <SapphireSlopes/DiscardingTables.h>
#include <SapphireSlopes/NoLoans.h>

namespace Sapphire {

/// A VM's look-up with real parts around it, except for the platform and other VMs.
class LookUpBench
{
public:
    LookUpBench(const VmIncarnation &process, const Locality &place, const Roster &roster, const Clock &rosterClock);

    /// Sets a configuration with one customer and the given number of client blocks.
    void setBlocks(std::size_t blocks);
    /// Makes a change of the configuration that leaves the blocks as they are.
    void change();
    /// Returns whether the look-up of a customer's caller named VMs.
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
