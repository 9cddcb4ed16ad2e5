#pragma once

#include <LibConfiguration/ConfigurationManager.h>
#include <LibOperator/Table.h>

#include <string>

namespace Sapphire {

enum class OperatorOutcome {
    Done, ///< A query was answered.
    InForce,
    Recorded,
    AcceptedNotDurable,
    Rejected, ///< The statement can't be parsed or applied.
    Conflict, ///< Another operator changed the object.
    Unavailable, ///< Nothing was changed.
    MayHaveRun, ///< The change may take effect; send it again with the same command id to find out.
};

std::string_view nameOf(OperatorOutcome outcome);

/// The answer to one statement of an operator.
struct OperatorAnswer
{
    OperatorOutcome outcome { OperatorOutcome::Done };
    std::string message {};
    std::optional<ConfigurationVersion> version {};
    std::vector<VmId> unconfirmed {};
    Table table {};

    std::string toJson() const;
    static OperatorAnswer fromError(const Error &error);
    static OperatorAnswer fromReceipt(const Receipt &receipt);
};

} // namespace Sapphire
