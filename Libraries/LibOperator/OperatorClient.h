#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Result.h>
#include <LibOperator/OperatorAnswer.h>

#include <string>
#include <vector>

namespace Sapphire {

/// Sends statements to VMs. If a VM gives no answer, the statement is sent to the next VM with the same command id, so
/// that a change takes effect only once.
class OperatorClient
{
public:
    struct Settings
    {
        std::vector<std::string> vms; ///< "ip:port" of operator endpoints, tried in order.
        std::string token;
        std::string operatorId;
        Milliseconds wait { 14'000 }; ///< Time for a change to be in force.
    };

    explicit OperatorClient(Settings settings);

    /// Returns the answer as JSON text. Fails with Unavailable if no VM could be reached, PermissionDenied if the token
    /// is wrong, and InvalidArgument if the request was malformed.
    [[nodiscard]] Result<std::string> send(const std::string &text, const std::string &commandId) const;

private:
    [[nodiscard]] Result<std::string> sendTo(const std::string &vm, const std::string &body) const;

    Settings m_settings;
};

} // namespace Sapphire
