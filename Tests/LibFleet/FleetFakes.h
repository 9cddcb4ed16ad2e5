#pragma once

#include <LibConfiguration/ConfigurationExchange.h>
#include <LibFleet/CrashSuspectExchange.h>
#include <LibFleet/TargetReportExchange.h>

#include <algorithm>
#include <map>
#include <mutex>

namespace Sapphire {

/// A configuration whose entries have no effect. It keeps them, withdrawals and the newest statement of each region.
class FakeConfigurationExchange final : public ConfigurationExchange
{
public:
    FakeConfigurationExchange(VmIncarnation self, RegionId region)
        : m_self(std::move(self)), m_region(std::move(region))
    {
    }

    void addEntry()
    {
        const std::lock_guard guard(m_mutex);
        const ConfigurationVersion next = m_version.next();
        m_entries.push_back({ next,
                              { CommandId("c" + std::to_string(next.value())),
                                OperatorId("operator"),
                                {},
                                {},
                                GrantKey { KeyId("key"), CustomerId("customer"), std::string(64, 'a') } } });
        m_version = next;
    }
    /// Drops the entries but keeps the version, as after taking a snapshot.
    void dropEntries()
    {
        const std::lock_guard guard(m_mutex);
        m_entries.clear();
    }
    void setVersion(ConfigurationVersion version)
    {
        const std::lock_guard guard(m_mutex);
        m_version = version;
    }
    ConfigurationVersion version() const
    {
        const std::lock_guard guard(m_mutex);
        return m_version;
    }
    std::set<KeyId> withdrawals() const
    {
        const std::lock_guard guard(m_mutex);
        return m_withdrawals;
    }

    Statement ownStatement(TimePoint now) const override
    {
        const std::lock_guard guard(m_mutex);
        return { m_self, m_region, now, m_version, m_withdrawals };
    }
    std::vector<LogEntry> entriesAfter(ConfigurationVersion version, std::size_t limit) const override
    {
        const std::lock_guard guard(m_mutex);
        std::vector<LogEntry> result;
        for (const LogEntry &entry : m_entries) {
            if (entry.version > version && result.size() < limit) {
                result.push_back(entry);
            }
        }
        const bool isGap = !result.empty() && result.front().version != version.next();
        return isGap ? std::vector<LogEntry>() : result;
    }
    void takeEntries(const std::vector<LogEntry> &entries) override
    {
        const std::lock_guard guard(m_mutex);
        for (const LogEntry &entry : entries) {
            if (entry.version == m_version.next()) {
                m_entries.push_back(entry);
                m_version = entry.version;
            }
        }
    }
    bool takeWithdrawals(const std::set<KeyId> &keys) override
    {
        const std::lock_guard guard(m_mutex);
        const std::size_t count = m_withdrawals.size();
        m_withdrawals.insert(keys.begin(), keys.end());
        return m_withdrawals.size() > count;
    }
    void takeStatement(const Statement &statement, TimePoint) override
    {
        const std::lock_guard guard(m_mutex);
        if (statement.version > m_version || statement.region == m_region) {
            return;
        }
        Statement &held = m_statements[statement.region];
        if (held.region.isEmpty() || held.statedAt < statement.statedAt) {
            held = statement;
        }
    }
    std::vector<Statement> newestStatements(TimePoint now) const override
    {
        std::vector<Statement> result { ownStatement(now) };
        const std::lock_guard guard(m_mutex);
        for (const auto &[region, statement] : m_statements) {
            result.push_back(statement);
        }
        return result;
    }
    void hintVersion(ConfigurationVersion) override
    {
    }

private:
    const VmIncarnation m_self;
    const RegionId m_region;
    mutable std::mutex m_mutex;
    ConfigurationVersion m_version;
    std::vector<LogEntry> m_entries;
    std::set<KeyId> m_withdrawals;
    std::map<RegionId, Statement> m_statements;
};

class FakeTargetReportExchange final : public TargetReportExchange
{
public:
    std::vector<TargetReport> reports(TimePoint) const override
    {
        const std::lock_guard guard(m_mutex);
        std::vector<TargetReport> result;
        for (const auto &[key, report] : m_reports) {
            result.push_back(report);
        }
        return result;
    }
    void takeReport(const TargetReport &report, TimePoint) override
    {
        const std::lock_guard guard(m_mutex);
        TargetReport &held = m_reports[report.target];
        if (held.target.isEmpty() || held.observedAt < report.observedAt) {
            held = report;
        }
    }
    std::vector<RegionUsage> regionUsages(TimePoint) const override
    {
        const std::lock_guard guard(m_mutex);
        std::vector<RegionUsage> result;
        for (const auto &[key, usage] : m_usages) {
            result.push_back(usage);
        }
        return result;
    }
    void takeUsage(const RegionUsage &usage, TimePoint) override
    {
        const std::lock_guard guard(m_mutex);
        RegionUsage &held = m_usages[{ usage.region, usage.service }];
        if (held.region.isEmpty() || held.statedAt < usage.statedAt) {
            held = usage;
        }
    }

private:
    mutable std::mutex m_mutex;
    std::map<TargetId, TargetReport> m_reports;
    std::map<std::pair<RegionId, ServiceId>, RegionUsage> m_usages;
};

class FakeCrashSuspectExchange final : public CrashSuspectExchange
{
public:
    std::vector<CrashSuspect> suspects(TimePoint) const override
    {
        const std::lock_guard guard(m_mutex);
        std::vector<CrashSuspect> result;
        for (const auto &[fingerprint, suspect] : m_suspects) {
            result.push_back(suspect);
        }
        return result;
    }
    void takeSuspect(const CrashSuspect &suspect, TimePoint) override
    {
        const std::lock_guard guard(m_mutex);
        CrashSuspect &held = m_suspects[suspect.fingerprint];
        held.fingerprint = suspect.fingerprint;
        held.crashes = std::max(held.crashes, suspect.crashes);
        held.lastSeenAt = std::max(held.lastSeenAt, suspect.lastSeenAt);
    }

private:
    mutable std::mutex m_mutex;
    std::map<Fingerprint, CrashSuspect> m_suspects;
};

} // namespace Sapphire
