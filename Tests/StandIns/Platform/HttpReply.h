#pragma once

#include <string>

namespace Sapphire {

/// An HTTP answer of the stand-in, not yet sent.
struct HttpReply
{
    int status { 200 };
    std::string body;
    std::string entityTag;
    std::string contentType { "application/json" };
};

} // namespace Sapphire
