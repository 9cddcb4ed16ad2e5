#pragma once

#include <LibConfiguration/ConfigurationManager.h>
#include <LibOperator/OperatorAnswer.h>
#include <LibOperator/OperatorStatement.h>
#include <LibOperator/OperatorViews.h>

namespace Sapphire {

/// Who sent a statement, and until when the sender waits for a change to be in force.
struct StatementContext
{
    CommandId commandId;
    OperatorId operatorId;
    Deadline deadline;
};

/// Runs the statements of operators: answers queries and makes changes. Safe to call from any thread.
class StatementRunner
{
public:
    StatementRunner(ConfigurationManager &manager, const Roster &roster, const OperatorViews &views,
                    const Clock &clock);

    OperatorAnswer run(const std::string &text, const StatementContext &context);

private:
    OperatorAnswer show(const ShowStatement &statement) const;
    OperatorAnswer explain(const ExplainStatement &statement) const;
    OperatorAnswer explainChange(const std::string &version) const;
    OperatorAnswer explainCustomer(const CustomerId &customer) const;
    OperatorAnswer explainTarget(const TargetId &target) const;
    OperatorAnswer change(const ChangeStatement &statement, const StatementContext &context);

    ConfigurationManager &m_configurationManager;
    const Roster &m_roster;
    const OperatorViews &m_views;
    const Clock &m_clock;
};

} // namespace Sapphire
