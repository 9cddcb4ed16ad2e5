#include <LibGateway/RequestObject.h>

#include <LibCore/Hash.h>

namespace Sapphire {

namespace {

// An object handled within the first time is likely to be still in the target's cache, one handled within the second
// may be: that depends on how many other objects the target handles.
constexpr Milliseconds recentTime { 5'000 };
constexpr Milliseconds earlierTime { 60'000 };

} // namespace

std::uint64_t objectKey(const GatewayRequest &request)
{
    return stableHash(request.route().id.text() + "\n" + request.caller().object);
}

double positionOf(const std::string &object)
{
    constexpr double span = 18446744073709551616.0;
    return static_cast<double>(stableHash("position " + object)) / span;
}

CacheExpectation expectationAt(TimePoint lastHandled, TimePoint now)
{
    if (now - lastHandled < recentTime) {
        return CacheExpectation::Recent;
    }
    return now - lastHandled < earlierTime ? CacheExpectation::Earlier : CacheExpectation::Unlikely;
}

} // namespace Sapphire
