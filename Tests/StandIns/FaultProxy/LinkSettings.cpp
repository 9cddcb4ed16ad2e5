#include <StandIns/FaultProxy/LinkSettings.h>

#include <LibCore/EventLog.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <set>

namespace Sapphire {

namespace {

std::string readAddress(SettingsReader &reader, const std::string &name)
{
    std::string address = reader.requiredText(name);
    if (!address.empty()) {
        try {
            const Poco::Net::SocketAddress parsed(address);
        } catch (const Poco::Exception &) {
            reader.reject(name, address, "\"ip:port\"");
        }
    }
    return address;
}

} // namespace

Result<std::vector<LinkSettings>> parseLinks(const std::string &text)
{
    BOOST_LEAF_AUTO(reader, SettingsReader::create(text));
    std::vector<LinkSettings> links;
    std::set<std::string> names;
    for (SettingsReader &element : reader.objects("links")) {
        LinkSettings link;
        link.name = element.requiredText("name");
        link.listen = readAddress(element, "listen");
        link.connect = readAddress(element, "connect");
        element.rejectUnknownMembers();
        if (!names.insert(link.name).second) {
            element.reject("name", link.name, "a unique name");
        }
        links.push_back(std::move(link));
    }
    reader.rejectUnknownMembers();
    BOOST_LEAF_CHECK(reader.finish());
    return links;
}

std::string linksText(const std::vector<LinkSettings> &links)
{
    std::string text = "{\"links\":[";
    for (const LinkSettings &link : links) {
        if (text.back() == '}') {
            text += ',';
        }
        text += "{\"name\":" + quoteJson(link.name) + ",\"listen\":" + quoteJson(link.listen)
            + ",\"connect\":" + quoteJson(link.connect) + "}";
    }
    return text + "]}";
}

} // namespace Sapphire
