#include <LibConfiguration/ConfigurationLog.h>

#include <LibConfiguration/CommandCodec.h>
#include <LibConfiguration/ConfigurationCodec.h>
#include <LibConfiguration/ConfigurationEvents.h>

#include <algorithm>
#include <charconv>

namespace Sapphire {

namespace {

const TableName logTable("configuration");
const std::string snapshotKey = "configuration/snapshot";

/// Number of digits of the largest version. Row keys are padded to it, so that they sort by version.
constexpr std::size_t keyWidth = 20;
constexpr std::size_t mostRowsPerCall = 1000;
/// After this many lost answers in a row, append() reports an unknown outcome instead of letting the caller wait
/// longer.
constexpr int mostAppendAttempts = 4;

std::string keyOf(ConfigurationVersion version)
{
    const std::string digits = std::to_string(version.value());
    return std::string(keyWidth - digits.size(), '0') + digits;
}

std::optional<ConfigurationVersion> versionOf(const std::string &key)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(key.data(), key.data() + key.size(), value);
    if (key.size() != keyWidth || error != std::errc() || end != key.data() + key.size()) {
        return std::nullopt;
    }
    return ConfigurationVersion(value);
}

/// Decodes a row. A row that can't be decoded becomes an empty batch, which every VM skips as invalid.
LogEntry entryFrom(ConfigurationVersion version, const Row &row)
{
    Outcome<Command> command = capture([&row] {
        return CommandCodec::decode(row.value);
    });
    if (command) {
        return { version, std::move(command.value()) };
    }
    logEvent(ConfigurationEvents::rowUnreadable, { { "version", version }, { "error", command.error().message } });
    const CommandId id("unreadable-" + std::to_string(version.value()));
    return { version, Command { id, OperatorId("unknown"), std::nullopt, {}, CommandBatch {} } };
}

} // namespace

Result<std::vector<LogEntry>> ConfigurationLog::readAfter(ConfigurationVersion version, std::size_t limit,
                                                          Deadline deadline)
{
    const std::size_t rowLimit = std::min(limit, mostRowsPerCall);
    BOOST_LEAF_AUTO(rows, m_tables.list(logTable, keyOf(version), rowLimit, deadline));
    std::vector<LogEntry> entries;
    entries.reserve(rows.size());
    ConfigurationVersion expected = version.next();
    for (const Row &row : rows) {
        if (versionOf(row.key) != expected) {
            return fail(ErrorCode::DataLoss,
                        "table configuration: found row " + row.key + ", expected row " + keyOf(expected));
        }
        entries.push_back(entryFrom(expected, row));
        expected = expected.next();
    }
    return entries;
}

Result<AppendOutcome> ConfigurationLog::append(const LogEntry &entry, Deadline deadline)
{
    const std::string value = CommandCodec::encode(entry.command);
    Error last;
    bool mayBeWritten = false;
    for (int attempt = 0; attempt < mostAppendAttempts; ++attempt) {
        const Outcome<RowTag> inserted = capture([&] {
            return m_tables.insert(logTable, keyOf(entry.version), value, deadline);
        });
        if (inserted) {
            return AppendOutcome::Written;
        }
        last = inserted.error();
        // A conflict shows that the row exists; an earlier call for the same command may have written it.
        mayBeWritten = mayBeWritten || last.verdict != Verdict::NotRun || last.code == ErrorCode::Conflict;
        if (!mayBeWritten) {
            return fail(last);
        }
        const Outcome<AppendOutcome> found = capture([&] {
            return readBack(entry, deadline);
        });
        if (found) {
            return found.value();
        }
        last = found.error();
        if (last.code != ErrorCode::NotFound) {
            break;
        }
    }
    return fail(ErrorCode::Unavailable, "the store lost the answer to a write: " + last.message, Verdict::MayHaveRun);
}

Result<AppendOutcome> ConfigurationLog::readBack(const LogEntry &entry, Deadline deadline)
{
    BOOST_LEAF_AUTO(row, m_tables.read(logTable, keyOf(entry.version), deadline));
    const LogEntry written = entryFrom(entry.version, row);
    return written.command.id == entry.command.id ? AppendOutcome::Written : AppendOutcome::Taken;
}

Result<Configuration> ConfigurationLog::loadSnapshot(Deadline deadline)
{
    const Outcome<std::string> text = capture([&] {
        return m_objects.read(snapshotKey, deadline);
    });
    if (!text) {
        return text.error().code == ErrorCode::NotFound ? Result<Configuration>(Configuration {}) : fail(text.error());
    }
    Outcome<Configuration> decoded = capture([&] {
        return ConfigurationCodec::decode(text.value());
    });
    if (decoded) {
        return std::move(decoded.value());
    }
    logEvent(ConfigurationEvents::snapshotUnusable, { { "error", decoded.error().message } });
    return Configuration {};
}

Result<void> ConfigurationLog::writeSnapshot(const Configuration &configuration, Deadline deadline)
{
    return m_objects.write(snapshotKey, ConfigurationCodec::encode(configuration), deadline);
}

} // namespace Sapphire
