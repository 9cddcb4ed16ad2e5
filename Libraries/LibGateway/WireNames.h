#pragma once

#include <string>

namespace Sapphire {

/// The names that callers and targets use on the wire. The platform's adapter sets them.
struct WireNames
{
    std::string requestId; ///< Header with the id of one attempt of a caller; targets echo it.
    std::string deadline; ///< Header with the milliseconds that the sender will still wait.
    std::string objectCookie; ///< Cookie that names the object that a request concerns.
    std::string credentialsScheme; ///< Of the Authorization header that holds a caller's key.
    std::string customer; ///< Header that names the customer of the request to the target.
    std::string expectedTarget; ///< Header with the id of the only target that may run the request.
    std::string seal; ///< Header by which a target confirms that an answer is its own.
    std::string load; ///< Header of an answer: requests running, waiting, and slots.
    std::string rateLimit; ///< Header of an answer: requests a second that the target takes from all VMs together.
    std::string notRun; ///< Header of an answer that says that the target has not run the request.
    std::string coldTime; ///< Header of a health answer: how long the target stays cold.
    std::string leaving; ///< Header of an answer that says, with the value 1, that the target takes nothing new.
    std::string targetId; ///< Header of a health answer: the id of the target that answers.
};

} // namespace Sapphire
