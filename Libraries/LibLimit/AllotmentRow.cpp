#include <LibLimit/AllotmentRow.h>

#include <LibCore/SettingsReader.h>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <limits>
#include <set>
#include <sstream>

namespace Sapphire {

namespace {

constexpr double mostDemand = 1e12;

Result<Allotment> readAllotment(const std::string &text)
{
    BOOST_LEAF_AUTO(reader, SettingsReader::create(text));
    Allotment allotment;
    std::set<VmId> vms;
    for (SettingsReader &member : reader.objects("entries")) {
        AllotmentEntry entry;
        entry.process.vm = VmId(member.requiredText("vm"));
        const auto incarnation = member.requiredInteger("incarnation", 0, std::numeric_limits<std::int64_t>::max());
        entry.process.incarnation = Incarnation(static_cast<std::uint64_t>(incarnation));
        entry.share = Share(member.requiredInteger("share", 0, wholeShare.value()));
        entry.demand = member.number("demand", 0, mostDemand, 0);
        if (!vms.insert(entry.process.vm).second) {
            member.reject("vm", entry.process.vm.text(), "a VM that no other entry names");
        }
        allotment.entries.push_back(entry);
    }
    BOOST_LEAF_CHECK(reader.finish());
    if (allotment.total() > wholeShare) {
        return fail(ErrorCode::InvalidArgument,
                    "shares sum to " + std::to_string(allotment.total().value()) + ", expected at most "
                        + std::to_string(wholeShare.value()));
    }
    return allotment;
}

} // namespace

std::string AllotmentRow::encode(const Allotment &allotment)
{
    Poco::JSON::Array entries;
    for (const AllotmentEntry &entry : allotment.entries) {
        Poco::JSON::Object member;
        member.set("vm", entry.process.vm.text());
        member.set("incarnation", entry.process.incarnation.value());
        member.set("share", entry.share.value());
        member.set("demand", entry.demand);
        entries.add(member);
    }
    Poco::JSON::Object object;
    object.set("entries", entries);
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

Result<Allotment> AllotmentRow::decode(const std::string &text)
{
    Outcome<Allotment> outcome = capture([&text] {
        return readAllotment(text);
    });
    if (!outcome) {
        return fail(ErrorCode::DataLoss, "not an allotment: " + outcome.error().message);
    }
    return std::move(outcome.value());
}

} // namespace Sapphire
