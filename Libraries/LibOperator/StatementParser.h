#pragma once

#include <LibCore/Result.h>
#include <LibOperator/OperatorStatement.h>

#include <string>

namespace Sapphire {

/// Parses one statement. Fails with InvalidArgument and a message that says what was found and what was expected.
[[nodiscard]] Result<OperatorStatement> parseStatement(const std::string &text);

/// Returns the help on a topic; on the language as a whole if the topic is empty or unknown.
std::string helpText(const std::string &topic);

} // namespace Sapphire
