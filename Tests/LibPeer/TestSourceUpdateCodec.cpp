#include <LibPeer/SourceUpdateCodec.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint now { std::chrono::seconds(1'000) };

peer::Reading readingWithAddress(const std::string &address)
{
    peer::Reading reading;
    reading.set_subject(peer::Reading::SUBJECT_TARGETS);
    peer::Target &target = *reading.add_changed();
    target.set_id("i-1");
    target.set_service("s");
    target.set_zone("cuyo-a");
    target.set_address(address);
    target.set_slots(4);
    return reading;
}

} // namespace

TEST_CASE("An update that names a target at an address that can't be read is rejected")
{
    // Guards against another VM, perhaps of an older release, that passes on an entry with such an address.
    CHECK(decodeSourceUpdate(readingWithAddress("10.128.0.9:8080"), now));
    for (const char *address :
         { "10.128.0.08:8080", "10.128.0.010:8080", "10.128.0.9:08080", "10.128.0.9:0", "target.example:8080", "" }) {
        CAPTURE(address);
        CHECK(!decodeSourceUpdate(readingWithAddress(address), now));
    }
}
