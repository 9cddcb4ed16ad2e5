#pragma once

#include <LibCore/Deadline.h>

#include <string_view>

namespace Sapphire {

/// What a Retry-After header of an answer asks for.
struct RetryAfter
{
    enum class Reading {
        Exact,
        Shortened, ///< It asks for more than the longest pause, which counts in its place.
        Unreadable, ///< It is neither a whole nor a decimal number of seconds that is not negative.
    };

    Reading reading { Reading::Unreadable };
    Deadline until; ///< The end of the pause; meaningless if unreadable.
};

/// Reads the value of a Retry-After header. An HTTP date counts as unreadable, since the clocks of two machines may
/// differ by more than a pause takes.
RetryAfter readRetryAfter(std::string_view text, TimePoint now);

} // namespace Sapphire
