#include <SapphireLoad/LoadPlan.h>

#include <LibCore/SettingsReader.h>

namespace Sapphire {

namespace {

constexpr double highestRate = 1e6;
constexpr std::int64_t mostWorkers = 2'000;
constexpr Milliseconds longestRun { 3'600'000 };
constexpr Milliseconds longestTimeout { 600'000 };

LoadCustomer readCustomer(SettingsReader &reader)
{
    LoadCustomer customer;
    customer.name = reader.requiredText("name");
    customer.key = reader.requiredText("key");
    customer.requestsPerSecond = reader.number("requestsPerSecond", 0, highestRate, 0);
    customer.rate = reader.number("rate", 0, highestRate, customer.requestsPerSecond);
    customer.burst = reader.number("burst", 0, highestRate, 1);
    reader.rejectUnknownMembers();
    return customer;
}

LoadRoute readRoute(SettingsReader &reader)
{
    LoadRoute route;
    route.service = reader.requiredText("service");
    route.method = reader.text("method", route.method);
    route.path = reader.text("path", route.path);
    route.share = reader.number("share", 0, highestRate, route.share);
    route.timeout = reader.milliseconds("timeoutMilliseconds", Milliseconds(1), longestTimeout, route.timeout);
    reader.rejectUnknownMembers();
    return route;
}

LoadOrigin readOrigin(SettingsReader &reader)
{
    LoadOrigin origin { reader.requiredText("region"), reader.texts("vms"), reader.number("share", 0, highestRate, 1) };
    if (origin.vms.empty()) {
        reader.reject("vms", "no address", "at least one");
    }
    reader.rejectUnknownMembers();
    return origin;
}

template<typename Item>
void readAll(SettingsReader &reader, const std::string &name, Item (*read)(SettingsReader &), std::vector<Item> &items)
{
    for (SettingsReader &element : reader.objects(name)) {
        items.push_back(read(element));
    }
    if (items.empty()) {
        reader.reject(name, "none", "at least one");
    }
}

} // namespace

Result<LoadPlan> LoadPlan::parse(const std::string &text)
{
    BOOST_LEAF_AUTO(reader, SettingsReader::create(text));
    LoadPlan plan;
    readAll(reader, "customers", readCustomer, plan.customers);
    readAll(reader, "routes", readRoute, plan.routes);
    readAll(reader, "origins", readOrigin, plan.origins);
    plan.duration = reader.milliseconds("durationMilliseconds", Milliseconds(1), longestRun, plan.duration);
    plan.seed = static_cast<std::uint64_t>(reader.integer("seed", 0, std::int64_t { 1 } << 60U, 1));
    plan.workers = static_cast<int>(reader.integer("workers", 1, mostWorkers, plan.workers));
    plan.usesLookUps = reader.boolean("usesLookUps", plan.usesLookUps);
    plan.usesIssuedIds = reader.boolean("usesIssuedIds", plan.usesIssuedIds);
    if (reader.has("addressMap")) {
        SettingsReader map = reader.object("addressMap");
        for (const std::string &name : map.memberNames()) {
            plan.addressMap[name] = map.requiredText(name);
        }
    }
    reader.rejectUnknownMembers();
    BOOST_LEAF_CHECK(reader.finish());
    return plan;
}

} // namespace Sapphire
