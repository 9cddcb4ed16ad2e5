#pragma once

#include <LibCore/Result.h>
#include <LibPlatform/TableService.h>

#include <string>
#include <vector>

namespace Sapphire {

/// Parses {"rows":[{"key","value","tag"}]}, where keys are percent-encoded and values are in base64, so that both may
/// hold any bytes. Fails with Unavailable if the text is malformed.
[[nodiscard]] Result<std::vector<Row>> parseRowList(const std::string &text);

/// Returns the text that parseRowList() reads.
std::string rowListText(const std::vector<Row> &rows);

std::string base64Encode(const std::string &bytes);

} // namespace Sapphire
