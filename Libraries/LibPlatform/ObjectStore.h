#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Result.h>

#include <string>

namespace Sapphire {

/// The platform's object store. Calls fail like those of TableService; repeating a write is harmless.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    /// Fails with NotFound if there is no such object.
    [[nodiscard]] virtual Result<std::string> read(const std::string &key, Deadline deadline) = 0;
    [[nodiscard]] virtual Result<void> write(const std::string &key, const std::string &content, Deadline deadline) = 0;
};

} // namespace Sapphire
