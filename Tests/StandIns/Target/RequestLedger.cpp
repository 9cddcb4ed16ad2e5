#include <StandIns/Target/RequestLedger.h>

#include <LibCore/EventLog.h>

#include <algorithm>

namespace Sapphire {

namespace {

// Enough to see which header leaks a secret, without filling the memory in a long run.
constexpr std::size_t mostFindings = 1000;

std::string microsecondsText(TimePoint time)
{
    return std::to_string(time.time_since_epoch().count());
}

std::string entryJson(const LedgerEntry &entry)
{
    std::string json = "{\"number\":" + std::to_string(entry.number);
    json += ",\"target\":" + quoteJson(entry.target);
    json += ",\"id\":" + quoteJson(entry.requestId);
    json += ",\"method\":" + quoteJson(entry.method);
    json += ",\"path\":" + quoteJson(entry.path);
    json += ",\"customer\":" + quoteJson(entry.customer);
    json += ",\"start\":" + microsecondsText(entry.startedAt);
    json += ",\"end\":" + (entry.endedAt ? microsecondsText(*entry.endedAt) : std::string("null"));
    json += std::string(",\"finished\":") + (entry.isFinished ? "true" : "false") + "}";
    return json;
}

std::string listJson(const auto &texts)
{
    std::string json = "[";
    for (const std::string &text : texts) {
        json += (json.size() > 1 ? "," : "") + quoteJson(text);
    }
    return json + "]";
}

} // namespace

RequestLedger::RequestLedger(std::vector<std::string> secrets) : m_secrets(std::move(secrets))
{
}

std::uint64_t RequestLedger::begin(LedgerEntry entry)
{
    entry.number = m_firstNumber + m_entries.size();
    m_entries.push_back(std::move(entry));
    return m_entries.back().number;
}

void RequestLedger::end(std::uint64_t number, TimePoint now, bool isFinished)
{
    if (number < m_firstNumber) {
        return;
    }
    LedgerEntry &entry = m_entries.at(number - m_firstNumber);
    entry.endedAt = now;
    entry.isFinished = isFinished;
}

void RequestLedger::noteHeader(const std::string &target, const std::string &name, const std::string &value)
{
    m_headerNames.insert(name);
    checkForSecrets(target, "header " + name, value);
}

void RequestLedger::checkForSecrets(const std::string &target, const std::string &where, std::string_view bytes)
{
    for (const std::string &secret : m_secrets) {
        if (bytes.find(secret) != std::string_view::npos && m_findings.size() < mostFindings) {
            m_findings.push_back(target);
            m_findings.back() += ": ";
            m_findings.back() += where;
        }
    }
}

std::size_t RequestLedger::longestSecret() const
{
    std::size_t length = 0;
    for (const std::string &secret : m_secrets) {
        length = std::max(length, secret.size());
    }
    return length;
}

void RequestLedger::addSecret(std::string secret)
{
    m_secrets.push_back(std::move(secret));
}

void RequestLedger::clear()
{
    m_firstNumber += m_entries.size();
    m_entries.clear();
    m_headerNames.clear();
    m_findings.clear();
}

std::string RequestLedger::entriesJson(std::uint64_t after, std::size_t limit) const
{
    std::string json = "{\"entries\":[";
    const std::uint64_t first = std::max(after + 1, m_firstNumber);
    const std::uint64_t end = std::min<std::uint64_t>(m_firstNumber + m_entries.size(), first + limit);
    for (std::uint64_t number = first; number < end; ++number) {
        json += (number > first ? ",\n" : "") + entryJson(m_entries[number - m_firstNumber]);
    }
    json += "],\"last\":" + std::to_string(m_firstNumber + m_entries.size() - 1);
    return json + "}";
}

std::string RequestLedger::findingsJson() const
{
    return "{\"headerNames\":" + listJson(m_headerNames) + ",\"findings\":" + listJson(m_findings) + "}";
}

std::string RequestLedger::customersJson() const
{
    std::map<std::string, std::string> times;
    for (const LedgerEntry &entry : m_entries) {
        std::string &list = times[entry.customer];
        list += (list.empty() ? "" : ",") + microsecondsText(entry.startedAt);
    }
    std::string json = "{";
    for (const auto &[customer, list] : times) {
        json += (json.size() > 1 ? "," : "") + quoteJson(customer) + ":[" + list + "]";
    }
    return json + "}";
}

} // namespace Sapphire
