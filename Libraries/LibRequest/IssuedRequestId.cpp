#include <LibRequest/IssuedRequestId.h>

#include <algorithm>
#include <charconv>
#include <vector>

namespace Sapphire {

namespace {

constexpr std::string_view scheme = "sd1";
constexpr char separator = '~';
constexpr std::size_t fieldCount = 5;
constexpr std::size_t longestId = 200;
constexpr std::chrono::minutes lifetime { 60 };
// Allowed difference between the wall clocks of VMs.
constexpr std::chrono::minutes clockTolerance { 10 };

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::vector<std::string_view> splitFields(std::string_view text)
{
    std::vector<std::string_view> fields;
    while (fields.size() + 1 < fieldCount) {
        const std::size_t end = text.find(separator);
        if (end == std::string_view::npos) {
            return {};
        }
        fields.push_back(text.substr(0, end));
        text.remove_prefix(end + 1);
    }
    fields.push_back(text);
    return fields;
}

} // namespace

IssuedRequestId::IssuedRequestId(VmIncarnation issuer, std::uint64_t minute)
    : m_issuer(std::move(issuer)), m_minute(minute)
{
}

std::optional<IssuedRequestId> IssuedRequestId::parse(const RequestId &id)
{
    const std::vector<std::string_view> fields = splitFields(id.text());
    if (fields.size() != fieldCount || fields[0] != scheme || fields[1].empty() || fields[4].empty()) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> incarnation = parseNumber(fields[2]);
    const std::optional<std::uint64_t> minute = parseNumber(fields[3]);
    if (!incarnation || !minute) {
        return std::nullopt;
    }
    return IssuedRequestId({ VmId(std::string(fields[1])), Incarnation(*incarnation) }, *minute);
}

std::string IssuedRequestId::prefix(const VmIncarnation &issuer, Microseconds wallTime)
{
    const auto minute = std::chrono::floor<std::chrono::minutes>(wallTime).count();
    std::string text(scheme);
    text += separator + issuer.vm.text();
    text += separator + std::to_string(issuer.incarnation.value());
    text += separator + std::to_string(minute);
    return text + separator;
}

bool IssuedRequestId::isCurrent(Microseconds wallTime) const
{
    const std::chrono::minutes issuedAt(m_minute);
    return issuedAt <= wallTime + clockTolerance && wallTime < issuedAt + lifetime;
}

bool isValidRequestId(const std::string &text)
{
    return !text.empty() && text.size() <= longestId && std::all_of(text.begin(), text.end(), [](char character) {
        return character > ' ' && character < '\x7f' && character != '/' && character != '"';
    });
}

} // namespace Sapphire
