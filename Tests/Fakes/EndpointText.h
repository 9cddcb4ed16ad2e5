#pragma once

#include <LibCore/Ipv4Endpoint.h>

#include <doctest/doctest.h>

namespace Sapphire {

/// Returns the endpoint that a test names by its text.
inline Ipv4Endpoint endpoint(const std::string &text)
{
    const Outcome<Ipv4Endpoint> parsed = capture([&text] {
        return Ipv4Endpoint::parse(text);
    });
    REQUIRE(parsed);
    return parsed.value();
}

} // namespace Sapphire
