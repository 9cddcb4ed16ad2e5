#pragma once

#include <LibCore/Result.h>
#include <LibPlatform/TableService.h>
#include <LibSteering/AllotmentPolicy.h>

#include <string>

namespace Sapphire {

/// Encodes and decodes the rows of the table `allotments`. The key of a row is the id of its customer.
class AllotmentRow
{
public:
    static TableName table()
    {
        return TableName("allotments");
    }

    static std::string encode(const Allotment &allotment);
    /// Fails with DataLoss if the text is not a valid allotment or its shares sum to more than the whole.
    [[nodiscard]] static Result<Allotment> decode(const std::string &text);
};

} // namespace Sapphire
