#pragma once

#include <LibCore/Result.h>
#include <LibPlatform/TableService.h>
#include <LibSteering/AllotmentPolicy.h>

#include <string>

namespace Sapphire {

/// The form of an allotment in the table `allotments`, whose rows are named after the customers.
class AllotmentRow
{
public:
    static TableName table()
    {
        return TableName("allotments");
    }

    static std::string encode(const Allotment &allotment);
    /// Fails with DataLoss if the text is no allotment or its shares sum to more than the whole.
    [[nodiscard]] static Result<Allotment> decode(const std::string &text);
};

} // namespace Sapphire
