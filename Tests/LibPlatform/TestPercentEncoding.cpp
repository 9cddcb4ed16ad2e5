#include <LibPlatform/PercentEncoding.h>

#include <doctest/doctest.h>

using namespace Sapphire;

TEST_CASE("percentEncode turns any bytes into one path segment")
{
    // Guards against keys such as "customer/id" that would be taken for two path segments.
    std::string bytes;
    for (int code = 0; code < 256; ++code) {
        bytes += static_cast<char>(code);
    }
    CHECK(percentDecode(percentEncode(bytes)) == bytes);
    CHECK(percentEncode("a/b?c#%") == "a%2Fb%3Fc%23%25");
    CHECK(percentEncode("A-z_0.9~") == "A-z_0.9~");
}

TEST_CASE("percentDecode rejects invalid escapes")
{
    for (const char *text : { "%", "%4", "a%4", "%zz", "%4g" }) {
        CHECK_FALSE(percentDecode(text).has_value());
    }
    CHECK(percentDecode("%41%2f") == "A/");
}
