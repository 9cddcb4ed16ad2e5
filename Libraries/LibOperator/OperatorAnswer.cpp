#include <LibOperator/OperatorAnswer.h>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <array>
#include <sstream>

namespace Sapphire {

namespace {

Poco::JSON::Array::Ptr textArray(const std::vector<std::string> &texts)
{
    Poco::JSON::Array::Ptr array(new Poco::JSON::Array);
    for (const std::string &text : texts) {
        array->add(text);
    }
    return array;
}

} // namespace

std::string_view nameOf(OperatorOutcome outcome)
{
    static constexpr std::array<std::string_view, 8> names {
        "done", "in-force", "recorded", "accepted-not-durable", "rejected", "conflict", "unavailable", "may-have-run",
    };
    return names.at(static_cast<std::size_t>(outcome));
}

std::string OperatorAnswer::toJson() const
{
    Poco::JSON::Object object;
    object.set("outcome", std::string(nameOf(outcome)));
    object.set("message", message);
    if (version) {
        object.set("version", version->value());
    }
    std::vector<std::string> vms;
    vms.reserve(unconfirmed.size());
    for (const VmId &vm : unconfirmed) {
        vms.push_back(vm.text());
    }
    object.set("unconfirmed", textArray(vms));
    object.set("columns", textArray(table.columns));
    Poco::JSON::Array::Ptr rows(new Poco::JSON::Array);
    for (const std::vector<std::string> &row : table.rows) {
        rows->add(textArray(row));
    }
    object.set("rows", rows);
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

OperatorAnswer OperatorAnswer::fromError(const Error &error)
{
    OperatorAnswer answer;
    answer.message = error.message;
    if (error.verdict != Verdict::NotRun) {
        answer.outcome = OperatorOutcome::MayHaveRun;
    } else if (error.code == ErrorCode::Conflict) {
        answer.outcome = OperatorOutcome::Conflict;
    } else if (error.code == ErrorCode::Unavailable || error.code == ErrorCode::Timeout) {
        answer.outcome = OperatorOutcome::Unavailable;
    } else {
        answer.outcome = OperatorOutcome::Rejected;
    }
    return answer;
}

OperatorAnswer OperatorAnswer::fromReceipt(const Receipt &receipt)
{
    OperatorAnswer answer;
    answer.version = receipt.version;
    answer.unconfirmed = receipt.unconfirmed;
    const std::string version = std::to_string(receipt.version.value());
    switch (receipt.state) {
    case ReceiptState::InForce:
        answer.outcome = OperatorOutcome::InForce;
        answer.message = "in force everywhere as version " + version;
        break;
    case ReceiptState::Recorded:
        answer.outcome = OperatorOutcome::Recorded;
        answer.message = "recorded as version " + version + ", not in force on every VM yet";
        break;
    case ReceiptState::AcceptedNotDurable:
        answer.outcome = OperatorOutcome::AcceptedNotDurable;
        answer.message = "accepted and being distributed, not durable until the store answers";
        break;
    }
    return answer;
}

} // namespace Sapphire
