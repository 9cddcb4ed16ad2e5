#pragma once

#include <LibConfiguration/Command.h>
#include <LibConfiguration/Statement.h>

namespace Sapphire {

/// The configuration of this VM as the exchange with other VMs sees it. Safe to call from any thread.
class ConfigurationExchange
{
public:
    virtual ~ConfigurationExchange() = default;

    /// Returns a statement of this VM, dated now.
    virtual Statement ownStatement(TimePoint now) const = 0;
    /// Returns entries after the given version, oldest first; empty if they are no longer kept.
    virtual std::vector<LogEntry> entriesAfter(ConfigurationVersion version, std::size_t limit) const = 0;
    /// Takes entries heard from another VM; those that don't follow on the own version are ignored.
    virtual void takeEntries(const std::vector<LogEntry> &entries) = 0;
    /// Returns whether any of the keys was not known as withdrawn.
    virtual bool takeWithdrawals(const std::set<KeyId> &keys) = 0;
    /// Takes a statement of another VM, direct or relayed.
    virtual void takeStatement(const Statement &statement, TimePoint now) = 0;
    /// Returns the newest statement held of each region, the own one included.
    virtual std::vector<Statement> newestStatements(TimePoint now) const = 0;
    /// Asks for an early poll of the store, since a newer version was heard of.
    virtual void hintVersion(ConfigurationVersion version) = 0;
};

} // namespace Sapphire
