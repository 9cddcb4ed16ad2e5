#include "TestFleet.h"

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

LogEntry entry(std::uint64_t version, const std::string &id)
{
    return { ConfigurationVersion(version), Commands::customer(id, 5) };
}

Outcome<AppendOutcome> append(ConfigurationLog &log, const LogEntry &entry)
{
    return capture([&] {
        return log.append(entry, Deadline::never());
    });
}

} // namespace

TEST_CASE("versions sort by number in the table")
{
    // Guards against keys of varying width, by which row 10 would precede row 9.
    FakeTableService tables;
    FakeObjectStore objects;
    ConfigurationLog log(tables, objects);
    for (std::uint64_t version = 1; version <= 12; ++version) {
        REQUIRE(append(log, entry(version, "c" + std::to_string(version))).value() == AppendOutcome::Written);
    }
    const auto rest = capture([&] {
        return log.readAfter(ConfigurationVersion(8), 3, Deadline::never());
    });
    REQUIRE(rest.value().size() == 3);
    CHECK(rest.value().front().version == ConfigurationVersion(9));
    CHECK(rest.value().back().command.id == CommandId("c11"));
}

TEST_CASE("append determines which write succeeded when answers are lost")
{
    // Guards against a command that takes effect twice, or is reported as failed although it was written.
    FakeTableService tables;
    FakeObjectStore objects;
    TableServiceProxy path(tables);
    ConfigurationLog log(path, objects);
    tables.loseAnswers(1);
    CHECK(append(log, entry(1, "a")).value() == AppendOutcome::Written);
    CHECK(append(log, entry(1, "a")).value() == AppendOutcome::Written);
    CHECK(append(log, entry(1, "b")).value() == AppendOutcome::Taken);
    path.insertionsToLose = 2;
    CHECK(append(log, entry(2, "b")).value() == AppendOutcome::Written);
    CHECK(tables.writeCount() == 2);

    path.insertionsToLose = 100;
    const Outcome<AppendOutcome> lost = append(log, entry(3, "c"));
    REQUIRE_FALSE(lost);
    CHECK(lost.error().verdict == Verdict::MayHaveRun);
    path.insertionsToLose = 0;
    path.isCut = true;
    const Outcome<AppendOutcome> cut = append(log, entry(3, "c"));
    REQUIRE_FALSE(cut);
    CHECK(cut.error().verdict == Verdict::NotRun);
}

TEST_CASE("a missing row is an error, and an unreadable one becomes an entry that changes nothing")
{
    // Guards against VMs that skip a change because the table lost it, or stop at a damaged row.
    FakeTableService tables;
    FakeObjectStore objects;
    ConfigurationLog log(tables, objects);
    const TableName table("configuration");
    const auto insert = [&](const std::string &key) {
        return static_cast<bool>(capture([&] {
            return tables.insert(table, key, "not JSON", Deadline::never());
        }));
    };
    REQUIRE(insert("00000000000000000001"));
    const auto read = [&] {
        return capture([&] {
            return log.readAfter({}, 10, Deadline::never());
        });
    };
    REQUIRE(read().value().size() == 1);
    std::optional<Error> skipped;
    CHECK(applyEntry({}, read().value().front(), skipped).version == ConfigurationVersion(1));
    CHECK(skipped);
    REQUIRE(insert("00000000000000000003"));
    REQUIRE_FALSE(read());
    CHECK(read().error().code == ErrorCode::DataLoss);
}
