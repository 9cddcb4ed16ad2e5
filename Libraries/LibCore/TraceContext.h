#pragma once

#include <LibCore/RandomSource.h>

#include <optional>
#include <string>
#include <string_view>

namespace Sapphire {

/// The ids that a W3C traceparent header carries, in lower-case hexadecimal digits.
struct TraceContext
{
    std::string traceId; ///< 32 digits.
    std::string spanId; ///< 16 digits.
    bool isSampled { true };

    /// Returns nothing if the header is missing or malformed.
    static std::optional<TraceContext> parse(std::string_view header);
    static TraceContext create(RandomSource &random);

    /// Returns a context of the same trace with a new span id.
    TraceContext child(RandomSource &random) const;
    std::string header() const;
};

} // namespace Sapphire
