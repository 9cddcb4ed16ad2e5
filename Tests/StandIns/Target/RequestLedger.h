#pragma once

#include <LibCore/Deadline.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Sapphire {

/// A request that a target has started to run.
struct LedgerEntry
{
    std::uint64_t number { 0 };
    std::string target;
    std::string requestId; ///< From the header Idempotency-Key.
    std::string method;
    std::string path;
    std::string customer; ///< From the header Sapphire-Customer.
    TimePoint startedAt {};
    std::optional<TimePoint> endedAt {};
    bool isFinished { false }; ///< False also if the work was cancelled.
};

/// Record of the requests that arrived at the simulated targets, for checks after a test.
class RequestLedger
{
public:
    explicit RequestLedger(std::vector<std::string> secrets);

    /// Returns the entry's number.
    std::uint64_t begin(LedgerEntry entry);
    void end(std::uint64_t number, TimePoint now, bool isFinished);
    void noteHeader(const std::string &target, const std::string &name, const std::string &value);
    /// Records a finding for each secret that the bytes contain.
    void checkForSecrets(const std::string &target, const std::string &where, std::string_view bytes);
    std::size_t longestSecret() const;
    void addSecret(std::string secret);
    void clear();

    std::string entriesJson(std::uint64_t after, std::size_t limit) const;
    std::string findingsJson() const;
    /// Returns a JSON object with the start times, in microseconds, of each customer's requests.
    std::string customersJson() const;

private:
    std::vector<std::string> m_secrets;
    std::vector<LedgerEntry> m_entries;
    std::uint64_t m_firstNumber { 1 };
    std::set<std::string> m_headerNames;
    std::vector<std::string> m_findings;
};

} // namespace Sapphire
