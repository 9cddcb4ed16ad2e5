#pragma once

#include <LibConfiguration/Command.h>
#include <LibConfiguration/Statement.h>

namespace Sapphire {

/// Interface between this VM's configuration and the exchange with other VMs. Safe to call from any thread.
class ConfigurationExchange
{
public:
    virtual ~ConfigurationExchange() = default;

    /// Returns this VM's statement, with `now` as its time.
    virtual Statement ownStatement(TimePoint now) const = 0;
    /// Returns up to `limit` entries after the version, oldest first; none if they are no longer kept.
    virtual std::vector<LogEntry> entriesAfter(ConfigurationVersion version, std::size_t limit) const = 0;
    /// Applies entries from another VM. Ignores each that is not the direct successor of this VM's version.
    virtual void takeEntries(const std::vector<LogEntry> &entries) = 0;
    /// Marks keys as withdrawn on this VM. Returns whether any of the withdrawals was unknown before.
    virtual bool takeWithdrawals(const std::set<KeyId> &keys) = 0;
    /// Processes a statement of another VM, received directly or by relay.
    virtual void takeStatement(const Statement &statement, TimePoint now) = 0;
    /// Returns the newest statement of each region. For the own region, this is this VM's statement once it has
    /// started.
    virtual std::vector<Statement> newestStatements(TimePoint now) const = 0;
    /// Requests an early poll of the store if the version is newer than this VM's.
    virtual void hintVersion(ConfigurationVersion version) = 0;
};

} // namespace Sapphire
