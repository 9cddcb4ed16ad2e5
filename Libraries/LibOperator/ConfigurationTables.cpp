#include <LibOperator/ConfigurationTables.h>

#include <sstream>

namespace Sapphire {

namespace {

constexpr double partsPerPercent = 10'000.0;

std::string text(double number)
{
    std::ostringstream stream;
    stream << number;
    return stream.str();
}

std::string percent(Share share)
{
    return text(static_cast<double>(share.value()) / partsPerPercent) + "%";
}

std::string yesNo(bool isTrue)
{
    return isTrue ? "yes" : "no";
}

bool matches(const std::string &name, const std::string &filter)
{
    return filter.empty() || name == filter;
}

std::vector<std::string> withLastChange(std::vector<std::string> row, const LastChange &lastChange)
{
    row.push_back(std::to_string(lastChange.version.value()));
    row.push_back(lastChange.changedBy.text());
    return row;
}

} // namespace

Table vmTable(const std::vector<RosterVm> &vms, const std::string &name)
{
    Table table { { "vm", "region", "zone", "address", "state", "version" } };
    for (const RosterVm &vm : vms) {
        if (!matches(vm.process.vm.text(), name)) {
            continue;
        }
        const std::string state = vm.isSuspect ? "suspect"
            : vm.isLeaving                     ? "leaving"
            : vm.isFresh                       ? "serving"
                                               : "not fresh";
        table.rows.push_back({ vm.process.vm.text(), vm.locality.region.text(), vm.locality.availabilityZone.text(),
                               vm.callerAddress(), state, std::to_string(vm.confirmedVersion.value()) });
    }
    return table;
}

Table customerTable(const Configuration &configuration, const std::string &name)
{
    Table table { { "customer", "rate", "burst", "version", "changed-by" } };
    for (const auto &[id, record] : configuration.customers) {
        if (matches(id.text(), name)) {
            table.rows.push_back(
                withLastChange({ id.text(), text(record.ratePerSecond), text(record.burst) }, record.lastChange));
        }
    }
    return table;
}

Table keyTable(const Configuration &configuration, const std::string &name,
               const std::function<bool(const KeyId &)> &isWithdrawn)
{
    Table table { { "key", "customer", "withdrawn", "version", "changed-by" } };
    for (const auto &[id, record] : configuration.keys) {
        if (matches(id.text(), name) || record.customer.text() == name) {
            const std::string pending = isWithdrawn(id) ? "not durable yet" : "no";
            const std::string withdrawn = record.isWithdrawn ? "yes" : pending;
            table.rows.push_back(withLastChange({ id.text(), record.customer.text(), withdrawn }, record.lastChange));
        }
    }
    return table;
}

Table serviceTable(const Configuration &configuration, const std::string &name)
{
    Table table { { "service", "access", "timeout-ms", "shift-cap", "shift-interval-ms", "region-limit", "version",
                    "changed-by" } };
    for (const auto &[id, record] : configuration.services) {
        if (matches(id.text(), name)) {
            table.rows.push_back(withLastChange(
                { id.text(), record.isOpenToAll ? "open" : "keyed", std::to_string(record.defaultTimeout.count()),
                  percent(record.shiftCap), std::to_string(record.shiftInterval.count()), percent(record.regionLimit) },
                record.lastChange));
        }
    }
    return table;
}

Table targetTable(const Configuration &configuration, const std::string &name)
{
    Table table { { "target", "service", "region", "zone", "address", "slots", "connections", "drained", "version",
                    "changed-by" } };
    for (const auto &[id, record] : configuration.targets) {
        if (matches(id.text(), name) || record.service.text() == name) {
            table.rows.push_back(
                withLastChange({ id.text(), record.service.text(), record.locality.region.text(),
                                 record.locality.availabilityZone.text(), record.address, std::to_string(record.slots),
                                 std::to_string(record.connectionLimit), yesNo(record.isDrained) },
                               record.lastChange));
        }
    }
    return table;
}

Table regionTable(const Configuration &configuration, const std::string &name)
{
    Table table { { "region", "fallbacks", "version", "changed-by" } };
    for (const auto &[id, record] : configuration.regions) {
        std::string fallbacks;
        for (const RegionId &fallback : record.fallbacks) {
            fallbacks += fallbacks.empty() ? fallback.text() : "," + fallback.text();
        }
        if (matches(id.text(), name)) {
            table.rows.push_back(withLastChange({ id.text(), fallbacks }, record.lastChange));
        }
    }
    return table;
}

Table blockTable(const Configuration &configuration, const std::string &name)
{
    Table table { { "block", "region", "version", "changed-by" } };
    for (const auto &[prefix, record] : configuration.clientBlocks) {
        if (matches(prefix, name)) {
            table.rows.push_back(withLastChange({ prefix, record.region.text() }, record.lastChange));
        }
    }
    return table;
}

} // namespace Sapphire
