#include <LibCore/Ipv4Endpoint.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

Outcome<Ipv4Endpoint> parsed(const std::string &text)
{
    return capture([&] {
        return Ipv4Endpoint::parse(text);
    });
}

} // namespace

TEST_CASE("An IPv4 endpoint is read and written in one spelling only")
{
    // Guards against two spellings of an address, of which another reader may take one for a different address.
    REQUIRE(parsed("10.128.0.9:8080"));
    CHECK(parsed("10.128.0.9:8080").value().address() == Ipv4Address(0x0a800009));
    CHECK(parsed("10.128.0.9:8080").value().port() == 8080);
    for (const char *text : { "10.128.0.9:8080", "0.0.0.0:1", "255.255.255.255:65535", "127.0.0.1:9" }) {
        CAPTURE(text);
        REQUIRE(parsed(text));
        CHECK(parsed(text).value().text() == text);
    }
}

TEST_CASE("A text that isn't an IPv4 endpoint is rejected")
{
    // Guards against leading zeros, host names, signs, blanks and numbers out of range.
    for (const char *text : { "",
                              ":",
                              "127.0.0.08:1",
                              "127.0.0.010:1",
                              "0127.0.0.1:1",
                              "127.0.0.1:01",
                              "127.0.0.1:0",
                              "127.0.0.1:65536",
                              "127.0.0.1",
                              "127.0.0.1:",
                              "127.0.1:1",
                              "127.0.0.0.1:1",
                              "127.0.0.256:1",
                              "127.0.0.1:1 ",
                              " 127.0.0.1:1",
                              "127.0.0.-1:1",
                              "+127.0.0.1:1",
                              "0x7f.0.0.1:1",
                              "localhost:1",
                              "[::1]:1",
                              "127.0.0.1:99999999999",
                              "127.0.0.1.:1",
                              "127..0.1:1" }) {
        CAPTURE(text);
        CHECK(!parsed(text));
    }
}
