#include <LibSteering/TargetListEntry.h>

#include <charconv>
#include <optional>

namespace Sapphire {

namespace {

// No target runs more requests at once. With the slots of a faulty entry, a region would seem to have room for all
// requests.
constexpr int mostSlots = 100'000;
constexpr int mostOctet = 255;
constexpr int octets = 4;
constexpr int mostPort = 65'535;

/// Removes a decimal number of at most `most` from the front of the text.
std::optional<int> takeNumber(std::string_view &text, int most)
{
    int number = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    if (result.ec != std::errc() || number < 0 || number > most || text.front() == '-') {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(result.ptr - text.data()));
    return number;
}

/// Returns whether the text is an IPv4 address and a port. A host name is no address, since resolving it would hold up
/// the reading of all targets.
bool isSocketAddress(std::string_view text)
{
    for (int octet = 0; octet < octets; ++octet) {
        const char separator = octet + 1 < octets ? '.' : ':';
        if (!takeNumber(text, mostOctet) || !text.starts_with(separator)) {
            return false;
        }
        text.remove_prefix(1);
    }
    const std::optional<int> port = takeNumber(text, mostPort);
    return port.value_or(0) > 0 && text.empty();
}

} // namespace

std::string_view TargetListEntry::invalidMember() const
{
    if (id.isEmpty()) {
        return "id";
    }
    if (service.isEmpty()) {
        return "service";
    }
    if (!isSocketAddress(address)) {
        return "address";
    }
    if (availabilityZone.isEmpty()) {
        return "zone";
    }
    return slots >= 1 && slots <= mostSlots ? "" : "slots";
}

} // namespace Sapphire
