#pragma once

#include <string>

namespace Sapphire {

/// An answer of the stand-in before it is sent.
struct HttpReply
{
    int status { 200 };
    std::string body;
    std::string entityTag;
    std::string contentType { "application/json" };
};

} // namespace Sapphire
