#include <LibOperator/StatementRunner.h>

#include <LibOperator/ConfigurationTables.h>
#include <LibOperator/StatementParser.h>

#include <algorithm>
#include <charconv>

namespace Sapphire {

namespace {

// Lower bound of the time to record a change, so that a sender that doesn't wait for it to be in force still learns
// whether it was recorded.
constexpr Milliseconds leastRecordTime { 5'000 };

OperatorAnswer notFound(const std::string &what)
{
    return { OperatorOutcome::Rejected, "there is no " + what };
}

std::string joined(const std::vector<VmId> &vms)
{
    std::string text;
    for (const VmId &vm : vms) {
        text += text.empty() ? vm.text() : ", " + vm.text();
    }
    return text;
}

} // namespace

StatementRunner::StatementRunner(ConfigurationManager &manager, const Roster &roster, const OperatorViews &views,
                                 const Clock &clock)
    : m_configurationManager(manager), m_roster(roster), m_views(views), m_clock(clock)
{
}

OperatorAnswer StatementRunner::run(const std::string &text, const StatementContext &context)
{
    const Outcome<OperatorStatement> parsed = capture([&] {
        return parseStatement(text);
    });
    if (!parsed) {
        return OperatorAnswer::fromError(parsed.error());
    }
    if (const auto *query = std::get_if<ShowStatement>(&parsed.value())) {
        return show(*query);
    }
    if (const auto *question = std::get_if<ExplainStatement>(&parsed.value())) {
        return explain(*question);
    }
    if (const auto *help = std::get_if<HelpStatement>(&parsed.value())) {
        return { OperatorOutcome::Done, helpText(help->topic) };
    }
    return change(std::get<ChangeStatement>(parsed.value()), context);
}

OperatorAnswer StatementRunner::show(const ShowStatement &statement) const
{
    const std::shared_ptr<const Configuration> configuration = m_configurationManager.configuration();
    OperatorAnswer answer;
    answer.version = configuration->version;
    switch (statement.subject) {
    case ShowSubject::Vms:
        answer.table = vmTable(m_roster.vms(m_clock.now()), statement.name);
        break;
    case ShowSubject::Customers:
        answer.table = customerTable(*configuration, statement.name);
        break;
    case ShowSubject::Keys:
        answer.table = keyTable(*configuration, statement.name, [this](const KeyId &key) {
            return m_configurationManager.isWithdrawn(key);
        });
        break;
    case ShowSubject::Services:
        answer.table = serviceTable(*configuration, statement.name);
        break;
    case ShowSubject::Targets:
        answer.table = targetTable(*configuration, statement.name);
        break;
    case ShowSubject::Regions:
        answer.table = regionTable(*configuration, statement.name);
        break;
    case ShowSubject::Blocks:
        answer.table = blockTable(*configuration, statement.name);
        break;
    case ShowSubject::Limits:
        answer.table = m_views.limits(CustomerId(statement.name));
        break;
    case ShowSubject::Rooms:
        answer.table = m_views.rooms(ServiceId(statement.name));
        break;
    case ShowSubject::Weights:
        answer.table = m_views.weights(ServiceId(statement.name));
        break;
    case ShowSubject::Version: {
        const InForceStatus status = m_configurationManager.inForceStatus(configuration->version, m_clock.now());
        answer.table = { { "version", "in-force", "unconfirmed" },
                         { { std::to_string(configuration->version.value()), status.isInForce ? "yes" : "no",
                             joined(status.unconfirmed) } } };
        answer.unconfirmed = status.unconfirmed;
        break;
    }
    }
    return answer;
}

OperatorAnswer StatementRunner::explain(const ExplainStatement &statement) const
{
    switch (statement.subject) {
    case ExplainSubject::Change:
        return explainChange(statement.name);
    case ExplainSubject::Customer:
        return explainCustomer(CustomerId(statement.name));
    case ExplainSubject::Target:
        break;
    }
    return explainTarget(TargetId(statement.name));
}

OperatorAnswer StatementRunner::explainChange(const std::string &version) const
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(version.data(), version.data() + version.size(), number);
    if (error != std::errc() || end != version.data() + version.size() || number == 0) {
        return { OperatorOutcome::Rejected, "found '" + version + "', expected the version of a change" };
    }
    const ConfigurationVersion wanted(number);
    if (m_configurationManager.configuration()->version < wanted) {
        return notFound("version " + version + "; the newest is "
                        + std::to_string(m_configurationManager.configuration()->version.value()));
    }
    const InForceStatus status = m_configurationManager.inForceStatus(wanted, m_clock.now());
    OperatorAnswer answer;
    answer.version = wanted;
    answer.unconfirmed = status.unconfirmed;
    const std::vector<LogEntry> entries = m_configurationManager.entriesAfter(ConfigurationVersion(number - 1), 1);
    const std::string author = entries.empty() ? "(no longer kept here)" : entries.front().command.operatorId.text();
    answer.table = { { "version", "changed-by", "in-force", "unconfirmed" },
                     { { version, author, status.isInForce ? "yes" : "no", joined(status.unconfirmed) } } };
    answer.message = status.isInForce ? "in force everywhere" : "recorded, not in force on every VM yet";
    return answer;
}

OperatorAnswer StatementRunner::explainCustomer(const CustomerId &customer) const
{
    const std::shared_ptr<const Configuration> configuration = m_configurationManager.configuration();
    if (!configuration->customers.contains(customer)) {
        return notFound("customer '" + customer.text() + "'");
    }
    OperatorAnswer answer;
    answer.version = configuration->version;
    answer.table = m_views.limits(customer);
    answer.message = customerTable(*configuration, customer.text()).text()
        + keyTable(*configuration, customer.text(),
                   [this](const KeyId &key) {
                       return m_configurationManager.isWithdrawn(key);
                   })
              .text()
        + "home VMs: " + joined(m_views.homeVms(customer));
    return answer;
}

OperatorAnswer StatementRunner::explainTarget(const TargetId &target) const
{
    const std::shared_ptr<const Configuration> configuration = m_configurationManager.configuration();
    if (!configuration->targets.contains(target)) {
        return notFound("target '" + target.text() + "'");
    }
    OperatorAnswer answer;
    answer.version = configuration->version;
    answer.message = targetTable(*configuration, target.text()).text();
    answer.table = m_views.targetState(target);
    return answer;
}

OperatorAnswer StatementRunner::change(const ChangeStatement &statement, const StatementContext &context)
{
    const Command command { context.commandId, context.operatorId, statement.seen, m_clock.wallTime(), statement.body };
    const Outcome<Receipt> submitted = capture([&] {
        return m_configurationManager.submit(
            command, std::max(context.deadline, Deadline::after(m_clock.now(), leastRecordTime)));
    });
    if (!submitted) {
        return OperatorAnswer::fromError(submitted.error());
    }
    if (submitted.value().state != ReceiptState::Recorded) {
        return OperatorAnswer::fromReceipt(submitted.value());
    }
    return OperatorAnswer::fromReceipt(
        m_configurationManager.awaitInForce(submitted.value().version, context.deadline));
}

} // namespace Sapphire
