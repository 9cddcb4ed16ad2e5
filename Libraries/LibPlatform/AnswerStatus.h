#pragma once

#include <LibCore/Result.h>
#include <LibPlatform/PlatformExchange.h>

namespace Sapphire {

/// Succeeds for a status from 200 to 299. Fails with NotFound for 404, Conflict for 409 and 412, and InvalidArgument
/// for others, always with the verdict NotRun.
[[nodiscard]] Result<void> checkAnswer(const PlatformRequest &request, const PlatformAnswer &answer);

} // namespace Sapphire
